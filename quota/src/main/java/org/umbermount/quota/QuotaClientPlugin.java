package org.umbermount.quota;

import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.umbermount.distribution.RoutingTable;
import org.umbermount.distribution.StateReceiver;
import org.umbermount.distribution.Tables;
import org.umbermount.kernel.MessagePackCodec;
import org.umbermount.kernel.Messenger;
import org.umbermount.kernel.Plugin;
import org.umbermount.kernel.PluginHost;
import org.umbermount.kernel.Role;
import org.umbermount.kernel.Settings;
import org.umbermount.membership.MemberDescriptor;
import org.umbermount.membership.PeerSampling;

/** The asking for quota as a plug-in of the proxy. */
public final class QuotaClientPlugin implements Plugin {
    private static final Logger LOG = LoggerFactory.getLogger("quota");
    private static final String QUOTA = RoutingTable.DUTY + "quota/";

    private QuotaClient counter;

    @Override
    public String name() {
        return "quota";
    }

    @Override
    public int order() {
        return 36;
    }

    @Override
    public boolean serves(Role role) {
        return role == Role.PROXY;
    }

    @Override
    public void open(PluginHost host) {
        if (!host.rules().guarantees(Settings.QUOTA)) {
            return;
        }
        Settings.Sharing sharing = host.rules().bounds().sharing();
        PeerSampling peerSampling = host.find(PeerSampling.class);
        // A grant spent late counts in a window that it was not given in; half of the overshoot is left for that.
        long ttl = (long) (sharing.quotaOvershoot() * sharing.quotaWindowMs() / 2);
        counter = new QuotaClient(
                host.clock(),
                host.find(Messenger.class),
                host.metrics(),
                ttl,
                () -> peerSampling.known(Role.CONTROLLER, host.rules().zone()).stream()
                        .map(MemberDescriptor::daemonAddress)
                        .toList());
        host.offer(QuotaClient.class, counter);
        host.find(StateReceiver.class).observe(this::learn);
    }

    private void learn(RoutingTable table) {
        for (Map.Entry<String, byte[]> e : table.entries().entrySet()) {
            if (e.getKey().startsWith(QUOTA)) {
                try {
                    counter.keeper(e.getKey().substring(RoutingTable.DUTY.length()), Tables.readHolder(e.getValue()));
                } catch (MessagePackCodec.UnreadableException x) {
                    LOG.warn("The table does not say who counts {}: {}.", e.getKey(), x.getMessage());
                }
            }
        }
    }
}
