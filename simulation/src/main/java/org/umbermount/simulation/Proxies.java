package org.umbermount.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.umbermount.control.MortalClock;
import org.umbermount.distribution.RoutingTable;
import org.umbermount.distribution.StateReceiver;
import org.umbermount.idempotency.OperationClient;
import org.umbermount.kernel.DaemonAddress;
import org.umbermount.kernel.MessagePackCodec;
import org.umbermount.kernel.PluginHost;
import org.umbermount.quota.QuotaClient;

/** The proxies of the room: what each has in force, and what happens to them. */
final class Proxies {
    private static final long NEVER = SimulatedCluster.NEVER;

    /** One proxy and what it has had in force. */
    static final class Proxy {
        final DaemonAddress daemonAddress;
        final String zone;
        MortalClock clock;
        StateReceiver stateReceiver;
        /** Null on days without clients. */
        OperationClient loans;

        QuotaClient quota;
        long edition;
        /** The entries of the table in force. */
        Map<String, byte[]> table = Map.of();

        boolean up;
        boolean frozen;
        long lastEvent = NEVER;
        boolean cut;

        Proxy(DaemonAddress daemonAddress, String zone) {
            this.daemonAddress = daemonAddress;
            this.zone = zone;
        }

        boolean well() {
            return up && !frozen && !cut;
        }
    }

    private final SimulatedCluster room;
    private final List<Proxy> all = new ArrayList<>();

    Proxies(SimulatedCluster room) {
        this.room = room;
    }

    void add(DaemonAddress daemonAddress, String zone) {
        Proxy p = new Proxy(daemonAddress, zone);
        all.add(p);
        open(p);
    }

    List<Proxy> all() {
        return all;
    }

    private void open(Proxy p) {
        p.clock = new MortalClock(room.fleet.almanac);
        PluginHost host = room.daemons.openProxy(p.daemonAddress, p.zone, p.clock);
        p.stateReceiver = host.find(StateReceiver.class);
        p.loans = host.findOrNull(OperationClient.class);
        p.quota = host.findOrNull(QuotaClient.class);
        p.edition = 0;
        p.table = Map.of();
        p.up = true;
        p.stateReceiver.observe(t -> inForce(p, t));
    }

    private void inForce(Proxy p, RoutingTable table) {
        long edition = table.edition().value();
        p.table = table.entries();
        if (edition > 0) {
            try {
                room.operators.seen(edition, Content.of(table).text(), p.daemonAddress + " has it in force");
            } catch (MessagePackCodec.UnreadableException e) {
                throw new IllegalStateException(e);
            }
        }
        inForce(p, edition);
    }

    void inForce(Proxy p, long edition) {
        if (edition < p.edition) {
            room.broken(p.daemonAddress + " went back from edition " + p.edition + " to " + edition);
        }
        p.edition = edition;
    }

    /** One stands still for a moment: nobody's trouble, and no excuse. */
    void stall(Random random, long forMs) {
        Proxy p = all.get(random.nextInt(all.size()));
        if (p.well()) {
            freeze(p);
            room.later(forMs, () -> thaw(p));
        }
    }

    private void freeze(Proxy p) {
        p.frozen = true;
        p.clock.freeze();
        room.fleet.network.freeze(p.daemonAddress);
    }

    private void thaw(Proxy p) {
        p.frozen = false;
        room.fleet.network.thaw(p.daemonAddress);
        p.clock.thaw();
    }

    void kill(Proxy p, long forMs) {
        p.up = false;
        p.clock.die();
        room.fleet.network.down(p.daemonAddress);
        room.ended(p.daemonAddress);
        p.lastEvent = room.now();
        room.note(p.daemonAddress + " is killed for " + forMs);
        room.later(forMs, () -> {
            open(p);
            p.lastEvent = room.now();
            room.note(p.daemonAddress + " starts");
        });
    }

    void trouble(Random random) {
        Proxy p = all.get(random.nextInt(all.size()));
        if (!p.well()) {
            return;
        }
        long forMs = 200 + random.nextInt(5_300);
        p.lastEvent = room.now();
        switch (random.nextInt(3)) {
            case 0 -> kill(p, forMs);
            case 1 -> {
                freeze(p);
                room.note(p.daemonAddress + " freezes for " + forMs);
                room.later(forMs, () -> {
                    p.lastEvent = room.now();
                    thaw(p);
                    room.note(p.daemonAddress + " thaws");
                });
            }
            default -> {
                p.cut = true;
                room.note(p.daemonAddress + " is cut off for " + forMs);
                NetworkCuts.Cut cut = room.wires.cut(p.daemonAddress, NetworkCuts.Way.BOTH, Machines::isMachine);
                room.later(forMs, () -> {
                    p.cut = false;
                    p.lastEvent = room.now();
                    room.note(p.daemonAddress + " is joined");
                    room.wires.join(cut);
                });
            }
        }
    }
}
