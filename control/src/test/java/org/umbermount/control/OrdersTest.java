package org.umbermount.control;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.umbermount.control.Replica.Verdict;
import org.umbermount.kernel.ConfigurationRevision;
import org.umbermount.kernel.DaemonAddress;
import org.umbermount.kernel.MessagePackCodec;
import org.umbermount.kernel.Messenger;
import org.umbermount.kernel.Mutation;
import org.umbermount.kernel.Safeguard;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** One number is confirmed to one content, and an order that was taken is never refused, however it comes again. */
class OrdersTest {
    /** Positions in the replica's kinds of messages. */
    private static final int SUBMIT = 0;

    private static final int VERDICT = 1;
    private static final int WRITE = 2;
    private static final int NEWS = 5;
    private static final int FETCH = 6;

    private static Fleet settled(long seed) throws IOException {
        Fleet fleet = new Fleet(4, 3, seed);
        fleet.run(5_000);
        return fleet;
    }

    private static Verdict answer(Fleet fleet, Fleet.Reply reply) {
        for (int t = 0; t < 1_000 && reply.verdict == null && !reply.gaveUp; t++) {
            fleet.run(1);
        }
        return reply.verdict;
    }

    private static Verdict order(Fleet fleet, int at, long match, long edition, String text) {
        return answer(fleet, fleet.submit(at, match, edition, text));
    }

    /** Takes the numbers from {@code first} to {@code last}, each on the one before. */
    private static void takeAll(Fleet fleet, long first, long last) {
        for (long e = first; e <= last; e++) {
            assertEquals(Verdict.TAKEN, order(fleet, (int) (e % 4), e - 1, e, "c" + e), "number " + e);
        }
    }

    private static int indexOf(DaemonAddress who) {
        int i = 0;
        while (!Fleet.daemonAddress(i).equals(who)) {
            i++;
        }
        return i;
    }

    private static int head(Fleet fleet, int seenFrom) {
        return indexOf(fleet.replica(seenFrom).view().head());
    }

    // ---- a repeat after any number of others ----

    @Test
    void repeatIsNeverRefusedHoweverManyOthersWereTakenSince() throws IOException {
        Fleet fleet = settled(1);
        takeAll(fleet, 1, 9);
        Fleet.Reply first = fleet.submit(0, 9, 10, "c10");
        Fleet.Reply meanwhile = fleet.submit(1, 9, 10, "c10");
        assertEquals(Verdict.TAKEN, answer(fleet, first));
        assertEquals(Verdict.TAKEN, answer(fleet, meanwhile), "while the first was on its way");
        long newest = 10;
        for (int others : new int[] {0, 1, 47, 48, 49, 500, 5_000}) {
            takeAll(fleet, newest + 1, 10 + others);
            newest = 10 + others;
            for (int at = 0; at < 4; at++) {
                assertEquals(
                        others <= 500 ? Verdict.TAKEN : null,
                        order(fleet, at, 9, 10, "c10"),
                        "after " + others + " others, at " + at);
                assertEquals(
                        others <= 500 ? Verdict.STALE : null,
                        order(fleet, at, 9, 10, "other"),
                        "another content after " + others + " others, at " + at);
                assertEquals(
                        others == 0 ? Verdict.NOT_HIGHER : Verdict.STALE,
                        order(fleet, at, others == 0 ? 10 : newest - 1, others == 0 ? 9 : newest + 5, "x"));
            }
        }
        long floor = fleet.replica(0).committed().taken().floor().value();
        assertEquals(newest - TakenOrders.REMEMBERED, floor);
        assertNull(order(fleet, 2, floor - 1, floor, "c" + floor), "at the floor");
        assertNull(order(fleet, 2, floor - 1, floor, "other"), "at the floor");
        assertEquals(Verdict.TAKEN, order(fleet, 2, floor, floor + 1, "c" + (floor + 1)), "just above the floor");
        assertEquals(Verdict.STALE, order(fleet, 2, floor, floor + 1, "other"), "just above the floor");
    }

