package org.umbermount.control;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.umbermount.control.Replica.Verdict;
import org.umbermount.kernel.ConfigurationRevision;
import org.umbermount.kernel.DaemonAddress;
import org.umbermount.kernel.Messenger;
import org.umbermount.kernel.Mutation;
import org.umbermount.kernel.Safeguard;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Changes that travel as increments: what is lost, doubled, late or overtaken, and members that lack what one builds on. */
class IncrementChainTest {
    /** Positions in the replica's kinds of messages. */
    private static final int WRITE = 2;

    private static final int INCREMENT = 10;
    private static final int STATE_WANTED = 11;
    private static final int SIZE = 4;

    private final Map<Integer, Integer> sent = new HashMap<>();

    /** Whether a message of the chain goes on its way. */
    private interface Filter {
        boolean passes(int kind, DaemonAddress from, DaemonAddress to, byte[] body);
    }

    private Fleet settled(long seed) throws IOException {
        Fleet fleet = new Fleet(SIZE, 3, seed);
        fleet.run(5_000);
        for (long e = 1; e <= 3; e++) {
            assertEquals(Verdict.TAKEN, answer(fleet, fleet.submit(0, e - 1, e, "c" + e)));
        }
        fleet.run(300);
        return fleet;
    }

    private void watch(Fleet fleet, Filter filter) {
        sent.clear();
        fleet.network.tap = (from, to, topic, body) -> {
            if (topic != Messenger.Topic.CHAIN) {
                return true;
            }
            sent.merge((int) body[0], 1, Integer::sum);
            return filter.passes(body[0], from, to, body);
        };
    }

    private int sent(int kind) {
        return sent.getOrDefault(kind, 0);
    }

    private static Verdict answer(Fleet fleet, Fleet.Reply reply) {
        for (int t = 0; t < 1_000 && reply.verdict == null && !reply.gaveUp; t++) {
            fleet.run(1);
        }
        return reply.verdict;
    }

    private static int indexOf(DaemonAddress who) {
        int i = 0;
        while (!Fleet.daemonAddress(i).equals(who)) {
            i++;
        }
        return i;
    }

    private static DaemonAddress member(Fleet fleet, int place) {
        return fleet.replica(0).view().chain().get(place);
    }

    /** Every controller has the same committed state, all of it, and it remembers these numbers. */
    private static void assertAllHold(Fleet fleet, Long... numbers) {
        ConfigurationState first = fleet.replica(0).committed();
        assertEquals(
                List.of(numbers),
                first.taken().entries().stream().map(t -> t.edition().value()).toList());
        for (int i = 1; i < SIZE; i++) {
            ConfigurationState other = fleet.replica(i).committed();
            assertTrue(first.isSameAs(other), "controller " + i);
            assertEquals(first.taken(), other.taken(), "controller " + i);
        }
    }

    @Test
    void changesInOneViewTravelAsWhatIsNewInThem() throws IOException {
        Fleet fleet = settled(1);
        watch(fleet, (kind, from, to, body) -> true);
        for (long e = 4; e <= 40; e++) {
            assertEquals(Verdict.TAKEN, answer(fleet, fleet.submit((int) (e % SIZE), e - 1, e, "c" + e)));
        }
        assertEquals(0, sent(WRITE));
        assertEquals(0, sent(STATE_WANTED));
        assertTrue(sent(INCREMENT) >= 37 * (SIZE - 1));
    }

    /** The first of two changes is lost on its first way: whoever is sent the second alone must not build it on another. */
    private static void aMemberIsSentTheSecondOfTwoChangesAlone() throws IOException {
        IncrementChainTest test = new IncrementChainTest();
        Fleet fleet = test.settled(2);
        DaemonAddress head = member(fleet, 0);
        boolean[] lost = new boolean[1];
        test.watch(fleet, (kind, from, to, body) -> {
            boolean first = kind == INCREMENT && from.equals(head) && !lost[0];
            lost[0] |= first;
            return !first;
        });
        int at = indexOf(head);
        Fleet.Reply four = fleet.submit(at, 3, 4, "c4");
        fleet.run(5);
        Fleet.Reply five = fleet.submit(at, 4, 5, "c5");
        assertEquals(Verdict.TAKEN, answer(fleet, five));
        assertEquals(Verdict.TAKEN, answer(fleet, four));
        assertTrue(lost[0]);
        assertEquals(1, test.sent(STATE_WANTED));
        fleet.run(400);
        assertAllHold(fleet, 1L, 2L, 3L, 4L, 5L);
    }

