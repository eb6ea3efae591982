package org.umbermount.membership;

import java.util.List;
import java.util.Random;
import org.umbermount.kernel.DaemonAddress;
import org.umbermount.kernel.Messenger;
import org.umbermount.kernel.Plugin;
import org.umbermount.kernel.PluginHost;
import org.umbermount.kernel.Role;
import org.umbermount.kernel.Settings;

/** Membership as a plug-in of every role. */
public final class MembershipPlugin implements Plugin {
    private PeerSampling peerSampling;

    @Override
    public String name() {
        return "membership";
    }

    @Override
    public int order() {
        return 10;
    }

    @Override
    public boolean serves(Role role) {
        return true;
    }

    @Override
    public void open(PluginHost pluginHost) {
        Settings rules = pluginHost.rules();
        Messenger messenger = pluginHost.find(Messenger.class);
        MemberDescriptor self = new MemberDescriptor(messenger.self(), pluginHost.role(), rules.zone(), 0);
        peerSampling = new PeerSampling(
                self,
                seeds(rules),
                pluginHost.clock(),
                messenger,
                pluginHost.metrics(),
                new Random(pluginHost.random().nextLong()));
        pluginHost.offer(PeerSampling.class, peerSampling);
        pluginHost
                .metrics()
                .gauge("membership.view.size", () -> peerSampling.view().size());
        peerSampling.start();
    }

    @Override
    public void reread(Settings rules) {
        peerSampling.seeds(seeds(rules));
    }

    private static List<DaemonAddress> seeds(Settings rules) {
        return rules.seedNodes().stream()
                .map(s -> rules.mailAddress(s, Role.CONTROLLER))
                .toList();
    }
}
