package org.umbermount.simulation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Predicate;
import org.umbermount.control.Fleet;
import org.umbermount.kernel.DaemonAddress;

/**
 * The controllers' machines: one for each place of the control plane, what happens to them, and how many of them may be lost at
 * once. A machine counts as lost while it is away or disturbed and for a time after it is back.
 */
final class Machines {
    private static final long SYNC_MS = 4_000;
    private static final long LIST_LAG_MS = 3_000;
    private static final long LEAVE_MS = 700;
    private static final int MOST_STEP_MINUTES = 300;
    private static final long OPEN = Long.MAX_VALUE / 4;

    private final SimulatedCluster room;
    private final Fleet fleet;
    private final int tolerated;
    /** Which machine stands at each place. */
    private final List<Integer> core = new ArrayList<>();
    /** The operator's list of machines, by when it came into use. */
    private final TreeMap<Long, List<Integer>> lists = new TreeMap<>();

    private final Map<Integer, Integer> places = new TreeMap<>();
    private final Set<Integer> isolated = new TreeSet<>();
    private final Set<Integer> frozen = new TreeSet<>();
    private final Set<Integer> slowed = new TreeSet<>();
    private final Set<Integer> diskTrouble = new TreeSet<>();
    /** Until when the machine of each place counts as lost. */
    private final Map<Integer, Long> lostUntil = new HashMap<>();
    /** Places whose machine is about to be replaced. */
    private final Set<Integer> reserved = new HashSet<>();

    private int made;
    private long lastEvent;

    Machines(SimulatedCluster room, int size, int tolerated) {
        this.room = room;
        this.fleet = room.fleet;
        this.tolerated = tolerated;
        for (int i = 0; i < size; i++) {
            core.add(i);
            places.put(i, i);
            room.wires.add(Fleet.daemonAddress(i));
        }
        made = size;
        lists.put(Long.MIN_VALUE, List.copyOf(core));
        lastEvent = room.now();
    }

    static boolean isMachine(DaemonAddress daemonAddress) {
        return daemonAddress.port() == 7000;
    }

    List<Integer> core() {
        return core;
    }

    /** All machines that there have been. */
    Iterable<Integer> made() {
        return places.keySet();
    }

    int size() {
        return core.size();
    }

    String zone(int i) {
        return Fleet.zone(places.get(i));
    }

    int tolerated() {
        return tolerated;
    }

    long lastEvent() {
        return lastEvent;
    }

    /** The machines whose daemons can be called. */
    List<Integer> answering() {
        List<Integer> up = new ArrayList<>();
        for (int i : core) {
            if (fleet.isRunning(i) && !frozen.contains(i)) {
                up.add(i);
            }
        }
        return up;
    }

    /** One of the machines whose daemons can be called; -1 if there is none. */
    int anyAnswering(Random random) {
        List<Integer> up = answering();
        return up.isEmpty() ? -1 : up.get(random.nextInt(up.size()));
    }

    /** Whether a machine's daemon runs, and nothing is the matter with its processor, network or disk. */
    boolean undisturbed(int i) {
        return fleet.isRunning(i)
                && !frozen.contains(i)
                && !slowed.contains(i)
                && !isolated.contains(i)
                && !diskTrouble.contains(i);
    }

    private long running() {
        return core.stream().filter(this::undisturbed).count();
    }

    boolean majorityRuns() {
        return running() > core.size() / 2;
    }

    boolean allRun() {
        return running() == core.size();
    }

    boolean disksGood() {
        return diskTrouble.isEmpty();
    }

    /** Any three that the operator's list has had, which is some seconds behind. */
    List<Integer> seeds(Random random) {
        List<Integer> known =
                new ArrayList<>(lists.floorEntry(room.now() - LIST_LAG_MS).getValue());
        java.util.Collections.shuffle(known, random);
        return known.subList(0, 3);
    }

