package org.umbermount.courier;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import org.junit.jupiter.api.Test;
import org.umbermount.kernel.Imprint;
import org.umbermount.kernel.Mutation;
import org.umbermount.kernel.Postbag;
import org.umbermount.kernel.Safeguard;
import org.umbermount.kernel.Script;
import org.umbermount.kernel.Tally;
import org.umbermount.kernel.testing.FakeClock;
import org.umbermount.kernel.testing.FakePost;

/** A sender tells the lives of a lector apart by numbers that have no order. */
class ProxyLivesTest {
    private static final Imprint SENDER = Imprint.parse("10.0.0.1:7000");
    private static final Imprint PROXY = Imprint.parse("10.0.0.3:7001");
    private static final long HIGH = 1L << 61;
    private static final long LOW = 5;

    private final FakeClock clock = new FakeClock();
    private final FakePost network = new FakePost(clock, 5);
    private Consignee consignee;
    private Consignor consignor;
    private long sentForHigh;

    private void open(long life) {
        consignee = new Consignee(clock, network.bag(PROXY), new Tally(), life);
    }

    /** A lector whose life has a high number is served; then it starts again, and has a low one. */
    private void followed() {
        open(HIGH);
        FakePost.Bag bag = network.bag(SENDER);
        consignor = new Consignor(PROXY, 0, 1, clock, bag, new Tally());
        bag.subscribe(Postbag.Topic.DISPATCH, (from, body) -> consignor.acknowledged(Dispatch.unpack(body)));
        consignor.offer(table(1));
        clock.advance(500);
        clock.stepWallClock(-3_600_000);
        open(LOW);
        consignor.announced(LOW);
        clock.advance(500);
        assertEquals(1, consignee.inForce().edition().value());
        network.tap = (from, to, topic, body) -> {
            try {
                sentForHigh += from.equals(SENDER) && Dispatch.unpack(body).life() == HIGH ? 1 : 0;
            } catch (Script.UnreadableException e) {
                throw new AssertionError(e);
            }
            return true;
        };
    }

    private static Inventory table(long edition) {
        return Inventory.of(Map.of(Inventory.CONFIGURATION, Script.write().num(edition).done()));
    }

    private static boolean endedLifeIsServed() {
        ProxyLivesTest play = new ProxyLivesTest();
        play.followed();
        play.consignor.announced(HIGH);
        play.consignor.offer(table(2));
        play.clock.advance(500);
        assertEquals(2, play.consignee.inForce().edition().value());
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
        consignor.announced(HIGH + 1);
        consignor.offer(table(2));
        clock.advance(100);
        assertEquals(2, consignee.inForce().edition().value());
        assertEquals(LOW, consignor.life());
        consignor.announced(HIGH + 1);
        assertEquals(LOW, consignor.life());
    }
}
