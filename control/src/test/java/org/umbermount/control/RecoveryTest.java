package org.umbermount.control;

import java.io.IOException;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

class RecoveryTest {
    /** Keeps nothing, and is slow to say that it has been rebuilt. */
    private static final class SlowCompanion implements CompanionState {
        Runnable done;

        @Override
        public OperationLogPosition mark() {
            return OperationLogPosition.NONE;
        }

        @Override
        public void adopted(View view) {}

        @Override
        public void rebuild(OperationLogPosition upTo, Runnable then) {
            done = then;
        }

        @Override
        public long settledView() {
            return Long.MAX_VALUE;
        }

        @Override
        public boolean diskGood(long patienceMs) {
            return true;
        }
    }

    @Test
    void memoryThatIsRebuiltLateDoesNotTakeAnOlderViewForTheOneInForce() throws IOException {
        SlowCompanion[] slow = new SlowCompanion[1];
        Fleet fleet = new Fleet(5, 3, 11, 1, (i, clock, bag, replica, disk) -> {
            if (i == 4 && slow[0] == null && replica.view().number() == 0 && fleetHasRun(clock)) {
                slow[0] = new SlowCompanion();
                replica.accompany(slow[0]);
            }
        });
        fleet.run(8_000);
        fleet.kill(4, true);
        fleet.wipe(4);
        fleet.start(4, false);
        fleet.run(400);
        assertNotNull(slow[0].done, "nothing was to be rebuilt");
        Runnable late = slow[0].done;
        fleet.kill(0, true);
        fleet.run(3_000);
        long view = fleet.replica(4).view().number();
        assertEquals(fleet.replica(2).view().number(), view, "it has not heard of the newer view");
        late.run();
        fleet.run(50);
        assertTrue(
                fleet.replica(4).view().number() >= view,
                "the view went back to " + fleet.replica(4).view());
    }

    private static boolean fleetHasRun(org.umbermount.kernel.Clock clock) {
        return clock.now().millis() > 7_000;
    }

    /** Promises outlive a restart; if nobody can tell since when, nobody finishes what they were given for. */
    @Test
    void promisesThatAllHaveGivenBeforeAStopAreNotTheEnd() throws IOException {
        Fleet fleet = new Fleet(4, 3, 12);
        fleet.run(6_000);
        Replica proposer = fleet.replica(3);
        long view = proposer.view().number();
        for (int i = 0; i < 4; i++) {
            proposer.sendPrepare(Fleet.daemonAddress(i), view + 1, new Ballot(9, Fleet.daemonAddress(3)));
        }
        fleet.run(20);
        for (int i = 0; i < 4; i++) {
            fleet.kill(i, true);
        }
        for (int i = 0; i < 4; i++) {
            fleet.start(i, false);
        }
        fleet.run(3_500);
        Fleet.Reply reply = fleet.submit(1, 0, 1, "c1");
        fleet.run(900);
        assertEquals(Replica.Verdict.TAKEN, reply.verdict);
    }
}