    /** The time of day steps by minutes or hours, on one machine, some or all of them. */
    void stepClocks(Random random) {
        int how = random.nextInt(3);
        int only = core.get(random.nextInt(core.size()));
        for (int i : core) {
            if (how == 0 ? i == only : how == 1 ? random.nextBoolean() : true) {
                long by = (random.nextInt(2 * MOST_STEP_MINUTES) - MOST_STEP_MINUTES) * 60_000L + 7;
                fleet.stepWallClock(i, by);
                room.note("the time of day of controller " + i + " steps by " + by);
            }
        }
    }

    private void event(int i, String what) {
        lastEvent = room.now();
        room.note("controller " + i + " " + what);
    }

    // ---- how many may be lost ----

    private boolean lost(int place) {
        return room.now() < lostUntil.getOrDefault(place, SimulatedCluster.NEVER);
    }

    int lostNow() {
        int n = 0;
        for (int place = 0; place < core.size(); place++) {
            n += lost(place) ? 1 : 0;
        }
        return n;
    }

    boolean mayLose() {
        return lostNow() < tolerated && lostNow() + reserved.size() < core.size();
    }

    /** A place whose machine may get into trouble now; -1 if none may. */
    private int victim(Random random) {
        int place = random.nextInt(core.size());
        return mayLose() && !lost(place) && !reserved.contains(place) ? place : -1;
    }

    // ---- short losses ----

    void trouble(Random random) {
        int place = victim(random);
        if (place >= 0) {
            trouble(place, random.nextInt(9), 200 + random.nextInt(5_300), random);
        }
    }

    private void trouble(int place, int how, long forMs, Random random) {
        lostUntil.put(place, room.now() + forMs + SYNC_MS + (room.lenient() ? 1 : 500));
        switch (how) {
            case 0 -> kill(place, false, false, forMs);
            case 1 -> losePowerWhileWriting(place, forMs, random);
            case 2 -> kill(place, true, true, forMs);
            case 3, 4 -> cut(place, forMs, Machines::isMachine, random);
            case 5, 6 -> freeze(place, forMs);
            default -> disturbDisk(place, random.nextInt(3), forMs);
        }
    }

    void wipe(Random random) {
        int place = victim(random);
        if (place >= 0) {
            long forMs = 200 + random.nextInt(2_000);
            lostUntil.put(place, room.now() + forMs + SYNC_MS + 1);
            kill(place, true, true, forMs);
        }
    }

    /** What is being written is in the file, and not yet synced, when the power goes. */
    private void losePowerWhileWriting(int place, long forMs, Random random) {
        fleet.disks.get(core.get(place)).endBeforeSync = true;
        room.later(1 + random.nextInt(4), () -> kill(place, true, false, forMs));
    }

    private void down(int i, boolean power, boolean wiped) {
        room.ended(Fleet.daemonAddress(i));
        room.lives.ended(i, wiped);
        fleet.kill(i, power);
        fleet.disks.get(i).endBeforeSync = false;
        if (wiped) {
            fleet.wipe(i);
        }
        frozen.remove(i);
    }

    private void kill(int place, boolean power, boolean wiped, long forMs) {
        int i = core.get(place);
        if (!fleet.isRunning(i)) {
            return;
        }
        down(i, power, wiped);
        event(i, (wiped ? "loses its disk" : power ? "loses power" : "is killed") + ", for " + forMs);
        room.later(forMs, () -> {
            room.daemons.start(i);
            event(i, "starts");
        });
    }

    private void cut(int place, long forMs, Predicate<DaemonAddress> others, Random random) {
        int i = core.get(place);
        NetworkCuts.Way way = NetworkCuts.Way.values()[random.nextInt(3)];
        NetworkCuts.Cut cut = room.wires.cut(Fleet.daemonAddress(i), way, others);
        isolated.add(i);
        event(i, "is cut off, " + way + ", for " + forMs);
        room.later(forMs, () -> {
            room.wires.join(cut);
            isolated.remove(i);
            event(i, "is joined");
        });
    }

