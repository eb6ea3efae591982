package org.umbermount.control;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.umbermount.kernel.MonotonicTime;
import org.umbermount.kernel.Mutation;
import org.umbermount.kernel.Safeguard;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** A controller that gets the processor only now and then leaves duties to others; one that stood still once does not. */
class SlowReplicaTest {
    private static final int CUT_OFF = 3;
    /** A table has to reach a zone's proxies within 3 s; taking it there needs some of that. */
    private static final long LONGEST_VACANCY_MS = 2_800;

    private final Fleet fleet;
    private boolean slow;

    SlowReplicaTest() throws IOException {
        fleet = new Fleet(5, 3, 11);
        fleet.run(8_000);
    }

    private int holder(String duty) {
        for (int i : fleet.running.keySet()) {
            if (fleet.epoch(i, duty) > 0) {
                return i;
            }
        }
        return -1;
    }

    private boolean isSlow(int i) {
        return fleet.running.get(i).detector.isSlow(fleet.replica(i).view());
    }

    /** The machine stands still for some time and runs for some time, in turns, as long as {@link #slow} says. */
    private void goOnSlowly(int i, long stands, long runs, boolean clockStands) {
        if (!slow) {
            return;
        }
        fleet.freeze(i, clockStands);
        fleet.almanac.after(stands, () -> {
            fleet.thaw(i);
            fleet.almanac.after(runs, () -> goOnSlowly(i, stands, runs, clockStands));
        });
    }

    /** The controller that stands in for one that is cut off. */
    private int standIn() {
        for (int i = 0; i < 5; i++) {
            fleet.network.cutBoth(Fleet.daemonAddress(i), Fleet.daemonAddress(CUT_OFF));
        }
        fleet.run(6_000);
        return holder(Fleet.zone(CUT_OFF));
    }

    /** The longest time without a holder, of those of all the zones that the slow one held. */
    private long longestVacancy(int who, long stands, long runs) {
        List<String> duties = new ArrayList<>(fleet.leases(who).activeDuties());
        assertTrue(duties.contains(Fleet.zone(who)) && duties.contains(Fleet.zone(CUT_OFF)), duties.toString());
        slow = true;
        goOnSlowly(who, stands, runs, false);
        long[] vacantSince = new long[duties.size()];
        long longest = 0;
        for (long t = 0; t < 20_000; t += 10) {
            fleet.run(10);
            for (int d = 0; d < duties.size(); d++) {
                vacantSince[d] = holder(duties.get(d)) >= 0 ? t : vacantSince[d];
                longest = Math.max(longest, t - vacantSince[d]);
            }
        }
        return longest;
    }

    @ParameterizedTest
    @CsvSource({
        "887, 67, 1",
        "970, 30, 1",
        // The timers are not noticeably late, but grants are.
        "600, 30, 20"
    })
    void dutiesOfASlowReplicaAreTakenByOthers(long stands, long runs, long delayMs) {
        fleet.network.delayMs = delayMs;
        int who = standIn();
        long longest = longestVacancy(who, stands, runs);
        assertTrue(longest <= LONGEST_VACANCY_MS, "a duty was vacant for " + longest + " ms");
        assertTrue(isSlow(who));
        assertEquals(List.of(), fleet.leases(who).activeDuties());
        slow = false;
        fleet.run(PauseHistory.WINDOW_MS + 3_000);
        assertFalse(isSlow(who));
        assertEquals(who, holder(Fleet.zone(who)));
    }

    /** Whether one whose clock stands still with it, as on a suspended machine, has left its duties to others. */
    private static boolean leavesDutiesWithoutAClock() throws IOException {
        SlowReplicaTest test = new SlowReplicaTest();
        test.slow = true;
        test.goOnSlowly(1, 887, 67, true);
        test.fleet.run(10_000);
        return test.isSlow(1) && test.fleet.leases(1).activeDuties().isEmpty() && test.holder(Fleet.zone(1)) >= 0;
    }

    /** Its own timers are not late by its own clock: only the others can tell. */
    @Test
    void theOthersTellAReplicaThatItIsSlow() throws Exception {
        assertTrue(leavesDutiesWithoutAClock());
        assertFalse(Mutation.without(Safeguard.SLOW_STANDS_BACK, SlowReplicaTest::leavesDutiesWithoutAClock));
    }