    /** A stale order above the floor gets its answer in a few round trips. */
    @Test
    void properButStaleOrderHasItsAnswerAtOnce() throws IOException {
        Fleet fleet = settled(2);
        takeAll(fleet, 1, 30);
        for (int at = 0; at < 4; at++) {
            Fleet.Reply stale = fleet.submit(at, 20, 40, "late");
            fleet.run(10);
            assertEquals(Verdict.STALE, stale.verdict, "at " + at);
        }
    }

    // ---- troubles between the order and its repeat ----

    @Test
    void repeatAfterAChangeOfViewIsTaken() throws IOException {
        for (int seed = 10; seed < 13; seed++) {
            Fleet fleet = settled(seed);
            takeAll(fleet, 1, 3);
            int old = head(fleet, 0);
            fleet.kill(old, true);
            fleet.run(3_000);
            for (int at = 0; at < 4; at++) {
                if (at != old) {
                    assertEquals(Verdict.TAKEN, order(fleet, at, 1, 2, "c2"));
                    assertEquals(Verdict.TAKEN, order(fleet, at, 2, 3, "c3"));
                    assertEquals(Verdict.STALE, order(fleet, at, 2, 3, "other"));
                }
            }
            fleet.start(old, false);
            fleet.run(5_000);
            assertEquals(Verdict.TAKEN, order(fleet, old, 1, 2, "c2"));
        }
    }

    @Test
    void repeatAfterAsManyDisksAreWipedAsAreToleratedIsTaken() throws IOException {
        Fleet fleet = new Fleet(6, 3, 20, 2, null);
        fleet.run(9_000);
        takeAll(fleet, 1, 60);
        for (int i = 0; i < 6; i++) {
            fleet.kill(i, true);
        }
        fleet.wipe(1);
        fleet.wipe(4);
        for (int i = 0; i < 6; i++) {
            fleet.start(i, false);
        }
        fleet.run(12_000);
        for (int at = 0; at < 6; at++) {
            assertEquals(Verdict.TAKEN, order(fleet, at, 0, 1, "c1"), "at " + at);
            assertEquals(Verdict.TAKEN, order(fleet, at, 59, 60, "c60"), "at " + at);
            assertEquals(Verdict.STALE, order(fleet, at, 59, 60, "other"), "at " + at);
        }
    }

    @Test
    void repeatThroughAControllerThatHasJustJoinedBySnapshotIsTaken() throws IOException {
        Fleet fleet = settled(21);
        fleet.kill(3, true);
        fleet.wipe(3);
        fleet.run(3_000);
        for (long e = 1; e <= 100; e++) {
            assertEquals(Verdict.TAKEN, order(fleet, (int) (e % 3), e - 1, e, "c" + e));
        }
        fleet.start(3, false);
        for (int t = 0; t < 40; t++) {
            Fleet.Reply early = fleet.submit(3, 0, 1, "c1");
            fleet.run(200);
            assertTrue(early.verdict == null || early.verdict == Verdict.TAKEN, "refused after " + t);
        }
        assertEquals(Verdict.TAKEN, order(fleet, 3, 0, 1, "c1"));
        assertEquals(Verdict.TAKEN, order(fleet, 3, 99, 100, "c100"));
        assertEquals(100, fleet.replica(3).committed().taken().entries().size());
    }

    // ---- which orders are the same ----

    @Test
    void sameBytesFromTwoOperatorsAreOneOrderAndOtherBytesAreNot() throws IOException {
        Fleet fleet = settled(30);
        Fleet.Reply one = fleet.submit(0, 0, 7, "same");
        Fleet.Reply two = fleet.submit(3, 0, 7, "same");
        Fleet.Reply other = fleet.submit(2, 0, 7, "other");
        assertEquals(Verdict.TAKEN, answer(fleet, one));
        assertEquals(Verdict.TAKEN, answer(fleet, two));
        assertEquals(Verdict.STALE, answer(fleet, other));
        takeAll(fleet, 8, 9);
        assertEquals(Verdict.TAKEN, order(fleet, 1, 8, 9, "c9"));
        assertNull(order(fleet, 1, 7, 9, "c9"), "the same call on another base: neither yes nor no");
        assertEquals(Verdict.STALE, order(fleet, 1, 7, 9, "c9 otherwise"));
        assertNotEquals(Digest.ofCall("PUT", "x".getBytes()), Digest.ofCall("PATCH", "x".getBytes()));
    }