    @Test
    void aMemberThatLacksTheBaseIsSentTheWholeState() throws Exception {
        aMemberIsSentTheSecondOfTwoChangesAlone();
        assertThrows(
                AssertionError.class,
                () -> Mutation.without(Safeguard.INCREMENT_BASE_COMPARED, () -> {
                    aMemberIsSentTheSecondOfTwoChangesAlone();
                    return null;
                }));
    }

    @Test
    void whereTheRequestForTheWholeIsLostTheHeadsRepeatBringsIt() throws IOException {
        Fleet fleet = settled(3);
        DaemonAddress head = member(fleet, 0);
        int[] increments = new int[1];
        watch(
                fleet,
                (kind, from, to, body) ->
                        kind != STATE_WANTED && !(kind == INCREMENT && from.equals(head) && increments[0]++ == 0));
        fleet.submit(indexOf(head), 3, 4, "c4");
        fleet.run(5);
        Fleet.Reply five = fleet.submit(indexOf(head), 4, 5, "c5");
        assertEquals(Verdict.TAKEN, answer(fleet, five));
        assertTrue(sent(STATE_WANTED) > 0 && sent(WRITE) > 0);
        fleet.run(300);
        assertAllHold(fleet, 1L, 2L, 3L, 4L, 5L);
    }

    /** What is asked for by who is not the member after, or for another view, is not sent. */
    @Test
    void onlyTheMemberAfterIsSentTheWholeState() throws IOException {
        Fleet fleet = settled(4);
        long view = fleet.replica(0).view().number();
        watch(fleet, (kind, from, to, body) -> true);
        byte[] wanted = org.umbermount.kernel.MessagePackCodec.write()
                .num(STATE_WANTED)
                .num(view)
                .done();
        byte[] other = org.umbermount.kernel.MessagePackCodec.write()
                .num(STATE_WANTED)
                .num(view + 1)
                .done();
        fleet.bag(indexOf(member(fleet, 2))).send(member(fleet, 0), Messenger.Topic.CHAIN, wanted);
        fleet.bag(indexOf(member(fleet, 1))).send(member(fleet, 0), Messenger.Topic.CHAIN, other);
        fleet.run(10);
        assertEquals(0, sent(WRITE));
        fleet.bag(indexOf(member(fleet, 1))).send(member(fleet, 0), Messenger.Topic.CHAIN, wanted);
        fleet.run(10);
        assertTrue(sent(WRITE) > 0);
    }

    /** An increment of an earlier view that comes late, and one that comes twice, change nothing. */
    @Test
    void anIncrementOfAnEarlierViewIsDropped() throws IOException {
        Fleet fleet = settled(5);
        DaemonAddress head = member(fleet, 0);
        DaemonAddress second = member(fleet, 1);
        List<byte[]> late = new ArrayList<>();
        watch(fleet, (kind, from, to, body) -> {
            if (kind == INCREMENT && from.equals(head)) {
                late.add(body);
            }
            return !(from.equals(head) && (kind == INCREMENT || kind == WRITE));
        });
        int away = indexOf(member(fleet, 2));
        fleet.submit(indexOf(head), 3, 4, "lost");
        fleet.run(20);
        long view = fleet.replica(0).view().number();
        fleet.kill(indexOf(head), true);
        fleet.run(3_000);
        fleet.network.tap = (from, to, topic, body) -> true;
        assertTrue(fleet.replica(away).view().number() > view);
        int caller = indexOf(second);
        assertEquals(Verdict.TAKEN, answer(fleet, fleet.submit(caller, 3, 6, "c6")));
        fleet.start(indexOf(head), false);
        fleet.run(5_000);
        for (int i = 0; i < 3; i++) {
            fleet.bag(indexOf(head)).send(second, Messenger.Topic.CHAIN, late.get(0));
        }
        fleet.run(300);
        assertAllHold(fleet, 1L, 2L, 3L, 6L);
    }

    // ---- drawn days ----

    /** What was committed under each number, seen from every controller at every moment. */
    private static final class Witness {
        private final Map<ConfigurationRevision, ConfigurationState> committed = new HashMap<>();
        private String broken;

        void watch(Replica replica) {
            replica.onCommit(state -> {
                ConfigurationState before = committed.putIfAbsent(state.edition(), state);
                if (before != null && !(before.isSameAs(state) && before.taken().equals(state.taken()))) {
                    broken = "two states under the number " + state.edition();
                }
            });
        }
    }

