package org.umbermount.distribution;

import java.util.Map;
import org.junit.jupiter.api.Test;
import org.umbermount.kernel.DaemonAddress;
import org.umbermount.kernel.MessagePackCodec;
import org.umbermount.kernel.Messenger;
import org.umbermount.kernel.Metrics;
import org.umbermount.kernel.Mutation;
import org.umbermount.kernel.Safeguard;
import org.umbermount.kernel.testing.FakeClock;
import org.umbermount.kernel.testing.FakeMessenger;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** A sender tells the lives of a proxy apart by numbers that have no order. */
class ProxyLivesTest {
    private static final DaemonAddress SENDER = DaemonAddress.parse("10.0.0.1:7000");
    private static final DaemonAddress PROXY = DaemonAddress.parse("10.0.0.3:7001");
    private static final long HIGH = 1L << 61;
    private static final long LOW = 5;

    private final FakeClock clock = new FakeClock();
    private final FakeMessenger network = new FakeMessenger(clock, 5);
    private StateReceiver stateReceiver;
    private StateSender stateSender;
    private long sentForHigh;

    private void open(long life) {
        stateReceiver = new StateReceiver(clock, network.bag(PROXY), new Metrics(), life);
    }

    /** A proxy whose life has a high number is served; then it starts again, and has a low one. */
    private void followed() {
        open(HIGH);
        FakeMessenger.Bag bag = network.bag(SENDER);
        stateSender = new StateSender(PROXY, 0, 1, clock, bag, new Metrics());
        bag.subscribe(Messenger.Topic.DISPATCH, (from, body) -> stateSender.acknowledged(Instruction.unpack(body)));
        stateSender.offer(table(1));
        clock.advance(500);
        clock.stepWallClock(-3_600_000);
        open(LOW);
        stateSender.announced(LOW);
        clock.advance(500);
        assertEquals(1, stateReceiver.inForce().edition().value());
        network.tap = (from, to, topic, body) -> {
            try {
                sentForHigh += from.equals(SENDER) && Instruction.unpack(body).life() == HIGH ? 1 : 0;
            } catch (MessagePackCodec.UnreadableException e) {
                throw new AssertionError(e);
            }
            return true;
        };
    }

    private static RoutingTable table(long edition) {
        return RoutingTable.of(Map.of(
                RoutingTable.CONFIGURATION,
                MessagePackCodec.write().num(edition).done()));
    }

    private static boolean endedLifeIsServed() {
        ProxyLivesTest play = new ProxyLivesTest();
        play.followed();
        play.stateSender.announced(HIGH);
        play.stateSender.offer(table(2));
        play.clock.advance(500);
        assertEquals(2, play.stateReceiver.inForce().edition().value());
        return play.sentForHigh > 0;
    }

    @Test
    void aLifeThatWasFollowedByAnotherIsNotServedForLateWord() throws Exception {
        assertFalse(endedLifeIsServed());
        assertTrue(Mutation.without(Safeguard.ENDED_LIFE_NOT_SERVED, ProxyLivesTest::endedLifeIsServed));
    }

    /** Late word of a life that was never met makes the sender take the present one for ended; its answer proves the contrary. */
    @Test
    void theLifeThatRunsIsServedAgainAfterWordOfOneThatWasNeverMet() {
        followed();
        stateSender.announced(HIGH + 1);
        stateSender.offer(table(2));
        clock.advance(100);
        assertEquals(2, stateReceiver.inForce().edition().value());
        assertEquals(LOW, stateSender.life());
        stateSender.announced(HIGH + 1);
        assertEquals(LOW, stateSender.life());
    }
}