    @Test
    void lowerEqualAndHigherNumbersThanTheCurrentOne() throws IOException {
        Fleet fleet = settled(31);
        takeAll(fleet, 1, 5);
        assertEquals(Verdict.NOT_HIGHER, order(fleet, 0, 5, 4, "x"));
        assertEquals(Verdict.NOT_HIGHER, order(fleet, 1, 5, 5, "x"));
        assertEquals(Verdict.NOT_HIGHER, order(fleet, 2, 5, 5, "c5"), "its number is taken, but not on top of itself");
        assertEquals(Verdict.STALE, order(fleet, 0, 3, 4, "x"));
        assertEquals(Verdict.STALE, order(fleet, 1, 4, 5, "x"));
        assertEquals(Verdict.STALE, order(fleet, 2, 4, 6, "x"));
        assertEquals(Verdict.STALE, order(fleet, 3, 9, 11, "x"), "on a version that is not there");
        assertEquals(Verdict.TAKEN, order(fleet, 3, 5, 1L << 60, "x"));
        assertEquals(Verdict.TAKEN, order(fleet, 3, 4, 5, "c5"));
    }

    @Test
    void eightOrdersUnderWayAtOnceAtOneAndAtSeveral() throws IOException {
        for (int controllers : new int[] {1, 4}) {
            Fleet fleet = settled(32 + controllers);
            fleet.network.loss = 0.05;
            fleet.network.doubles = 0.1;
            fleet.network.jitterMs = 20;
            for (long round = 0; round < 30; round++) {
                long base = fleet.replica(0).committed().edition().value();
                List<Fleet.Reply> replies = new ArrayList<>();
                for (int k = 0; k < 8; k++) {
                    replies.add(fleet.submit(k % controllers, base, base + 1 + k / 4, "r" + round + "k" + k));
                }
                fleet.run(900);
                long taken =
                        replies.stream().filter(r -> r.verdict == Verdict.TAKEN).count();
                assertTrue(taken <= 1, taken + " winners on " + base);
                TakenOrders history = fleet.replica(0).committed().taken();
                for (int k = 0; k < 8; k++) {
                    Order order = new Order(
                            new ConfigurationRevision(base),
                            new ConfigurationRevision(base + 1 + k / 4),
                            Digest.ofCall("PUT", ("r" + round + "k" + k).getBytes()));
                    boolean isTaken = history.find(order) == TakenOrders.Finding.TAKEN;
                    Verdict verdict = replies.get(k).verdict;
                    assertTrue(verdict == null || (verdict == Verdict.TAKEN) == isTaken, order + " " + verdict);
                }
            }
            assertTrue(fleet.replica(0).committed().taken().entries().size() > 20);
        }
    }

    // ---- one number, two contents ----

    /** The head has written the one and dies; the other is taken in the next view; the old head comes back. */
    private static List<Verdict> sameNumberAroundAChangeOfView(long seed) throws IOException {
        Fleet fleet = settled(seed);
        takeAll(fleet, 1, 2);
        int old = head(fleet, 0);
        DaemonAddress next = fleet.replica(old).view().successor(Fleet.daemonAddress(old));
        fleet.network.cut(Fleet.daemonAddress(old), next);
        Fleet.Reply lost = fleet.submit(old, 2, 3, "one");
        fleet.run(50);
        assertEquals(3, fleet.replica(old).newestEdition().value(), "the head has written it");
        assertNull(lost.verdict);
        fleet.kill(old, false);
        fleet.network.healAll();
        fleet.run(3_000);
        int other = (old + 1) % 4;
        List<Verdict> said = new ArrayList<>();
        said.add(order(fleet, other, 2, 3, "two"));
        said.add(order(fleet, (old + 2) % 4, 2, 3, "one"));
        fleet.start(old, false);
        for (int t = 0; t < 10; t++) {
            fleet.run(500);
            said.add(order(fleet, old, 2, 3, "two"));
            said.add(order(fleet, old, 2, 3, "one"));
        }
        for (int i = 0; i < 4; i++) {
            assertEquals("two", new String(fleet.read(i, 850).blob()));
        }
        return said;
    }

