package org.umbermount.control;

import java.io.IOException;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.umbermount.kernel.MessagePackCodec;
import org.umbermount.kernel.Messenger;
import org.umbermount.kernel.Mutation;
import org.umbermount.kernel.Safeguard;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Seats are given up, taken over and rested, by controllers as they are. */
class SeatsTest {
    private static final long SYNC_MS = 4_000;

    private static Replica any(Fleet fleet) {
        return fleet.running.values().iterator().next().replica;
    }

    private static void take(Fleet fleet, long match, long edition, String when) {
        for (int i = 0; i < 6; i++) {
            int at = List.copyOf(fleet.running.keySet()).get(i % fleet.running.size());
            Fleet.Reply reply = fleet.submit(at, match, edition, "c" + edition);
            fleet.run(900);
            if (reply.verdict == Replica.Verdict.TAKEN) {
                return;
            }
        }
        throw new AssertionError("nothing was taken " + when);
    }

    /** Four machines, one gone for good again and again, and the next loss as soon as the page allows it. */
    private static void replaceAgainAndAgain(boolean planned) throws IOException {
        Fleet fleet = new Fleet(4, 3, 21);
        fleet.run(6_000);
        take(fleet, 0, 1, "at the start");
        for (int n = 0; n < 5; n++) {
            int old = n;
            int fresh = 4 + n;
            if (planned) {
                fleet.start(fresh, "z" + old, List.of(old + 1, old + 2, old + 3));
                fleet.run(SYNC_MS);
                fleet.leave(old);
                fleet.run(700);
                fleet.kill(old, false);
            } else {
                fleet.kill(old, true);
                fleet.run(2_000);
                fleet.start(fresh, "z" + old, List.of(old + 1, old + 2, old + 3));
                fleet.run(SYNC_MS);
            }
            // Another one is lost the moment the one before stops counting, and comes back with an empty disk.
            int second = old + 1;
            fleet.kill(second, true);
            fleet.wipe(second);
            fleet.run(500);
            take(
                    fleet,
                    n + 1,
                    n + 2,
                    "after replacement " + (n + 1) + " and a second loss: "
                            + any(fleet).view());
            fleet.start(second, "z" + second, List.of(second + 1, second + 2, fresh));
            fleet.run(SYNC_MS);
            assertNotNull(fleet.read(fresh, 850));
        }
        assertTrue(
                any(fleet).view().electorate().size() <= 5,
                "dead seats are left: " + any(fleet).view());
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void secondLossRightAfterAReplacementLeavesAMajority(boolean planned) throws IOException {
        replaceAgainAndAgain(planned);
    }

    @Test
    void withSeatsThatStayTheFleetStandsStillForGood() throws Exception {
        Mutation.without(Safeguard.SEAT_GIVEN_UP, () -> {
            AssertionError stopped = null;
            try {
                replaceAgainAndAgain(false);
            } catch (AssertionError e) {
                stopped = e;
            }
            assertNotNull(stopped, "nothing was missed without it");
            return null;
        });
    }

    /** The shortest time between two changes of the voters while two of seven are lost at once and replaced. */
    private static long shortestRest() throws IOException {
        Fleet fleet = new Fleet(7, 3, 22, 2, null);
        fleet.run(15_000);
        assertEquals(7, any(fleet).view().electorate().size());
        fleet.kill(5, true);
        fleet.kill(6, true);
        long last = Long.MIN_VALUE / 2;
        long shortest = Long.MAX_VALUE;
        List<Voter> before = any(fleet).view().electorate();
        for (int t = 0; t < 9_000; t += 10) {
            if (t == 5_000) {
                fleet.start(5, false);
                fleet.start(6, false);
            }
            fleet.run(10);
            List<Voter> now = any(fleet).view().electorate();
            if (!now.equals(before)) {
                shortest = Math.min(shortest, t - last);
                last = t;
                before = now;
            }
        }
        return shortest;
    }

    /** Two changes within a lease could leave two majorities that do not meet. */
    @Test
    void votersChangeOnlyWhenLeasesGrantedBeforeHaveRunOut() throws Exception {
        assertTrue(shortestRest() >= LeaseManager.TERM_MS - 20, "changed again after " + shortestRest() + " ms");
        long without = Mutation.without(Safeguard.SEATS_REST, SeatsTest::shortestRest);
        assertTrue(without < LeaseManager.TERM_MS - 20, "nothing was missed without it: " + without);
    }

    /** Whether a voter grants a duty to one that asks the voters of an earlier view. */
    private static boolean grantsToOneOfAnEarlierView() throws IOException {
        Fleet fleet = new Fleet(4, 3, 23);
        fleet.run(6_000);
        boolean[] granted = new boolean[1];
        var stranger = fleet.network.bag(Fleet.daemonAddress(9));
        stranger.subscribe(
                Messenger.Topic.LEASE,
                (from, body) -> granted[0] |= MessagePackCodec.read(body).num() == 1);
        long view = any(fleet).view().number();
        stranger.send(
                Fleet.daemonAddress(1),
                Messenger.Topic.LEASE,
                MessagePackCodec.write()
                        .num(0)
                        .text("z9")
                        .num(5)
                        .num(1)
                        .num(view - 1)
                        .done());
        fleet.run(100);
        return granted[0];
    }

    @Test
    void noGrantForOneThatCountsTheVotersOfAnEarlierView() throws Exception {
        assertFalse(grantsToOneOfAnEarlierView());
        assertTrue(Mutation.without(Safeguard.GRANTS_OF_ONE_VIEW, SeatsTest::grantsToOneOfAnEarlierView));
    }

    /** What is read after a newcomer became head by the tail's proposal, and the first writes of the view were lost. */
    private static ConfigurationState readUnderANewHead() throws IOException {
        Fleet fleet = new Fleet(4, 3, 27);
        fleet.run(6_000);
        // The chain is sorted by zone: this one proposes views, by its address, and comes last.
        fleet.kill(0, false);
        fleet.start(0, "zz", List.of(0, 1, 2));
        fleet.run(6_000);
        take(fleet, 0, 1, "at the start");
        assertEquals(Fleet.daemonAddress(0), fleet.replica(0).view().tail());
        fleet.start(4, "a", List.of(0, 1, 2));
        boolean[] lost = {true};
        fleet.network.tap = (from, to, topic, body) -> !lost[0] || topic != Messenger.Topic.CHAIN;
        while (!Fleet.daemonAddress(4).equals(fleet.replica(0).view().head())) {
            fleet.run(10);
        }
        fleet.run(300);
        lost[0] = false;
        fleet.run(3_000);
        assertEquals(Fleet.daemonAddress(4), fleet.replica(0).view().head());
        return fleet.read(0, 850);
    }

    @Test
    void whatAViewBeginsWithIsRepeatedUntilTheTailHasIt() throws Exception {
        assertNotNull(readUnderANewHead());
        assertNull(Mutation.without(Safeguard.VIEW_BEGINNING_REPEATED, SeatsTest::readUnderANewHead));
    }

    private static void cutOff(Fleet fleet, int one, int... others) {
        for (int other : others) {
            fleet.network.cutBoth(Fleet.daemonAddress(one), Fleet.daemonAddress(other));
        }
    }

    /**
     * Whether a zone has two holders after two of five gave up their seats, one of the three left changed sides, and news of
     * views is lost: three of the five first voters hear each other, and so do two of the three present ones.
     */
    private static boolean holdersUnderTwoViews() throws IOException {
        Fleet fleet = new Fleet(5, 3, 26, 1, null);
        fleet.run(8_000);
        cutOff(fleet, 4, 0, 1, 2, 3);
        fleet.run(4_000);
        cutOff(fleet, 3, 0, 1, 2);
        fleet.run(4_000);
        assertEquals(3, fleet.replica(0).view().electorate().size());
        assertEquals(5, fleet.replica(4).view().electorate().size());
        cutOff(fleet, 2, 0, 1);
        fleet.network.tap = (from, to, topic, body) -> topic != Messenger.Topic.VIEW;
        fleet.network.join(Fleet.daemonAddress(3), Fleet.daemonAddress(4));
        fleet.network.join(Fleet.daemonAddress(4), Fleet.daemonAddress(3));
        for (int other : new int[] {3, 4}) {
            fleet.network.join(Fleet.daemonAddress(2), Fleet.daemonAddress(other));
            fleet.network.join(Fleet.daemonAddress(other), Fleet.daemonAddress(2));
        }
        for (long t = 0; t < 6_000; t += 10) {
            fleet.run(10);
            int holders = 0;
            for (int i = 0; i < 5; i++) {
                holders += fleet.epoch(i, Fleet.zone(4)) > 0 ? 1 : 0;
            }
            if (holders > 1) {
                return true;
            }
        }
        return false;
    }

    @Test
    void majoritiesOfTwoViewsDoNotGrantOneDutyTwice() throws Exception {
        assertFalse(holdersUnderTwoViews());
        assertTrue(Mutation.without(Safeguard.GRANTS_OF_ONE_VIEW, SeatsTest::holdersUnderTwoViews));
    }

    /** Only some of the others are out of reach: everyone leaves out the same one, and views do not take turns. */
    @Test
    void brokenLinkBetweenTwoLeavesTheSameOneOutForEveryone() throws IOException {
        Fleet fleet = new Fleet(4, 3, 24);
        fleet.run(6_000);
        take(fleet, 0, 1, "at the start");
        fleet.network.cutBoth(Fleet.daemonAddress(2), Fleet.daemonAddress(3));
        fleet.run(3_000);
        long view = any(fleet).view().number();
        assertEquals(3, any(fleet).view().chain().size());
        for (int n = 1; n < 12; n++) {
            take(fleet, n, n + 1, "while a link is broken");
            fleet.run(600);
        }
        assertEquals(view, any(fleet).view().number(), "views went on changing");
        fleet.network.healAll();
        fleet.run(4_000);
        assertEquals(4, any(fleet).view().chain().size());
    }

    /** Whether changes stand still after one of five froze and another was gone for good a moment later. */
    private static String standsStill() throws IOException {
        for (int frozen = 0; frozen < 5; frozen++) {
            for (long gap = 0; gap <= 1_400; gap += 100) {
                Fleet fleet = new Fleet(5, 3, 25, 2, null);
                fleet.run(9_000);
                fleet.freeze(frozen);
                fleet.run(gap);
                int gone = (frozen + 3) % 5;
                fleet.kill(gone, true);
                fleet.run(1_900 - gap);
                fleet.thaw(frozen);
                fleet.run(5_000);
                Fleet.Reply reply = fleet.submit((frozen + 1) % 5, 0, 1, "c1");
                fleet.run(900);
                if (reply.verdict != Replica.Verdict.TAKEN) {
                    return frozen + " froze, " + gone + " was gone " + gap + " ms later: "
                            + fleet.replica(frozen).view();
                }
            }
        }
        return null;
    }

    @Test
    void aChainThatIsTooShortIsFilledThoughAnotherHasToBeDropped() throws Exception {
        assertNull(standsStill());
        assertNotNull(Mutation.without(Safeguard.SHORT_CHAIN_FILLED, SeatsTest::standsStill));
    }
}