    @ParameterizedTest
    @CsvSource({"887, 67, 1", "970, 30, 1", "600, 30, 20"})
    void aSlowReplicaWouldKeepDutiesFromOthers(long stands, long runs, long delayMs) throws Exception {
        fleet.network.delayMs = delayMs;
        long longest = Mutation.without(Safeguard.SLOW_STANDS_BACK, () -> longestVacancy(standIn(), stands, runs));
        assertTrue(longest > LONGEST_VACANCY_MS, "a duty was vacant for " + longest + " ms");
    }

    @ParameterizedTest
    @CsvSource({"900", "5000", "20000"})
    void aSinglePauseIsNoSlowness(long stands) {
        fleet.freeze(1);
        fleet.run(stands);
        fleet.thaw(1);
        for (long t = 0; t < 4_000; t += 50) {
            fleet.run(50);
            assertFalse(isSlow(1));
        }
        assertEquals(1, holder(Fleet.zone(1)));
    }

    @Test
    void aStartIsNoSlowness() throws IOException {
        fleet.kill(1, false);
        fleet.run(500);
        fleet.start(1, false);
        slow = true;
        goOnSlowly(1, 800, 100, false);
        fleet.run(3_500);
        slow = false;
        for (long t = 0; t < 4_000; t += 50) {
            fleet.run(50);
            assertFalse(isSlow(1));
        }
        assertEquals(1, holder(Fleet.zone(1)));
    }

    /** A stand-in that hears only one other beside the slow one does not see that enough are prompt; the slow one decides. */
    @ParameterizedTest
    @CsvSource({"0", "1", "2"})
    void allAgreeOnWhoStandsBack(int heard) {
        int who = 1;
        slow = true;
        goOnSlowly(who, 887, 67, false);
        fleet.run(5_000);
        slow = false;
        fleet.run(1_000);
        int standIn = holder(Fleet.zone(who));
        assertTrue(standIn >= 0 && standIn != who);
        List<Integer> others = new ArrayList<>(List.of(0, 1, 2, 3, 4));
        others.removeAll(List.of(who, standIn));
        others.remove(heard);
        others.forEach(o -> fleet.network.cutBoth(Fleet.daemonAddress(o), Fleet.daemonAddress(standIn)));
        long vacantSince = 0;
        for (long t = 0; t < 6_000; t += 10) {
            fleet.run(10);
            vacantSince = holder(Fleet.zone(who)) >= 0 ? t : vacantSince;
            assertTrue(t - vacantSince <= LONGEST_VACANCY_MS, "vacant for " + (t - vacantSince) + " ms");
        }
    }

    /** Where all have little processor time, each goes on with its own zone. */
    @Test
    void nobodyStandsBackWhereMostAreSlow() {
        slow = true;
        for (int i = 0; i < 3; i++) {
            int one = i;
            fleet.almanac.after(100 * i, () -> goOnSlowly(one, 720, 300, false));
        }
        fleet.run(10_000);
        for (int i = 0; i < 3; i++) {
            assertTrue(isSlow(i));
            assertEquals(i, holder(Fleet.zone(i)));
        }
    }

    @Test
    void pausesCountWhenTheyComeAgain() {
        PauseHistory history = new PauseHistory(new MonotonicTime(5_000));
        history.paused(new MonotonicTime(4_000));
        history.paused(new MonotonicTime(6_000));
        history.paused(new MonotonicTime(6_000 + PauseHistory.SAME_MS - 1));
        assertFalse(history.isSlow(new MonotonicTime(6_700)));
        history.paused(new MonotonicTime(6_000 + PauseHistory.WINDOW_MS + 1));
        assertFalse(history.isSlow(new MonotonicTime(16_002)));
        history.paused(new MonotonicTime(17_000));
        assertTrue(history.isSlow(new MonotonicTime(17_000)));
        assertTrue(history.isSlow(new MonotonicTime(17_000 + PauseHistory.WINDOW_MS - 1)));
        assertFalse(history.isSlow(new MonotonicTime(17_000 + PauseHistory.WINDOW_MS)));
    }
}