    private static void onlyTwoIsConfirmed(List<Verdict> said) {
        for (int i = 0; i < said.size(); i++) {
            Verdict v = said.get(i);
            assertTrue(v == null || v == (i % 2 == 0 ? Verdict.TAKEN : Verdict.STALE), "answer " + i + " is " + v);
        }
        assertEquals(Verdict.TAKEN, said.get(0));
        assertEquals(Verdict.STALE, said.get(1));
        assertEquals(Verdict.STALE, said.get(said.size() - 1));
    }

    @ParameterizedTest
    @ValueSource(longs = {40, 41, 42})
    void twoContentsUnderOneNumberAroundAChangeOfView(long seed) throws IOException {
        onlyTwoIsConfirmed(sameNumberAroundAChangeOfView(seed));
    }

    @Test
    void withoutTheDigestTwoContentsAreConfirmed() throws Exception {
        List<Verdict> said = Mutation.without(Safeguard.DIGEST_COMPARED, () -> sameNumberAroundAChangeOfView(40));
        assertThrows(AssertionError.class, () -> onlyTwoIsConfirmed(said));
        assertEquals(Verdict.TAKEN, said.get(1));
    }

    /**
     * A head that has written one content under a number comes back, hears that another is committed under it, and cannot write
     * that down. What it then tells others as committed.
     */
    private static String passedOnAsCommitted() throws Exception {
        Fleet fleet = settled(43);
        takeAll(fleet, 1, 2);
        int old = head(fleet, 0);
        fleet.network.cut(Fleet.daemonAddress(old), fleet.replica(old).view().successor(Fleet.daemonAddress(old)));
        fleet.submit(old, 2, 3, "one");
        fleet.run(50);
        fleet.kill(old, false);
        fleet.network.healAll();
        fleet.run(3_000);
        assertEquals(Verdict.TAKEN, order(fleet, (old + 1) % 4, 2, 3, "two"));
        fleet.disks.get(old).full = true;
        fleet.start(old, false);
        fleet.run(2_000);
        assertEquals("two", new String(fleet.replica(old).committed().blob()));
        String[] told = {"nothing"};
        var asker = fleet.network.bag(Fleet.daemonAddress(9));
        asker.subscribe(Messenger.Topic.VIEW, (from, body) -> {
            MessagePackCodec.Reader in = MessagePackCodec.read(body);
            assertEquals(NEWS, in.num());
            View.read(in);
            ConfigurationState state = ConfigurationState.read(in);
            told[0] = new String((in.flag() ? state : ConfigurationState.read(in)).blob());
        });
        asker.send(
                Fleet.daemonAddress(old),
                Messenger.Topic.VIEW,
                MessagePackCodec.write().num(FETCH).done());
        fleet.run(20);
        return told[0];
    }

    @Test
    void twinUnderTheSameNumberIsNotPassedOnAsCommitted() throws Exception {
        assertEquals("two", passedOnAsCommitted());
        assertEquals("one", Mutation.without(Safeguard.COMMITTED_BY_CONTENT, OrdersTest::passedOnAsCommitted));
    }

    // ---- mechanisms left out ----

    private static Verdict repeatBelowTheFloor() {
        TakenOrders taken = TakenOrders.NONE;
        for (long e = 1; e <= 10 + TakenOrders.REMEMBERED; e++) {
            taken = taken.with(
                    new TakenOrders.Taken(new ConfigurationRevision(e), Digest.ofCall("PUT", ("c" + e).getBytes())));
        }
        Order old = new Order(
                new ConfigurationRevision(9), new ConfigurationRevision(10), Digest.ofCall("PUT", "c10".getBytes()));
        return taken.find(old) == TakenOrders.Finding.NOT_TAKEN ? Verdict.STALE : null;
    }

