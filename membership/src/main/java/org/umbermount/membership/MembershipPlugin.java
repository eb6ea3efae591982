package org.umbermount.membership;

import java.util.List;
import java.util.Random;
import org.umbermount.kernel.Plugin;
import org.umbermount.kernel.Settings;
import org.umbermount.kernel.DaemonAddress;
import org.umbermount.kernel.PluginHost;
import org.umbermount.kernel.Messenger;
import org.umbermount.kernel.Role;

/** Membership as a plug-in of every role. */
public final class MembershipPlugin implements Plugin {
    private PeerSampling gazetteer;

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
    public void open(PluginHost institution) {
        Settings rules = institution.rules();
        Messenger post = institution.find(Messenger.class);
        MemberDescriptor self = new MemberDescriptor(post.self(), institution.role(), rules.zone(), 0);
        gazetteer = new PeerSampling(self, seeds(rules), institution.clock(), post, institution.tally(),
                new Random(post.self().packed() ^ institution.clock().wallMillis()));
        institution.offer(PeerSampling.class, gazetteer);
        institution.tally().gauge("membership.view.size", () -> gazetteer.view().size());
        gazetteer.start();
    }

    @Override
    public void reread(Settings rules) {
        gazetteer.seeds(seeds(rules));
    }

    private static List<DaemonAddress> seeds(Settings rules) {
        return rules.seedNodes().stream().map(s -> rules.mailAddress(s, Role.CONTROLLER)).toList();
    }
}