    private void freeze(int place, long forMs) {
        int i = core.get(place);
        fleet.freeze(i);
        frozen.add(i);
        event(i, "freezes for " + forMs);
        room.later(forMs, () -> {
            frozen.remove(i);
            fleet.thaw(i);
            event(i, "thaws");
        });
    }

    private void disturbDisk(int place, int how, long forMs) {
        int i = core.get(place);
        diskTrouble.add(i);
        fleet.disks.get(i).full = how == 0;
        fleet.disks.get(i).hung = how == 1;
        fleet.disks.get(i).delayMs = how == 2 ? 125 : 1;
        event(i, "has a disk in trouble, " + (how == 0 ? "full" : how == 1 ? "hung" : "slow") + ", for " + forMs);
        room.later(forMs, () -> {
            diskTrouble.remove(i);
            fleet.disks.get(i).full = false;
            fleet.disks.get(i).delayMs = 1;
            if (how == 1) {
                fleet.disks.get(i).unhang();
            }
            event(i, "has a good disk");
        });
    }

    // ---- long losses ----

    /** Cut off or frozen for some twenty seconds. */
    void troubleForLong(Random random) {
        int place = victim(random);
        if (place < 0) {
            return;
        }
        long forMs = 15_000 + random.nextInt(10_000);
        lostUntil.put(place, room.now() + forMs + SYNC_MS + 1);
        awayFor(place, forMs, random.nextInt(4), random);
    }

    private void awayFor(int place, long forMs, int how, Random random) {
        switch (how) {
            case 0 -> freeze(place, forMs);
            case 1 -> cut(place, forMs, Machines::isMachine, random);
            case 2 -> cut(place, forMs, o -> true, random);
            default -> {
                List<DaemonAddress> some = new ArrayList<>();
                for (int o : core) {
                    if (random.nextBoolean()) {
                        some.add(Fleet.daemonAddress(o));
                    }
                }
                room.note("only from " + some);
                cut(place, forMs, some::contains, random);
            }
        }
    }

    /** One is away; says for how long, or 0 if none may be. */
    long away(Random random) {
        int place = victim(random);
        if (place < 0) {
            return 0;
        }
        long forMs = 20_000 + random.nextInt(20_000);
        lostUntil.put(place, room.now() + forMs + SYNC_MS + 1);
        int how = random.nextInt(5);
        if (how == 4) {
            kill(place, random.nextBoolean(), false, forMs);
        } else {
            awayFor(place, forMs, how, random);
        }
        return forMs;
    }

    /** A machine whose daemon gets a part of the processor's time. */
    void slow(Random random) {
        int place = victim(random);
        if (place < 0) {
            return;
        }
        int i = core.get(place);
        long forMs = 2_000 + random.nextInt(13_000);
        lostUntil.put(place, room.now() + forMs + SYNC_MS + 1);
        long stands = 100 + random.nextInt(900);
        long runs = 30 + random.nextInt(300);
        slowed.add(i);
        event(i, "stands still for " + stands + " in " + (stands + runs) + ", for " + forMs);
        hobble(i, room.now() + forMs, stands, runs);
    }

    private void hobble(int i, long until, long stands, long runs) {
        if (room.now() >= until) {
            slowed.remove(i);
            event(i, "runs as before");
            return;
        }
        fleet.freeze(i);
        room.later(stands, () -> {
            fleet.thaw(i);
            room.later(runs, () -> hobble(i, until, stands, runs));
        });
    }

    /** Gets no processor for a moment: nobody's trouble, and no excuse. */
    boolean stall(Random random, long forMs) {
        int place = random.nextInt(core.size());
        int i = core.get(place);
        if (!undisturbed(i) || lost(place) || reserved.contains(place)) {
            return false;
        }
        fleet.freeze(i);
        lostUntil.put(place, room.now() + forMs + 1);
        room.later(forMs, () -> fleet.thaw(i));
        return true;
    }