    @Test
    void withoutTheFloorATakenOrderIsRefused() throws Exception {
        assertNull(repeatBelowTheFloor());
        assertEquals(Verdict.STALE, Mutation.without(Safeguard.FLOOR_RESPECTED, OrdersTest::repeatBelowTheFloor));
    }

    /** A head that was cut off is asked to take an order on a version that it has not heard of. */
    private static Verdict atAHeadThatWasLeftBehind() throws IOException {
        Fleet fleet = settled(50);
        takeAll(fleet, 1, 1);
        int old = head(fleet, 0);
        for (int o = 0; o < 4; o++) {
            if (o != old) {
                fleet.network.cutBoth(Fleet.daemonAddress(old), Fleet.daemonAddress(o));
            }
        }
        fleet.run(3_000);
        assertEquals(Verdict.TAKEN, order(fleet, (old + 1) % 4, 1, 2, "c2"));
        assertEquals(Verdict.TAKEN, order(fleet, (old + 1) % 4, 2, 3, "c3"));
        return order(fleet, old, 2, 3, "c3");
    }

    @Test
    void withoutAConfirmedViewATakenOrderIsRefused() throws Exception {
        assertNull(atAHeadThatWasLeftBehind());
        assertEquals(
                Verdict.STALE, Mutation.without(Safeguard.REFUSAL_CONFIRMED, OrdersTest::atAHeadThatWasLeftBehind));
    }

    private static boolean isSubmission(Messenger.Topic topic, byte[] body) {
        try {
            return topic == Messenger.Topic.CHAIN && MessagePackCodec.read(body).num() == SUBMIT;
        } catch (MessagePackCodec.UnreadableException e) {
            throw new AssertionError(e);
        }
    }

    /**
     * A head whose messages are lost takes an order, which gives way in the next view; what its caller, which asks only once,
     * hears when the controller is head again.
     */
    private static Verdict orderThatGaveWay() throws IOException {
        Fleet fleet = settled(51);
        takeAll(fleet, 1, 2);
        int old = head(fleet, 0);
        int asker = (old + 2) % 4;
        for (int o = 0; o < 4; o++) {
            if (o != old) {
                fleet.network.cut(Fleet.daemonAddress(old), Fleet.daemonAddress(o));
            }
        }
        Verdict[] heard = new Verdict[1];
        fleet.chainClient(asker)
                .submit(
                        new ConfigurationRevision(2),
                        new ConfigurationRevision(3),
                        "one".getBytes(),
                        30_000,
                        v -> heard[0] = v,
                        () -> {});
        fleet.run(20);
        fleet.network.tap =
                (from, to, topic, body) -> !from.equals(Fleet.daemonAddress(asker)) || !isSubmission(topic, body);
        fleet.run(3_000);
        assertEquals(Verdict.TAKEN, order(fleet, (old + 1) % 4, 2, 3, "two"));
        fleet.network.healAll();
        fleet.run(8_000);
        assertEquals(old, head(fleet, 0));
        assertEquals("two", new String(fleet.replica(old).committed().blob()));
        return heard[0];
    }

    @Test
    void anOrderThatGaveWayIsNotAnsweredInALaterView() throws Exception {
        assertNull(orderThatGaveWay());
        assertEquals(Verdict.TAKEN, Mutation.without(Safeguard.OWED_WITHIN_ONE_VIEW, OrdersTest::orderThatGaveWay));
    }

