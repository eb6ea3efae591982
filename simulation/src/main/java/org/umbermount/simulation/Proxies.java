package org.umbermount.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.umbermount.archive.MortalClock;
import org.umbermount.courier.Consignee;
import org.umbermount.courier.Inventory;
import org.umbermount.kernel.Imprint;
import org.umbermount.kernel.Institution;
import org.umbermount.kernel.Script;
import org.umbermount.loans.LoanCounter;
import org.umbermount.readership.QuotaCounter;

/** The lectors of the room: what each has in force, and what happens to them. */
final class Proxies {
    private static final long NEVER = SimulatedCluster.NEVER;

    /** One lector and what it has had in force. */
    static final class Proxy {
        final Imprint imprint;
        final String zone;
        MortalClock clock;
        Consignee consignee;
        /** Null on days without clients. */
        LoanCounter loans;
        QuotaCounter quota;
        long edition;
        /** The entries of the table in force. */
        Map<String, byte[]> table = Map.of();
        boolean up;
        boolean frozen;
        long lastEvent = NEVER;
        boolean cut;

        Proxy(Imprint imprint, String zone) {
            this.imprint = imprint;
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

    void add(Imprint imprint, String zone) {
        Proxy p = new Proxy(imprint, zone);
        all.add(p);
        open(p);
    }

    List<Proxy> all() {
        return all;
    }

    private void open(Proxy p) {
        p.clock = new MortalClock(room.fleet.almanac);
        Institution host = room.daemons.openProxy(p.imprint, p.zone, p.clock);
        p.consignee = host.find(Consignee.class);
        p.loans = host.findOrNull(LoanCounter.class);
        p.quota = host.findOrNull(QuotaCounter.class);
        p.edition = 0;
        p.table = Map.of();
        p.up = true;
        p.consignee.observe(t -> inForce(p, t));
    }

    private void inForce(Proxy p, Inventory table) {
        long edition = table.edition().value();
        p.table = table.entries();
        if (edition > 0) {
            try {
                room.operators.seen(edition, Content.of(table).text(), p.imprint + " has it in force");
            } catch (Script.UnreadableException e) {
                throw new IllegalStateException(e);
            }
        }
        inForce(p, edition);
    }

    void inForce(Proxy p, long edition) {
        if (edition < p.edition) {
            room.broken(p.imprint + " went back from edition " + p.edition + " to " + edition);
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
        room.fleet.network.freeze(p.imprint);
    }

    private void thaw(Proxy p) {
        p.frozen = false;
        room.fleet.network.thaw(p.imprint);
        p.clock.thaw();
    }

    void kill(Proxy p, long forMs) {
        p.up = false;
        p.clock.die();
        room.fleet.network.down(p.imprint);
        room.ended(p.imprint);
        p.lastEvent = room.now();
        room.note(p.imprint + " is killed for " + forMs);
        room.later(forMs, () -> {
            open(p);
            p.lastEvent = room.now();
            room.note(p.imprint + " starts");
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
                room.note(p.imprint + " freezes for " + forMs);
                room.later(forMs, () -> {
                    p.lastEvent = room.now();
                    thaw(p);
                    room.note(p.imprint + " thaws");
                });
            }
            default -> {
                p.cut = true;
                room.note(p.imprint + " is cut off for " + forMs);
                NetworkCuts.Cut cut = room.wires.cut(p.imprint, NetworkCuts.Way.BOTH, Machines::isMachine);
                room.later(forMs, () -> {
                    p.cut = false;
                    p.lastEvent = room.now();
                    room.note(p.imprint + " is joined");
                    room.wires.join(cut);
                });
            }
        }
    }
}