    /** Changes that overlap on a bad network, while members are killed, wiped, cut off and hang one at a time. */
    private String play(long seed) throws IOException {
        Random random = new Random(seed);
        Witness witness = new Witness();
        Fleet fleet = new Fleet(SIZE, 3, seed, 1, (i, clock, bag, replica, disk) -> witness.watch(replica));
        fleet.run(6_000);
        watch(fleet, (kind, from, to, body) -> true);
        fleet.network.loss = 0.1;
        fleet.network.doubles = 0.1;
        fleet.network.jitterMs = 30;
        List<Ordered> orders = new ArrayList<>();
        long newest = 0;
        for (int round = 0; round < 12; round++) {
            int victim = random.nextInt(SIZE);
            int at = (victim + 1 + random.nextInt(SIZE - 1)) % SIZE;
            strike(fleet, victim, random.nextInt(5));
            for (int i = 0; i < 12; i++) {
                long match = newest++;
                String text = "{\"n\":" + random.nextInt() + "},".repeat(random.nextInt(20));
                orders.add(new Ordered(
                        new TakenOrders.Taken(new ConfigurationRevision(newest), Digest.ofCall("PUT", text.getBytes())),
                        fleet.submit(at, match, newest, text)));
                // The next one follows as soon as the head has this one, while it is still on its way along the chain.
                for (int t = 0; t < 300 && newestAnywhere(fleet) < newest; t++) {
                    fleet.run(1);
                }
                newest = newestAnywhere(fleet);
            }
            fleet.run(1_000);
            recover(fleet, victim);
            fleet.run(4_500);
            newest = newestAnywhere(fleet);
        }
        fleet.network.loss = 0;
        fleet.run(4_000);
        return witness.broken != null ? witness.broken : judge(fleet, orders);
    }

    private static long newestAnywhere(Fleet fleet) {
        long newest = 0;
        for (int i = 0; i < SIZE; i++) {
            newest = fleet.isRunning(i)
                    ? Math.max(newest, fleet.replica(i).newestEdition().value())
                    : newest;
        }
        return newest;
    }

    private static void strike(Fleet fleet, int victim, int kind) {
        switch (kind) {
            case 0 -> fleet.kill(victim, true);
            case 1 -> {
                fleet.kill(victim, true);
                fleet.wipe(victim);
            }
            case 2 -> {
                for (int other = 0; other < SIZE; other++) {
                    fleet.network.cutBoth(Fleet.daemonAddress(victim), Fleet.daemonAddress(other));
                }
            }
            case 3 -> fleet.disks.get(victim).hung = true;
            default -> {}
        }
    }

    private static void recover(Fleet fleet, int victim) throws IOException {
        fleet.network.healAll();
        fleet.disks.get(victim).unhang();
        if (!fleet.isRunning(victim)) {
            fleet.start(victim, false);
        }
    }

    /** An order as it was handed in, and what its caller was told. */
    private record Ordered(TakenOrders.Taken order, Fleet.Reply reply) {}

    private static String judge(Fleet fleet, List<Ordered> orders) {
        ConfigurationState first = fleet.replica(0).committed();
        for (int i = 0; i < SIZE; i++) {
            ConfigurationState other = fleet.replica(i).committed();
            if (!first.isSameAs(other) || !first.taken().equals(other.taken())) {
                return "controllers 0 and " + i + " differ in calm";
            }
        }
        List<Ordered> confirmed =
                orders.stream().filter(o -> o.reply().verdict == Verdict.TAKEN).toList();
        for (Ordered one : confirmed) {
            if (!first.taken().entries().contains(one.order())) {
                return one.order().edition() + " was confirmed and is not remembered";
            }
        }
        boolean enough = first.taken().entries().size() > 100 && confirmed.size() > 15;
        return enough ? null : "only " + first.taken().entries().size() + " taken, " + confirmed.size() + " confirmed";
    }

    @Test
    void changesThatOverlapOnABadNetworkAreTheSameEverywhere() throws Exception {
        int wanted = 0;
        for (long seed = 1; seed <= 6; seed++) {
            assertNull(play(seed), "seed " + seed);
            wanted += sent(STATE_WANTED);
        }
        assertTrue(wanted > 50, "the whole state was asked for " + wanted + " times");
        System.out.println("increments: the whole state was asked for " + wanted + " times");
    }

    @Test
    void theDaysNoticeAnIncrementOnAWrongBase() throws Exception {
        String broken = null;
        for (long seed = 1; seed <= 6 && broken == null; seed++) {
            long day = seed;
            broken = Mutation.without(Safeguard.INCREMENT_BASE_COMPARED, () -> play(day));
        }
        assertNotNull(broken);
    }
}
