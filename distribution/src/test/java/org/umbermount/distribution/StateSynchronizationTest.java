package org.umbermount.distribution;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.umbermount.kernel.DaemonAddress;
import org.umbermount.kernel.MessagePackCodec;
import org.umbermount.kernel.Messenger;
import org.umbermount.kernel.Metrics;
import org.umbermount.kernel.testing.FakeClock;
import org.umbermount.kernel.testing.FakeMessenger;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class StateSynchronizationTest {
    private static final DaemonAddress SENDER = DaemonAddress.parse("10.0.0.1:7000");
    private static final DaemonAddress OTHER = DaemonAddress.parse("10.0.0.2:7000");
    private static final DaemonAddress PROXY = DaemonAddress.parse("10.0.0.3:7001");
    private final FakeClock clock = new FakeClock();
    private final FakeMessenger network = new FakeMessenger(clock, 5);
    private final Metrics metrics = new Metrics();
    private final List<Long> inForce = new ArrayList<>();
    private StateReceiver stateReceiver;

    private StateReceiver proxy(long life) {
        StateReceiver c = new StateReceiver(clock, network.bag(PROXY), metrics, life);
        c.observe(t -> inForce.add(t.edition().value()));
        return c;
    }

    private StateSender sender(DaemonAddress self, long epoch, List<Instruction> seen) {
        FakeMessenger.Bag bag = network.bag(self);
        StateSender[] c = new StateSender[1];
        Messenger watched = new Messenger() {
            @Override
            public DaemonAddress self() {
                return self;
            }

            @Override
            public void send(DaemonAddress to, Topic topic, byte[] body) {
                try {
                    seen.add(Instruction.unpack(body));
                } catch (MessagePackCodec.UnreadableException e) {
                    throw new AssertionError(e);
                }
                bag.send(to, topic, body);
            }

            @Override
            public void subscribe(Topic topic, Listener listener) {
                bag.subscribe(topic, listener);
            }
        };
        c[0] = new StateSender(PROXY, 0, epoch, clock, watched, metrics);
        bag.subscribe(Messenger.Topic.DISPATCH, (from, body) -> c[0].acknowledged(Instruction.unpack(body)));
        return c[0];
    }

    private static RoutingTable table(long edition, int... servers) {
        Map<String, byte[]> entries = new HashMap<>();
        entries.put(
                RoutingTable.CONFIGURATION,
                MessagePackCodec.write().num(edition).done());
        for (int s : servers) {
            entries.put(RoutingTable.INSTANCE + s, new byte[] {(byte) s});
        }
        return RoutingTable.of(entries);
    }

    private static RoutingTable wide(long edition, int servers) {
        int[] ids = new int[servers];
        for (int i = 0; i < servers; i++) {
            ids[i] = i;
        }
        return table(edition, ids);
    }

    @Test
    void changesTravelAsSmallDifferencesAndAreTrimmed() {
        stateReceiver = proxy(11);
        List<Instruction> seen = new ArrayList<>();
        StateSender c = sender(SENDER, 1, seen);
        c.offer(wide(1, 100));
        clock.advance(500);
        assertEquals(101, seen.get(0).difference().come().size());
        c.offer(wide(2, 101));
        clock.advance(500);
        Instruction second = seen.get(seen.size() - 1);
        assertEquals(2, second.difference().come().size());
        assertEquals(seen.get(0).newNum(), second.oldNum());
        assertEquals(seen.get(0).newNum(), second.throwawayNum());
        assertTrue(stateReceiver.inForce().sameAs(wide(2, 101)));
        assertEquals(second.newNum(), c.knownNum());
    }

    @Test
    void quietSenderBeatsWithEmptyInstructions() {
        stateReceiver = proxy(11);
        List<Instruction> seen = new ArrayList<>();
        sender(SENDER, 1, seen).offer(wide(1, 3));
        clock.advance(500);
        int before = seen.size();
        clock.advance(9_100);
        assertEquals(before + 3, seen.size());
        assertTrue(seen.get(seen.size() - 1).difference() == null);
    }

    @Test
    void afterALossTheDifferenceStartsFromTheKnownState() {
        stateReceiver = proxy(11);
        List<Instruction> seen = new ArrayList<>();
        StateSender c = sender(SENDER, 1, seen);
        c.offer(table(1, 1));
        clock.advance(2_000);
        long known = c.knownNum();
        network.cut(SENDER, PROXY);
        c.offer(table(1, 1, 2));
        clock.advance(30);
        c.offer(table(1, 1, 2, 3));
        clock.advance(30);
        Instruction third = seen.get(seen.size() - 1);
        assertTrue(third.oldNum() > known, "assumes that the second has arrived");
        clock.advance(300);
        Instruction again = seen.get(seen.size() - 1);
        assertEquals(known, again.oldNum());
        assertEquals(2, again.difference().come().size());
        network.healAll();
        clock.advance(1_500);
        assertTrue(stateReceiver.inForce().sameAs(table(1, 1, 2, 3)));
    }

    /** The first timeout was 600 ms once, and a proxy waited that long for its first table. */
    @Test
    void firstInstructionThatIsLostCostsLittle() {
        stateReceiver = proxy(11);
        network.cut(SENDER, PROXY);
        sender(SENDER, 1, new ArrayList<>()).offer(table(1, 1));
        clock.advance(50);
        network.healAll();
        clock.advance(200);
        assertEquals(1, stateReceiver.inForce().edition().value());
    }

    /** An acknowledgment once put a waiting change off until the next sign of life, 3 s later. */
    @Test
    void acknowledgmentDoesNotPutOffAWaitingChange() {
        stateReceiver = proxy(11);
        StateSender c = sender(SENDER, 1, new ArrayList<>());
        c.offer(table(1, 1));
        clock.advance(2_000);
        for (int gap = 0; gap < 25; gap++) {
            c.offer(table(2 + gap, gap));
            clock.advance(9);
            c.offer(table(2 + gap, gap, gap + 1));
            clock.advance(gap);
            c.acknowledged(new Instruction(1, 11, 0, 0, c.knownNum(), 0, 0, -1, null));
            clock.advance(200);
            assertTrue(stateReceiver.inForce().sameAs(table(2 + gap, gap, gap + 1)), "gap " + gap);
        }
    }

    /**
     * A proxy that stood still leaves a long timeout behind. One instruction lost after that, and changes that come faster
     * than the timeout, once kept every difference on a base that had never arrived: the proxy stayed behind for as long as
     * the changes went on.
     */
    @ParameterizedTest
    @ValueSource(ints = {60, 200, 330, 700})
    void changesFasterThanTheTimeoutDoNotKeepALossFromBeingMended(int gap) {
        stateReceiver = proxy(11);
        StateSender c = sender(SENDER, 1, new ArrayList<>());
        c.offer(table(1, 1));
        clock.advance(500);
        for (int i = 0; i < 3; i++) {
            network.freeze(PROXY);
            c.offer(table(2 + i, i));
            clock.advance(2_500);
            network.thaw(PROXY);
            clock.advance(300);
        }
        network.cut(SENDER, PROXY);
        c.offer(table(9, 1, 2));
        clock.advance(50);
        network.healAll();
        long edition = 10;
        for (int t = 0; t < 1_500; t += gap) {
            c.offer(table(edition++, t));
            clock.advance(gap);
        }
        assertTrue(
                stateReceiver.inForce().edition().value() > 9,
                "still " + stateReceiver.inForce().edition());
    }

    /** The duty ended and began again under one epoch, and the new sender's numbers began below those the proxy held. */
    @Test
    void senderMadeAnewUnderTheSameEpochIsUnderstood() {
        stateReceiver = proxy(11);
        StateSender first = sender(SENDER, 1, new ArrayList<>());
        for (int i = 1; i < 9; i++) {
            first.offer(table(i, i));
            clock.advance(200);
        }
        first.close();
        sender(SENDER, 1, new ArrayList<>()).offer(table(20, 1));
        clock.advance(1_000);
        assertEquals(20, stateReceiver.inForce().edition().value());
    }

    /** Word of an earlier life that comes late makes the sender begin anew twice; the proxy is not left behind for it. */
    @Test
    void lateWordOfAnEarlierLifeDoesNoLastingHarm() {
        stateReceiver = proxy(11);
        StateSender c = sender(SENDER, 1, new ArrayList<>());
        c.offer(table(1, 1));
        clock.advance(500);
        c.offer(table(2, 1));
        clock.advance(500);
        c.announced(10);
        clock.advance(300);
        c.offer(table(3, 1));
        clock.advance(700);
        assertEquals(3, stateReceiver.inForce().edition().value());
    }

    @Test
    void sentStatesStayBoundedWhileTheProxyIsSilent() {
        List<Instruction> seen = new ArrayList<>();
        StateSender c = sender(SENDER, 1, seen);
        for (int i = 1; i < 400; i++) {
            c.offer(table(i, i));
            clock.advance(300);
        }
        // Silence slows the sender down: it does not flood a dead proxy.
        assertTrue(seen.size() < 200, "sent " + seen.size());
        stateReceiver = proxy(11);
        clock.advance(3_000);
        assertEquals(399, stateReceiver.inForce().edition().value());
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void everyTableArrivesUnderLossDoublingAndReordering(long seed) {
        FakeMessenger bad = network;
        bad.loss = 0.3;
        bad.doubles = 0.2;
        bad.jitterMs = 40;
        stateReceiver = proxy(11);
        StateSender c = sender(SENDER, 1, new ArrayList<>());
        Random random = new Random(seed);
        RoutingTable last = RoutingTable.EMPTY;
        for (int i = 1; i < 60; i++) {
            last = table(1 + i / 4, random.nextInt(9), random.nextInt(9), 10 + random.nextInt(9));
            c.offer(last);
            clock.advance(random.nextInt(120));
        }
        clock.advance(4_000);
        assertTrue(stateReceiver.inForce().sameAs(last));
        for (int i = 1; i < inForce.size(); i++) {
            assertTrue(inForce.get(i) >= inForce.get(i - 1), "went back to " + inForce.get(i));
        }
    }

    @Test
    void newSenderResyncsAndTheOldOneIsFenced() {
        stateReceiver = proxy(11);
        StateSender old = sender(SENDER, 5, new ArrayList<>());
        old.offer(table(3, 1));
        clock.advance(500);
        List<Instruction> seen = new ArrayList<>();
        sender(OTHER, 6, seen).offer(table(3, 1, 2));
        clock.advance(500);
        assertEquals(0, seen.get(0).oldNum());
        assertTrue(stateReceiver.inForce().sameAs(table(3, 1, 2)));
        old.offer(table(4, 9));
        clock.advance(2_000);
        assertTrue(stateReceiver.inForce().sameAs(table(3, 1, 2)));
        assertEquals(OTHER, stateReceiver.sender());
        assertTrue(metrics.counter("distribution.stale.epoch").count() > 0);
    }

    @Test
    void lowerRevisionIsNotTakenWithinALife() {
        stateReceiver = proxy(11);
        sender(SENDER, 5, new ArrayList<>()).offer(table(7, 1));
        clock.advance(500);
        StateSender behind = sender(OTHER, 6, new ArrayList<>());
        behind.offer(table(6, 1));
        clock.advance(1_000);
        assertEquals(7, stateReceiver.inForce().edition().value());
        behind.offer(table(8, 1));
        clock.advance(3_000);
        assertEquals(8, stateReceiver.inForce().edition().value());
    }

    @Test
    void proxyThatStartsAgainEmptyIsGivenEverything() {
        stateReceiver = proxy(11);
        StateSender c = sender(SENDER, 1, new ArrayList<>());
        c.offer(table(2, 1, 2));
        clock.advance(500);
        stateReceiver = proxy(12);
        c.offer(table(2, 1, 2, 3));
        clock.advance(1_500);
        assertTrue(stateReceiver.inForce().sameAs(table(2, 1, 2, 3)));
    }

    @Test
    void baselineWithoutALeaseIsTakenOnlyByAnEmptyProxy() {
        stateReceiver = proxy(11);
        FakeMessenger.Bag any = network.bag(OTHER);
        any.send(
                PROXY,
                Messenger.Topic.DISPATCH,
                new Instruction(0, 11, 0, 1, 0, 0, 0, -1, table(4, 1).since(RoutingTable.EMPTY)).pack());
        clock.advance(10);
        assertEquals(4, stateReceiver.inForce().edition().value());
        any.send(
                PROXY,
                Messenger.Topic.DISPATCH,
                new Instruction(0, 11, 0, 1, 0, 0, 0, -1, table(9, 1).since(RoutingTable.EMPTY)).pack());
        clock.advance(10);
        assertEquals(4, stateReceiver.inForce().edition().value());
    }

    /** However late word of a confirmation comes, the table counts only for so long after it was asked for. */
    @Test
    void tableCountsFromBeforeItsConfirmationWasAsked() {
        stateReceiver = proxy(11);
        stateReceiver.countFor(4_700);
        StateSender c = sender(SENDER, 1, new ArrayList<>());
        long[] asked = {clock.now().millis()};
        boolean[] asking = {true};
        c.vouch(
                new TableFreshness() {
                    @Override
                    public org.umbermount.kernel.ConfigurationRevision edition() {
                        return new org.umbermount.kernel.ConfigurationRevision(2);
                    }

                    @Override
                    public org.umbermount.kernel.MonotonicTime at() {
                        if (asking[0]) {
                            asked[0] = clock.now().millis() - 200;
                        }
                        return new org.umbermount.kernel.MonotonicTime(asked[0]);
                    }
                },
                800);
        assertTrue(stateReceiver.goodForMs() <= 0);
        c.offer(table(2, 1));
        for (int i = 0; i < 40; i++) {
            clock.advance(100);
            long good = stateReceiver.goodForMs();
            assertTrue(i < 10 || good > 3_000, "good for " + good);
            assertTrue(good <= 4_500, "good for " + good);
        }
        // The sender is cut off from the voters, and goes on talking.
        asking[0] = false;
        long since = asked[0];
        clock.advance(3_000);
        assertTrue(stateReceiver.goodForMs() <= since + 4_700 - clock.now().millis());
        clock.advance(2_000);
        assertTrue(stateReceiver.goodForMs() <= 0);
        // Word that waited while this process stood still says nothing about now.
        network.delayMs = 6_000;
        asking[0] = true;
        clock.advance(8_000);
        assertTrue(stateReceiver.goodForMs() <= 0, "good for " + stateReceiver.goodForMs());
    }

    /** A sender of the same address that came back at once must not take what the earlier one was told for its own. */
    @Test
    void acknowledgmentOfAnEarlierSenderDoesNotCount() {
        stateReceiver = proxy(11);
        sender(SENDER, 1, new ArrayList<>()).offer(table(2, 1, 2));
        clock.advance(500);
        List<Instruction> seen = new ArrayList<>();
        StateSender next = sender(SENDER, 2, seen);
        next.offer(table(2, 1));
        // The earlier sender's number 1 is acknowledged late; the new one's number 1 has been lost.
        Instruction late = new Instruction(1, 11, 0, 0, 1, 0, 0, -1, null);
        network.cutBoth(SENDER, PROXY);
        clock.advance(20);
        next.acknowledged(late);
        assertEquals(0, next.knownNum());
        clock.advance(200);
        network.healAll();
        clock.advance(2_000);
        assertTrue(stateReceiver.inForce().sameAs(table(2, 1)));
        assertEquals(1, next.knownNum());
    }

    @Test
    void roundTripFollowsTcpWithItsFloor() {
        RoundTrip r = new RoundTrip();
        for (int i = 0; i < 50; i++) {
            r.sample(1);
        }
        assertEquals(50, r.rto());
        assertEquals(20, r.frame());
        for (int i = 0; i < 50; i++) {
            r.sample(i % 2 == 0 ? 300 : 500);
        }
        assertTrue(r.rto() > 500 && r.frame() > 150 && r.frame() <= 250, r.rto() + " " + r.frame());
        assertFalse(r.smoothed() < 300);
    }
}
