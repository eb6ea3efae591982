package org.umbermount.control;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.umbermount.control.Replica.Verdict;
import org.umbermount.kernel.ConfigurationRevision;
import org.umbermount.kernel.Mutation;
import org.umbermount.kernel.Safeguard;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Two operators choose the same numbers, lose answers and send again through any controller, in random trouble. */
class TwoOperatorsTest {
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void oneNumberOneContentAndNoRefusalOfWhatWasTaken(long seed) throws IOException {
        new Play(4, 0, seed).play();
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void theSameWhereTwoMayBeLost(long seed) throws IOException {
        new Play(6, 2, seed).play();
    }

    /** The play sees what a missing mechanism does. */
    @Test
    void withoutTheDigestThePlayFails() throws Exception {
        Mutation.without(
                Safeguard.DIGEST_COMPARED, () -> assertThrows(AssertionError.class, () -> new Play(4, 0, 1).play()));
    }

    /** An order as an operator has it, with what it has been told. */
    private static final class Call {
        final Order order;
        final String text;
        final int operator;
        Fleet.Reply reply;
        int sendings;
        boolean heardTaken;

        Call(Order order, String text, int operator) {
            this.order = order;
            this.text = text;
            this.operator = operator;
        }
    }

    private static final class Play {
        private final Random random;
        private final int size;
        private final Fleet fleet;
        private final int atOnce;
        private final Map<Integer, Boolean> down = new TreeMap<>();
        private final Set<Integer> full = new TreeSet<>();
        private final Set<Integer> cut = new TreeSet<>();
        private final List<Call> open = new ArrayList<>();
        private final List<Call> acknowledged = new ArrayList<>();
        /** Which order was confirmed under a number, by any answer, heard or not. */
        private final Map<ConfigurationRevision, Order> confirmed = new HashMap<>();

        private final Map<ConfigurationRevision, Order> history = new TreeMap<>();
        /** On a version that had been built on: never in force, whatever is sent. */
        private final Set<Order> heardRefused = new HashSet<>();
        /** On a version that was not there: not in force unless someone sends the same again after the refusal. */
        private final Set<Order> heardRefusedAhead = new HashSet<>();

        private int repeats;
        private int aheads;

        Play(int size, int tolerated, long seed) throws IOException {
            this.random = new Random(seed);
            this.size = size;
            this.atOnce = Math.max(1, tolerated);
            this.fleet = new Fleet(size, 3, seed * 131, tolerated, null);
        }

        void play() throws IOException {
            fleet.run(size > 4 ? 9_000 : 5_000);
            fleet.network.loss = 0.03;
            fleet.network.doubles = 0.05;
            fleet.network.jitterMs = random.nextBoolean() ? 8 : 60;
            for (int step = 0; step < 120; step++) {
                trouble();
                for (int operator = 0; operator < 2; operator++) {
                    act(operator);
                }
                fleet.run(20 + random.nextInt(250));
                judge();
            }
            heal();
            fleet.network.loss = 0;
            fleet.run(12_000);
            judge();
            for (Call call : acknowledged) {
                send(call, random.nextInt(size));
                // There and back, and once more to a majority: four times the longest way.
                fleet.run(200);
                assertEquals(Verdict.TAKEN, call.reply.verdict, "at the end " + call.order);
            }
            assertTrue(acknowledged.size() > 8, "too little was taken: " + acknowledged.size());
            assertTrue(repeats > 15, "too little was sent again: " + repeats);
            assertTrue(heardRefused.size() > 5, "too little was refused: " + heardRefused.size());
            assertTrue(aheads > 0, "nothing was refused that was ahead");
        }

        private void trouble() throws IOException {
            int troubled = down.size() + full.size() + cut.size();
            if (troubled < atOnce && random.nextInt(12) == 0) {
                int victim = random.nextInt(size);
                if (down.containsKey(victim) || full.contains(victim) || cut.contains(victim)) {
                    return;
                }
                int kind = random.nextInt(6);
                if (kind < 2) {
                    for (int o = 0; o < size; o++) {
                        fleet.network.cutBoth(Fleet.daemonAddress(o), Fleet.daemonAddress(victim));
                    }
                    cut.add(victim);
                } else if (kind == 2) {
                    fleet.disks.get(victim).full = true;
                    full.add(victim);
                } else {
                    fleet.kill(victim, random.nextBoolean());
                    down.put(victim, random.nextBoolean());
                }
            } else if (troubled > 0 && random.nextInt(10) == 0) {
                heal();
                // The next loss comes when the last one has been made good.
                fleet.run(5_000);
            }
        }

        private void heal() throws IOException {
            full.forEach(i -> fleet.disks.get(i).full = false);
            full.clear();
            fleet.network.healAll();
            cut.clear();
            for (Map.Entry<Integer, Boolean> e : down.entrySet()) {
                if (e.getValue()) {
                    fleet.wipe(e.getKey());
                }
                fleet.start(e.getKey(), false);
            }
            down.clear();
        }

        /** Up to four orders of each are under way; both take their next numbers from what they have seen. */
        private void act(int operator) {
            List<Call> mine = open.stream().filter(c -> c.operator == operator).toList();
            for (Call call : mine) {
                if (call.reply.gaveUp || call.reply.verdict != null) {
                    send(call, random.nextInt(size));
                    repeats++;
                }
            }
            if (!acknowledged.isEmpty() && random.nextInt(3) == 0) {
                send(acknowledged.get(random.nextInt(acknowledged.size())), random.nextInt(size));
                repeats++;
            }
            if (mine.size() < 4) {
                long base = newest();
                if (random.nextInt(5) == 0) {
                    base = Math.max(0, base + random.nextInt(6) - 2);
                }
                long number = base + 1 + random.nextInt(2);
                String text = random.nextInt(6) == 0
                        ? "both " + number
                        : "operator " + operator + " number " + number + " try " + random.nextInt(3);
                Call call = new Call(
                        new Order(
                                new ConfigurationRevision(base),
                                new ConfigurationRevision(number),
                                Digest.ofCall("PUT", text.getBytes())),
                        text,
                        operator);
                open.add(call);
                send(call, random.nextInt(size));
            }
        }

        private long newest() {
            long newest = 0;
            for (ConfigurationRevision e : history.keySet()) {
                newest = Math.max(newest, e.value());
            }
            return newest;
        }

        private void send(Call call, int at) {
            call.sendings++;
            heardRefusedAhead.remove(call.order);
            if (!fleet.isRunning(at)) {
                call.reply = new Fleet.Reply();
                call.reply.gaveUp = true;
            } else {
                call.reply = fleet.submit(
                        at, call.order.match().value(), call.order.edition().value(), call.text);
            }
        }

        private void judge() {
            readHistories();
            for (Call call : List.copyOf(open)) {
                check(call);
                boolean heard = call.reply.verdict != null && random.nextInt(3) > 0;
                if (heard && call.reply.verdict == Verdict.TAKEN) {
                    open.remove(call);
                    acknowledged.add(call);
                } else if (heard) {
                    open.remove(call);
                    boolean builtOn = call.order.match().value() < newest();
                    (builtOn ? heardRefused : heardRefusedAhead).add(call.order);
                    aheads += builtOn ? 0 : 1;
                } else if (call.sendings > 12) {
                    open.remove(call);
                }
            }
            acknowledged.forEach(this::check);
            for (Set<Order> all : List.of(heardRefused, heardRefusedAhead)) {
                for (Order refused : all) {
                    assertTrue(
                            !refused.equals(history.get(refused.edition())), "in force after its refusal: " + refused);
                }
            }
        }

        private void check(Call call) {
            Verdict verdict = call.reply == null ? null : call.reply.verdict;
            if (verdict == Verdict.TAKEN) {
                Order earlier = confirmed.put(call.order.edition(), call.order);
                assertTrue(
                        earlier == null || earlier.equals(call.order), "confirmed: " + earlier + " and " + call.order);
                assertEquals(call.order, history.get(call.order.edition()), "confirmed, but not in force");
            } else if (verdict != null) {
                assertTrue(!call.order.equals(history.get(call.order.edition())), "taken, and refused: " + call.order);
            }
        }

        /** What any controller knows to be committed; all must agree. */
        private void readHistories() {
            for (int i = 0; i < size; i++) {
                if (fleet.isRunning(i)) {
                    ConfigurationRevision base = ConfigurationRevision.NONE;
                    for (TakenOrders.Taken t :
                            fleet.replica(i).committed().taken().entries()) {
                        Order order = new Order(base, t.edition(), t.digest());
                        Order other = history.put(t.edition(), order);
                        assertTrue(other == null || other.equals(order), "two histories: " + other + " and " + order);
                        base = t.edition();
                    }
                }
            }
        }
    }
}
