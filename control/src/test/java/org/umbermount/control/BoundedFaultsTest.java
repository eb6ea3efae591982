package org.umbermount.control;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.umbermount.kernel.DaemonAddress;
import org.umbermount.kernel.Messenger;
import org.umbermount.kernel.Mutation;
import org.umbermount.kernel.Safeguard;

import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

/**
 * Bounded model check on the controllers as they are: two operators order two changes under one number on one version, and a
 * member of the chain loses power in the same moment. Each message of views and chain that follows is lost, comes late or twice,
 * or its sender or receiver loses power with it, one message at a time; {@code -Dfaults=2} does so for every pair of messages.
 * Runs share nothing, so {@code -Dthreads=2} plays them side by side; {@code -Dminutes=15} ends the search then, and says how
 * many of how many runs were played.
 */
class BoundedFaultsTest {
    private enum Fault {
        LOST,
        LATE,
        TWICE,
        RECEIVER_LOSES_POWER,
        SENDER_LOSES_POWER,
        RECEIVER_LOSES_DISK
    }

    private record Strike(int message, Fault fault) {}

    private static final long WINDOW_MS = 2_600;
    private static final long DOWN_MS = 1_200;

    /** One run with some strikes. */
    private static final class Run {
        private final int size;
        private final List<Strike> strikes;
        private final Map<Long, View> views = new HashMap<>();
        private final List<Integer> down = new ArrayList<>();
        private String broken;
        private boolean open;
        private boolean passing;
        private int count;
        private Fleet fleet;

        Run(int size, List<Strike> strikes) {
            this.size = size;
            this.strikes = strikes;
        }

        private void watch(Replica replica) {
            replica.onView(v -> {
                View before = views.putIfAbsent(v.number(), v);
                if (before != null && !before.equals(v)) {
                    broken = "two views under one number: " + before + " and " + v;
                }
            });
        }

        private int indexOf(DaemonAddress who) {
            for (int i = 0; i < size; i++) {
                if (Fleet.daemonAddress(i).equals(who)) {
                    return i;
                }
            }
            throw new IllegalStateException();
        }

        private boolean strike(DaemonAddress from, DaemonAddress to, Messenger.Topic topic, byte[] body) {
            if (!open || passing || topic != Messenger.Topic.VIEW && topic != Messenger.Topic.CHAIN) {
                return true;
            }
            int mine = count++;
            for (Strike s : strikes) {
                if (s.message == mine) {
                    return apply(s.fault, from, to, topic, body);
                }
            }
            return true;
        }

        private boolean apply(Fault fault, DaemonAddress from, DaemonAddress to, Messenger.Topic topic, byte[] body) {
            switch (fault) {
                case LOST -> {
                    return false;
                }
                case LATE -> {
                    again(from, to, topic, body, 260);
                    return false;
                }
                case TWICE -> again(from, to, topic, body, 260);
                case RECEIVER_LOSES_POWER -> fall(indexOf(to), false, 0);
                case SENDER_LOSES_POWER -> fall(indexOf(from), false, 0);
                default -> fall(indexOf(to), true, 0);
            }
            return true;
        }

        private void again(DaemonAddress from, DaemonAddress to, Messenger.Topic topic, byte[] body, long ms) {
            fleet.almanac.after(ms, () -> {
                if (fleet.isRunning(indexOf(from))) {
                    passing = true;
                    fleet.bag(indexOf(from)).send(to, topic, body);
                    passing = false;
                }
            });
        }

        private void fall(int i, boolean wiped, long inMs) {
            fleet.almanac.after(inMs, () -> {
                if (!fleet.isRunning(i)) {
                    return;
                }
                fleet.kill(i, true);
                if (wiped) {
                    fleet.wipe(i);
                }
                down.add(i);
                fleet.almanac.after(DOWN_MS, () -> rise(i));
            });
        }

