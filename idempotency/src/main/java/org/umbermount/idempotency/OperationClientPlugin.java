package org.umbermount.idempotency;

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

/** The claiming of operations as a plug-in of the proxy. */
public final class OperationClientPlugin implements Plugin {
    private static final Logger LOG = LoggerFactory.getLogger("idempotency");
    private static final long LOOK_MS = 50;
    private static final long LEAVE_MS = 1_500;

    private PluginHost pluginHost;
    private OperationClient counter;

    @Override
    public String name() {
        return "idempotency";
    }

    @Override
    public int order() {
        return 35;
    }

    @Override
    public boolean serves(Role role) {
        return role == Role.PROXY;
    }

    @Override
    public void open(PluginHost host) {
        pluginHost = host;
        if (!host.rules().guarantees(Settings.KEYS)) {
            return;
        }
        PeerSampling peerSampling = host.find(PeerSampling.class);
        Messenger messenger = host.find(Messenger.class);
        counter = new OperationClient(
                host.clock(),
                messenger,
                host.metrics(),
                host.random(),
                () -> peerSampling.known(Role.CONTROLLER, host.rules().zone()).stream()
                        .map(MemberDescriptor::daemonAddress)
                        .toList());
        host.offer(OperationClient.class, counter);
        host.find(StateReceiver.class).observe(this::learn);
    }

    private void learn(RoutingTable table) {
        byte[] packed = table.entries().get(RoutingTable.DUTY + "loans");
        if (packed != null) {
            try {
                counter.head(Tables.readHolder(packed));
            } catch (MessagePackCodec.UnreadableException e) {
                LOG.warn("The table does not say who keeps the operation records: {}.", e.getMessage());
            }
        }
    }

    /** Ends that were not noted yet have a moment. */
    @Override
    public void leave(Runnable done) {
        if (counter == null) {
            done.run();
        } else {
            waitForNotes(LEAVE_MS / LOOK_MS, done);
        }
    }

    private void waitForNotes(long looks, Runnable done) {
        if (counter.closing() == 0 || looks <= 0) {
            done.run();
        } else {
            pluginHost.clock().after(LOOK_MS, () -> waitForNotes(looks - 1, done));
        }
    }
}