    /** A controller starts anew, and what was said to its earlier life comes late; the clock was set back meanwhile. */
    private static Verdict lateAnswerToAnEarlierLife() throws IOException {
        Fleet fleet = settled(52);
        takeAll(fleet, 1, 2);
        int asker = 3;
        assertEquals(Verdict.TAKEN, order(fleet, asker, 2, 3, "c3"));
        RequestId earlier = fleet.chainClient(asker).newestId();
        long wall = fleet.almanac.wallMillis();
        fleet.kill(asker, false);
        fleet.run(2_000);
        fleet.almanac.stepWallClock(wall - fleet.almanac.wallMillis());
        fleet.start(asker, false);
        fleet.run(5_000);
        View view = fleet.replica(asker).view();
        for (DaemonAddress member : view.chain()) {
            fleet.network.cut(member, Fleet.daemonAddress(asker));
            fleet.network.cut(Fleet.daemonAddress(asker), member);
        }
        Fleet.Reply reply = null;
        while (fleet.chainClient(asker).newestId().number() < earlier.number()) {
            reply = fleet.submit(asker, 1, 9, "never taken");
        }
        assertEquals(earlier.number(), fleet.chainClient(asker).newestId().number());
        assertNotEquals(earlier, fleet.chainClient(asker).newestId());
        fleet.network.healAll();
        MessagePackCodec.Writer late = MessagePackCodec.write().num(VERDICT);
        earlier.write(late);
        int tail = indexOf(view.tail()) == asker ? (asker + 1) % 4 : indexOf(view.tail());
        fleet.bag(tail)
                .send(
                        Fleet.daemonAddress(asker),
                        Messenger.Topic.CHAIN,
                        late.num(Verdict.TAKEN.ordinal()).done());
        fleet.run(2);
        return reply.verdict;
    }

    @Test
    void answerToAnEarlierLifeIsNotTakenForOneToThisLife() throws Exception {
        assertNotEquals(Verdict.TAKEN, lateAnswerToAnEarlierLife());
        assertEquals(
                Verdict.TAKEN, Mutation.without(Safeguard.REPLY_OF_THIS_LIFE, OrdersTest::lateAnswerToAnEarlierLife));
    }

    /** An order on a version that is not there yet is refused; then the version comes, and a late copy of the order. */
    private static Verdict lateCopyOfAnOrderThatWasRefusedAhead() throws IOException {
        Fleet fleet = settled(53);
        takeAll(fleet, 1, 2);
        assertEquals(Verdict.STALE, order(fleet, 0, 3, 4, "ahead"));
        assertEquals(Verdict.TAKEN, order(fleet, 1, 2, 3, "c3"));
        Verdict late = order(fleet, 2, 3, 4, "ahead");
        assertEquals(Verdict.TAKEN, order(fleet, 2, late == Verdict.TAKEN ? 4 : 3, 5, "another goes on"));
        return late;
    }

    @Test
    void orderThatWasRefusedAheadIsNotTakenByALateCopy() throws Exception {
        assertNull(lateCopyOfAnOrderThatWasRefusedAhead());
        assertEquals(
                Verdict.TAKEN,
                Mutation.without(Safeguard.AHEAD_BARRED, OrdersTest::lateCopyOfAnOrderThatWasRefusedAhead));
    }

    /** The same, where the head that refused it has ended and is back in the same view. */
    private static String lateCopyAtTheNextLifeOfTheHead() throws IOException {
        Fleet fleet = settled(54);
        takeAll(fleet, 1, 2);
        View view = fleet.replica(0).view();
        int head = head(fleet, 0);
        int other = (head + 1) % 4;
        assertEquals(Verdict.STALE, order(fleet, other, 3, 4, "ahead"));
        RequestId id = fleet.chainClient(other).newestId();
        fleet.kill(head, false);
        fleet.start(head, false);
        fleet.run(5);
        assertEquals(Verdict.TAKEN, order(fleet, other, 2, 3, "c3"));
        assertEquals(view.number(), fleet.replica(head).view().number(), "the view has changed");
        Order late = new Order(
                new ConfigurationRevision(3), new ConfigurationRevision(4), Digest.ofCall("PUT", "ahead".getBytes()));
        fleet.replica(other).sendSubmission(view.head(), id, view.number(), late, "ahead".getBytes());
        fleet.run(20);
        return new String(fleet.replica(other).committed().blob());
    }

