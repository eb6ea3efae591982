package org.umbermount.distribution;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.umbermount.kernel.Clock;
import org.umbermount.kernel.DaemonAddress;
import org.umbermount.kernel.MessagePackCodec;
import org.umbermount.kernel.Messenger;
import org.umbermount.kernel.MonotonicTime;
import org.umbermount.kernel.Plugin;
import org.umbermount.kernel.PluginHost;
import org.umbermount.kernel.RandomNumbers;
import org.umbermount.kernel.Role;
import org.umbermount.kernel.Settings;
import org.umbermount.membership.MemberDescriptor;
import org.umbermount.membership.PeerSampling;

/** The receiving side as a plug-in of the proxy. */
public final class TableReceiverPlugin implements Plugin {
    private static final long LOOP_MS = 500;
    private static final long EAGER_MS = 100;
    private static final long LOST_MS = 500;
    private static final long TELL_MS = 5_000;
    private static final long TELL_HERE_MS = 1_000;
    private static final long VOUCH_MARGIN_MS = 300;
    private static final long VOUCH_LOW_MS = 2_600;
    private static final long SILENCE_MS = StateSender.HEARTBEAT_MS + 700;

    private PluginHost pluginHost;
    private PeerSampling peerSampling;
    private StateReceiver stateReceiver;
    private MonotonicTime lastTold = MonotonicTime.NEVER;
    private MonotonicTime lastToldHere = MonotonicTime.NEVER;
    private int tries;
    private boolean strict;
    private int voucherTurn;

    @Override
    public String name() {
        return "distribution";
    }

    @Override
    public int order() {
        return 30;
    }

    @Override
    public boolean serves(Role role) {
        return role == Role.PROXY;
    }

    @Override
    public void open(PluginHost host) {
        pluginHost = host;
        peerSampling = host.find(PeerSampling.class);
        Clock clock = host.clock();
        stateReceiver =
                new StateReceiver(clock, host.find(Messenger.class), host.metrics(), RandomNumbers.life(host.random()));
        host.offer(StateReceiver.class, stateReceiver);
        Settings.Sharing sharing = host.rules().bounds().sharing();
        strict = sharing.strictRevocation();
        if (strict) {
            stateReceiver.countFor(sharing.revokeMs() - VOUCH_MARGIN_MS);
            host.metrics().gauge("distribution.table.good.ms", () -> Math.max(0, stateReceiver.goodForMs()));
        }
        host.metrics().gauge("distribution.epoch", stateReceiver::epoch);
        host.metrics()
                .gauge(
                        "distribution.edition",
                        () -> stateReceiver.inForce().edition().value());
        host.metrics().gauge("distribution.silence.ms", () -> clock.now().since(stateReceiver.lastHeard()));
        stateReceiver.observe(this::learn);
        clock.execute(this::tell);
        clock.every(LOOP_MS, this::reconcile);
        clock.after(EAGER_MS, this::hurry);
    }

    /** Without a table nothing can be served: asks again and again. */
    private void hurry() {
        if (stateReceiver.inForce().isEmpty()) {
            tell();
            pluginHost.clock().after(EAGER_MS, this::hurry);
        }
    }

    private void reconcile() {
        MonotonicTime now = pluginHost.clock().now();
        boolean lost = now.since(stateReceiver.lastHeard()) > SILENCE_MS && now.since(lastTold) > LOST_MS;
        if (strict && !stateReceiver.inForce().isEmpty() && stateReceiver.goodForMs() < VOUCH_LOW_MS) {
            askVoucher(now);
        }
        if (lost || now.since(lastTold) > TELL_MS) {
            tell();
        } else if (now.since(lastToldHere) > TELL_HERE_MS) {
            tellHere(now);
        }
    }

    /**
     * Tells the zone's own controllers more often, and whoever sends here: one that has just started takes the zone's duty
     * within a second, and has to know then whom to send to.
     */
    private void tellHere(MonotonicTime now) {
        lastToldHere = now;
        String zone = pluginHost.rules().zone();
        byte[] body = new ProxyAnnouncer(
                        stateReceiver.life(),
                        zone,
                        stateReceiver.inForce().isEmpty(),
                        false,
                        stateReceiver.inForce().edition().value(),
                        now.millis())
                .pack();
        DaemonAddress sender = stateReceiver.sender();
        for (MemberDescriptor p : peerSampling.known(Role.CONTROLLER, zone)) {
            if (p.zone().equals(zone)) {
                pluginHost.find(Messenger.class).send(p.daemonAddress(), Messenger.Topic.SIGNPOST, body);
                sender = p.daemonAddress().equals(sender) ? null : sender;
            }
        }
        if (sender != null) {
            pluginHost.find(Messenger.class).send(sender, Messenger.Topic.SIGNPOST, body);
        }
    }

    /** Takes up the controllers that the table names, and makes itself known to those of the zone at once. */
    private void learn(RoutingTable table) {
        List<MemberDescriptor> named = new ArrayList<>();
        try {
            for (Map.Entry<String, byte[]> e : table.entries().entrySet()) {
                if (e.getKey().startsWith(RoutingTable.CONTROLLER)) {
                    named.add(Tables.readController(e.getValue()));
                }
            }
        } catch (MessagePackCodec.UnreadableException e) {
            pluginHost.metrics().count("distribution.controllers.unreadable");
            return;
        }
        peerSampling.lasting(named);
        if (stateReceiver.epoch() == 0) {
            tellHere(pluginHost.clock().now());
            if (strict && stateReceiver.goodForMs() <= 0) {
                askVoucher(pluginHost.clock().now());
            }
        }
    }

    /** The sender is late with its word on how fresh the table is: any controller may give it. */
    private void askVoucher(MonotonicTime now) {
        List<MemberDescriptor> known =
                peerSampling.known(Role.CONTROLLER, pluginHost.rules().zone());
        byte[] body = new ProxyAnnouncer(
                        stateReceiver.life(),
                        pluginHost.rules().zone(),
                        false,
                        true,
                        stateReceiver.inForce().edition().value(),
                        now.millis())
                .pack();
        for (int i = 0; i < Math.min(2, known.size()); i++) {
            pluginHost
                    .find(Messenger.class)
                    .send(known.get(voucherTurn++ % known.size()).daemonAddress(), Messenger.Topic.SIGNPOST, body);
        }
    }

    /** Tells controllers of this proxy: all of them now and then, those of the zone first when in need. */
    private void tell() {
        MonotonicTime now = pluginHost.clock().now();
        boolean empty = stateReceiver.inForce().isEmpty();
        boolean lost = now.since(stateReceiver.lastHeard()) > SILENCE_MS;
        byte[] body = new ProxyAnnouncer(
                        stateReceiver.life(),
                        pluginHost.rules().zone(),
                        empty,
                        lost && strict,
                        stateReceiver.inForce().edition().value(),
                        now.millis())
                .pack();
        List<DaemonAddress> targets = new ArrayList<>();
        for (MemberDescriptor p :
                peerSampling.known(Role.CONTROLLER, pluginHost.rules().zone())) {
            targets.add(p.daemonAddress());
        }
        if (targets.isEmpty()) {
            targets = peerSampling.seeds();
        }
        boolean everyone = !empty || tries++ % 2 == 1;
        int n = 0;
        for (DaemonAddress target : targets) {
            if (everyone || n++ < 1) {
                pluginHost.find(Messenger.class).send(target, Messenger.Topic.SIGNPOST, body);
            }
        }
        lastTold = now;
    }
}
