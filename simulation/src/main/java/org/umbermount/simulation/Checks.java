package org.umbermount.simulation;

import java.util.HashMap;
import java.util.Map;
import org.umbermount.control.ConfigurationState;
import org.umbermount.control.Fleet;
import org.umbermount.control.LeaseManager;

/** What must be true after every step, whatever happens to the machines. */
final class Checks {
    static final long CONTACT_MS = 4_000;
    static final long APPLY_MS = 3_000;
    static final long ACK_MS = 5_000;
    private static final long SKEW_MS = 12_000;

    private final SimulatedCluster room;
    private final Machines machines;
    private final Operators operators;
    private final Due due = new Due(APPLY_MS);
    private final Due longDue = new Due(APPLY_MS + SKEW_MS);
    /** What each controller has said is committed. */
    private final Map<Integer, ConfigurationState> seen = new HashMap<>();

    private long majoritySince = SimulatedCluster.NEVER;
    /** When more machines than may be lost at once last were; until some time later the longer bound holds. */
    private long exceededAt = SimulatedCluster.NEVER;

    private long probedAt = SimulatedCluster.NEVER;

    /** The newest change that was confirmed longer than some time ago. */
    private final class Due {
        private final long afterMs;
        private int next;
        private Operators.Order newest;

        Due(long afterMs) {
            this.afterMs = afterMs;
        }

        Operators.Order newest(long now) {
            while (next < operators.confirmed().size()
                    && now - operators.confirmed().get(next).takenAt > afterMs) {
                Operators.Order o = operators.confirmed().get(next++);
                newest = newest == null || newest.edition < o.edition ? o : newest;
            }
            return newest;
        }
    }

    Checks(SimulatedCluster room) {
        this.room = room;
        this.machines = room.machines;
        this.operators = room.operators;
    }

    /** Whether a majority of the control machines runs undisturbed and nothing has happened to any for a while. */
    boolean settled() {
        return machines.majorityRuns() && machines.disksGood() && room.now() - machines.lastEvent() >= CONTACT_MS;
    }

    /** Whether all control machines run undisturbed and nothing has happened to any for a while. */
    boolean calm() {
        return machines.allRun() && room.now() - machines.lastEvent() >= CONTACT_MS;
    }

    void check() {
        long now = room.now();
        if (!machines.majorityRuns()) {
            majoritySince = now + SimulatedCluster.STEP_MS;
        }
        boolean settled = settled();
        if (room.lenient() && machines.lostNow() > machines.tolerated()) {
            exceededAt = now;
        }
        checkProxies(now, settled && now - exceededAt > SKEW_MS);
        boolean answerDue = room.lenient() ? calm() : settled;
        for (Operators.Order o : operators.underWay()) {
            if (!answerDue || room.lenient() && o.answered()) {
                o.settledSince = now;
            } else if (now - o.settledSince > ACK_MS) {
                room.broken(o + " got no answer in " + (now - o.settledSince) + " ms of calm");
            }
        }
        for (int i : machines.core()) {
            if (room.fleet.isRunning(i)) {
                ConfigurationState state = room.fleet.replica(i).committed();
                if (state.edition().value() > 0 && seen.put(i, state) != state) {
                    operators.seen(
                            state.edition().value(),
                            new String(state.blob()),
                            "controller " + i + " says it is committed");
                }
            }
        }
        checkDuties();
        room.lives.check();
        if (room.probes() && calm() && probedAt < machines.lastEvent() && !operators.pending()) {
            probedAt = now;
            operators.change(1);
            operators.read();
        }
    }

    private void checkDuties() {
        for (int place = 0; place < machines.size(); place++) {
            checkHolder(Fleet.zone(place));
        }
        if (room.hasClients()) {
            LeaseManager.QUOTA_DUTIES.forEach(this::checkHolder);
        }
    }

    private void checkHolder(String duty) {
        int holder = -1;
        for (int i : machines.made()) {
            if (room.fleet.isRunning(i) && room.fleet.epoch(i, duty) > 0) {
                if (holder >= 0) {
                    room.broken("controllers " + holder + " and " + i + " hold the duty for " + duty + " at once");
                }
                holder = i;
            }
        }
    }

    private void checkProxies(long now, boolean settled) {
        Operators.Order late = settled ? due.newest(now) : null;
        Operators.Order veryLate = now - majoritySince > APPLY_MS + SKEW_MS ? longDue.newest(now) : null;
        for (Proxies.Proxy p : room.proxies.all()) {
            if (!p.well() || now - p.lastEvent < CONTACT_MS) {
                continue;
            }
            if (settled && room.servers != null) {
                room.servers.check(p, now);
            }
            Operators.Order missed = late != null && p.edition < late.edition
                    ? late
                    : veryLate != null && p.edition < veryLate.edition ? veryLate : null;
            if (missed != null) {
                room.broken(p.daemonAddress + " still has " + p.edition + " when " + missed.edition + " was confirmed "
                        + (now - missed.takenAt) + " ms ago, core " + (settled ? "settled" : "not settled"));
            }
            if (settled && now - operators.firstAcknowledged() > APPLY_MS && p.edition == 0) {
                room.broken(p.daemonAddress + " has no table");
            }
        }
    }
}