    @Test
    void orderThatWasRefusedAheadIsNotTakenByTheNextLifeOfTheHead() throws Exception {
        assertEquals("c3", lateCopyAtTheNextLifeOfTheHead());
        assertEquals("ahead", Mutation.without(Safeguard.AHEAD_BARRED, OrdersTest::lateCopyAtTheNextLifeOfTheHead));
    }

    // ---- on the disk and in messages ----

    private static byte[] written(ConfigurationState state) {
        MessagePackCodec.Writer out = MessagePackCodec.write();
        state.write(out);
        return out.done();
    }

    @Test
    void fullMemoryOfOrdersIsBoundedAndReadsBack() throws Exception {
        for (long step : new long[] {1, 1_000_000}) {
            ConfigurationState state = ConfigurationState.NONE.inView(3);
            for (int i = 1; i <= 3_000; i++) {
                state = state.take(
                        new ConfigurationRevision(1_700_000_000_000L * (step > 1 ? 1 : 0) + i * step), new byte[0]);
            }
            byte[] bytes = written(state);
            assertTrue(bytes.length < 12_000, "bytes: " + bytes.length);
            ConfigurationState back = ConfigurationState.read(MessagePackCodec.read(bytes));
            assertEquals(state.taken(), back.taken());
            assertEquals(state.edition(), back.edition());
        }
    }

    @Test
    void stateOfTheFormerFormatIsReadAsKnowingNoOrders() throws Exception {
        byte[] former = MessagePackCodec.write()
                .num(4)
                .num(9)
                .bytes("c9".getBytes())
                .num(2)
                .num(8)
                .num(77)
                .num(9)
                .num(78)
                .done();
        ConfigurationState read = ConfigurationState.read(MessagePackCodec.read(former));
        assertEquals(9, read.edition().value());
        assertEquals(4, read.view());
        assertEquals(new TakenOrders(new ConfigurationRevision(9), List.of()), read.taken());
        Order repeat = new Order(
                new ConfigurationRevision(8), new ConfigurationRevision(9), Digest.ofCall("PUT", "c9".getBytes()));
        assertEquals(TakenOrders.Finding.UNCLEAR, read.taken().find(repeat), "never refused");
    }

    /** A state of view 1 with an empty configuration, up to where the floor and the orders follow. */
    private static MessagePackCodec.Writer stateBeforeOrders(long format, long edition) {
        return MessagePackCodec.write().num(format).num(1).num(edition).bytes(new byte[0]);
    }

    @Test
    void damagedStateIsNotMistakenForAGoodOne() throws Exception {
        ConfigurationState good = ConfigurationState.NONE
                .inView(1)
                .take(new ConfigurationRevision(5), "c".getBytes())
                .take(new ConfigurationRevision(6), "d".getBytes());
        byte[] bytes = written(good);
        for (int cut = 0; cut < bytes.length; cut++) {
            byte[] part = java.util.Arrays.copyOf(bytes, cut);
            assertThrows(
                    MessagePackCodec.UnreadableException.class,
                    () -> ConfigurationState.read(MessagePackCodec.read(part)),
                    "cut at " + cut);
        }
        Digest d = Digest.ofCall("PUT", "c".getBytes());
        List<MessagePackCodec.Writer> bad = new ArrayList<>();
        bad.add(stateBeforeOrders(-3, 5).num(5).num(0));
        bad.add(stateBeforeOrders(-2, 6).num(5).num(0));
        bad.add(stateBeforeOrders(-2, 5).num(5).num(1).num(0).num(d.high()).num(d.low()));
        bad.add(stateBeforeOrders(-2, 5)
                .num(5)
                .num(1)
                .num(Long.MAX_VALUE)
                .num(d.high())
                .num(d.low()));
        bad.add(stateBeforeOrders(-2, 5).num(-1).num(0));
        bad.add(stateBeforeOrders(-2, 5).num(5).num(TakenOrders.REMEMBERED + 1));
        for (MessagePackCodec.Writer w : bad) {
            byte[] wrong = w.done();
            assertThrows(
                    MessagePackCodec.UnreadableException.class,
                    () -> ConfigurationState.read(MessagePackCodec.read(wrong)));
        }
    }
}