        private void rise(int i) {
            try {
                fleet.start(i, false);
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
            down.remove((Integer) i);
        }

        /** What is broken, or null. */
        String play() throws IOException {
            fleet = new Fleet(size, 3, 31, 1, (i, clock, bag, replica, disk) -> watch(replica));
            fleet.network.tap = this::strike;
            fleet.run(6_000);
            Fleet.Reply first = fleet.submit(0, 0, 1, "c1");
            fleet.run(100);
            if (first.verdict != Replica.Verdict.TAKEN) {
                return "no calm at the start";
            }
            open = true;
            DaemonAddress member = fleet.replica(0).view().chain().get(1);
            Caller a = new Caller("a", 0);
            Caller b = new Caller("b", 2);
            fall(indexOf(member), false, 2);
            for (long t = 0; t < WINDOW_MS + 8_000; t += 100) {
                open = t < WINDOW_MS;
                fleet.run(100);
                a.goOn();
                b.goOn();
            }
            return broken != null ? broken : judge(a, b);
        }

        /** An operator that sends its order again, to the next controller, until it has a clear answer. */
        private final class Caller {
            private final String text;
            private int at;
            private Fleet.Reply reply;
            private boolean waiting;
            Replica.Verdict verdict;

            Caller(String text, int at) {
                this.text = text;
                this.at = at;
                reply = fleet.submit(at, 1, 5, text);
            }

            void goOn() {
                verdict = reply.verdict;
                waiting |= verdict == null && (reply.gaveUp || !fleet.isRunning(at));
                for (int i = 0; i < size && waiting; i++) {
                    at = (at + 1) % size;
                    if (fleet.isRunning(at)) {
                        reply = fleet.submit(at, 1, 5, text);
                        waiting = false;
                    }
                }
            }
        }

        private String judge(Caller a, Caller b) {
            if (!down.isEmpty()) {
                return "not all are back";
            }
            if (a.verdict == null || b.verdict == null) {
                return "no clear answer in calm";
            }
            if (a.verdict == Replica.Verdict.TAKEN && b.verdict == Replica.Verdict.TAKEN) {
                return "two contents were confirmed under one number";
            }
            String held = null;
            for (int i = 0; i < size; i++) {
                ConfigurationState read = fleet.read(i, 850);
                if (read == null) {
                    return "no reading at " + i + " in calm";
                }
                String text = new String(read.blob());
                if (held != null && !held.equals(text)) {
                    return "read " + held + " and then " + text;
                }
                held = text;
            }
            for (String one : List.of("a", "b")) {
                Replica.Verdict verdict = one.equals("a") ? a.verdict : b.verdict;
                if (verdict == Replica.Verdict.TAKEN && !one.equals(held)) {
                    return one + " was confirmed, and " + held + " is read";
                }
                if (verdict != Replica.Verdict.TAKEN && one.equals(held)) {
                    return one + " was refused, and is in force";
                }
            }
            Fleet.Reply next = fleet.submit(1, held.equals("c1") ? 1 : 5, 9, "next");
            fleet.run(900);
            return next.verdict == Replica.Verdict.TAKEN ? null : "no change is taken in calm";
        }
    }

    /** How many of the planned runs were played, and what broke first, or null. */
    private record Outcome(int runs, int planned, String broken) {}

    private static Outcome search(int size, int faults, List<Fault> kinds) throws Exception {
        Run plain = new Run(size, List.of());
        String bad = plain.play();
        if (bad != null) {
            return new Outcome(1, 1, bad);
        }
        List<List<Strike>> plans = plans(plain.count, size, faults, kinds);
        long end = System.nanoTime() + Integer.getInteger("minutes", 60) * 60_000_000_000L;
        AtomicInteger next = new AtomicInteger();
        AtomicInteger runs = new AtomicInteger(1);
        TreeMap<Integer, String> broken = new TreeMap<>();
        Callable<Void> worker = () -> {
            for (int k = next.getAndIncrement();
                    k < plans.size() && System.nanoTime() < end;
                    k = next.getAndIncrement()) {
                runs.incrementAndGet();
                String found = new Run(size, plans.get(k)).play();
                if (found != null) {
                    synchronized (broken) {
                        broken.put(k, plans.get(k) + " of " + plain.count + ": " + found);
                    }
                    next.set(plans.size());
                }
            }
            return null;
        };
        int threads = Integer.getInteger("threads", 1);
        ExecutorService pool = Executors.newFixedThreadPool(threads);
        try {
            for (Future<Void> done : pool.invokeAll(Collections.nCopies(threads, worker))) {
                done.get();
            }
        } finally {
            pool.shutdown();
        }
        return new Outcome(
                runs.get(),
                plans.size() + 1,
                broken.isEmpty() ? null : broken.firstEntry().getValue());
    }

    private static List<List<Strike>> plans(int messages, int size, int faults, List<Fault> kinds) {
        List<List<Strike>> plans = new ArrayList<>();
        for (int one = 0; one < messages; one++) {
            for (Fault fault : kinds) {
                if (faults == 1) {
                    plans.add(List.of(new Strike(one, fault)));
                    continue;
                }
                for (int other = one + 1; other < messages; other++) {
                    for (Fault second : kinds) {
                        plans.add(List.of(new Strike(one, fault), new Strike(other, second)));
                    }
                }
            }
        }
        // Two disks lost, or one with another member away, are more than may be lost at once.
        plans.removeIf(
                plan -> size < 5 && faults > 1 && plan.stream().anyMatch(s -> s.fault == Fault.RECEIVER_LOSES_DISK));
        return plans;
    }

    @ParameterizedTest
    @ValueSource(ints = {3, 4})
    void oneFaultAtAnyMessageBreaksNothing(int size) throws Exception {
        int faults = Integer.getInteger("faults", 1);
        Outcome found = search(size, faults, List.of(Fault.values()));
        System.out.println("faults: " + size + " controllers, " + faults + " at a time: " + found.runs + " of "
                + found.planned + " runs");
        assertNull(found.broken, found.broken);
    }

    @Test
    void theSearchNoticesThatContentsAreNotToldApart() throws Exception {
        assertNotNull(Mutation.without(Safeguard.DIGEST_COMPARED, () -> search(3, 1, List.of(Fault.values()))).broken);
    }
}
