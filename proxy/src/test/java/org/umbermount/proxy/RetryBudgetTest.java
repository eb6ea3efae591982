package org.umbermount.proxy;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.umbermount.kernel.MonotonicTime;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class RetryBudgetTest {
    @Test
    void restartedDaemonStartsWithNone() {
        RetryBudget a = new RetryBudget(0.2, 60, 10_000, new MonotonicTime(0));
        assertFalse(a.spend(new MonotonicTime(10), 4, 0));
        assertFalse(a.spend(new MonotonicTime(9_900), 4, 0));
        assertTrue(a.spend(new MonotonicTime(10_100), 4, 0));
    }

    @Test
    void fleetStaysInsideTheSharedBudgetInEveryWindow() {
        Random random = new Random(3);
        int fleet = 11;
        List<RetryBudget> all = new ArrayList<>();
        for (int i = 0; i < fleet; i++) {
            all.add(new RetryBudget(0.2, 60, 10_000, new MonotonicTime(0)));
        }
        List<Long> requests = new ArrayList<>();
        List<Long> tries = new ArrayList<>();
        for (long t = 0; t < 60_000; t += 7) {
            RetryBudget a = all.get(random.nextInt(fleet));
            MonotonicTime now = new MonotonicTime(t);
            // Traffic stops now and then, and every request wants a second try.
            if (t / 10_000 % 3 != 1) {
                a.request(now);
                requests.add(t);
            }
            if (a.spend(now, fleet, 0)) {
                tries.add(t);
            }
        }
        assertTrue(tries.size() > 200, "too few: " + tries.size());
        for (long start = 0; start < 50_000; start += 100) {
            long from = start;
            long used =
                    tries.stream().filter(x -> x >= from && x < from + 10_000).count();
            long best = 0;
            for (long w : new long[] {from, from - 10_000, from - 5_000}) {
                best = Math.max(
                        best,
                        requests.stream().filter(x -> x >= w && x < w + 10_000).count());
            }
            assertTrue(used <= best * 0.2 + 60, "window from " + from + ": " + used + " of " + best);
        }
    }

    @Test
    void reserveIsLeftForFailures() {
        RetryBudget a = new RetryBudget(0.2, 0, 10_000, new MonotonicTime(0));
        for (int i = 0; i < 100; i++) {
            a.request(new MonotonicTime(100));
        }
        int spent = 0;
        while (a.spend(new MonotonicTime(200), 1, 10)) {
            spent++;
        }
        assertEquals(7, spent);
        assertTrue(a.spend(new MonotonicTime(200), 1, 0));
    }
}