    void killAll(Random random) {
        if (lostNow() > 0 || !reserved.isEmpty()) {
            return;
        }
        boolean power = random.nextBoolean();
        for (int place = 0; place < core.size(); place++) {
            lostUntil.put(place, room.now() + 6_500);
            kill(place, power, false, 300 + random.nextInt(1_500));
        }
        for (Proxies.Proxy p : room.proxies.all()) {
            if (p.up && !p.frozen && random.nextBoolean()) {
                room.proxies.kill(p, 300 + random.nextInt(1_500));
            }
        }
    }

    // ---- machines that are gone for good ----

    /** A machine is gone for good; an empty one with a new address comes one or two seconds later. */
    void replace(Random random) {
        int place = victim(random);
        if (place >= 0) {
            replace(place, random.nextBoolean(), 1_000 + random.nextInt(1_001));
        }
    }

    private void replace(int place, boolean power, long afterMs) {
        int i = core.get(place);
        down(i, power, false);
        lostUntil.put(place, OPEN);
        event(i, "is gone for good");
        room.later(afterMs, () -> {
            int fresh = arrive(place);
            core.set(place, fresh);
            lists.put(room.now(), List.copyOf(core));
            lostUntil.put(place, room.now() + SYNC_MS);
        });
    }

    private int arrive(int place) {
        int fresh = made++;
        places.put(fresh, place);
        room.wires.add(Fleet.daemonAddress(fresh));
        List<Integer> named = room.daemons.start(fresh);
        event(fresh, "comes, empty, for controller " + core.get(place) + ", and is told of " + named);
        return fresh;
    }

    /** An empty machine comes, and then the one that it replaces says that it leaves, and ends. */
    void plannedReplace(Random random) {
        int place = random.nextInt(core.size());
        if (lost(place) || reserved.contains(place) || reserved.size() >= tolerated) {
            return;
        }
        reserved.add(place);
        int fresh = arrive(place);
        long came = room.now();
        List<Integer> both = new ArrayList<>(core);
        both.add(fresh);
        lists.put(room.now(), both);
        room.later(1_000 + random.nextInt(1_001), () -> leaveWhenAllowed(place, fresh, came));
    }

    private void leaveWhenAllowed(int place, int fresh, long came) {
        if (!mayLose()) {
            room.later(50, () -> leaveWhenAllowed(place, fresh, came));
            return;
        }
        int old = core.get(place);
        reserved.remove(place);
        lostUntil.put(place, Math.max(came + SYNC_MS, room.now() + LEAVE_MS));
        core.set(place, fresh);
        lists.put(room.now(), List.copyOf(core));
        if (!fleet.isRunning(old)) {
            return;
        }
        fleet.leave(old);
        event(old, "leaves");
        room.later(LEAVE_MS, () -> {
            if (fleet.isRunning(old)) {
                room.ended(Fleet.daemonAddress(old));
                room.lives.ended(old, false);
                fleet.kill(old, false);
                event(old, "has left");
            }
        });
    }

    /** As many as may be lost at once are gone for good, or lose their disks; all others lose power in the same moment. */
    void closingFault(int how, Random random) {
        int some = how == 0 ? 0 : tolerated;
        List<Integer> order = new ArrayList<>();
        for (int place = 0; place < core.size(); place++) {
            order.add(place);
        }
        java.util.Collections.shuffle(order, random);
        for (int k = 0; k < order.size(); k++) {
            int place = order.get(k);
            boolean without = k < some;
            if (how == 2 && without) {
                replace(place, true, 1_000 + random.nextInt(1_001));
            } else {
                long forMs = 300 + random.nextInt(1_500);
                lostUntil.put(place, room.now() + forMs + SYNC_MS);
                kill(place, true, without, forMs);
            }
        }
    }
}
