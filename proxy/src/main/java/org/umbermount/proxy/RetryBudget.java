package org.umbermount.proxy;

import org.umbermount.kernel.MonotonicTime;

/**
 * How many further tries this daemon may send to one service. Tries are earned by own requests within the
 * window; beside them stands this daemon's share of the burst, which a restarted daemon does not have.
 */
final class RetryBudget {
    private static final int SLOTS = 20;
    /** Of the ratio, what is kept back for requests counted differently elsewhere. */
    private static final double CAUTION = 0.85;
    /** The burst is shared as if twice as many daemons were there: others may restart or be unknown. */
    private static final double BURST_CAUTION = 0.5;

    private final double ratio;
    private final long slotMs;
    private final double burst;
    private final MonotonicTime started;
    private final long windowMs;
    private final long[] slotNumber = new long[SLOTS];
    private final int[] requests = new int[SLOTS];
    private final int[] spent = new int[SLOTS];

    RetryBudget(double ratio, double burst, long windowMs, MonotonicTime started) {
        this.ratio = ratio;
        this.burst = burst;
        this.windowMs = windowMs;
        this.slotMs = Math.max(1, windowMs / (SLOTS - 2));
        this.started = started;
        java.util.Arrays.fill(slotNumber, Long.MIN_VALUE);
    }

    private int slot(MonotonicTime now) {
        long number = Math.floorDiv(now.millis(), slotMs);
        int at = (int) Math.floorMod(number, (long) SLOTS);
        if (slotNumber[at] != number) {
            slotNumber[at] = number;
            requests[at] = 0;
            spent[at] = 0;
        }
        return at;
    }

    void request(MonotonicTime now) {
        requests[slot(now)]++;
    }

    /** What is left to spend now. */
    double left(MonotonicTime now, int fleet) {
        slot(now);
        long oldest = Math.floorDiv(now.millis(), slotMs) - SLOTS + 1;
        int earned = 0;
        int used = 0;
        for (int i = 0; i < SLOTS; i++) {
            if (slotNumber[i] >= oldest) {
                earned += requests[i];
                used += spent[i];
            }
        }
        double share = now.since(started) > windowMs ? burst * BURST_CAUTION / Math.max(1, fleet) : 0;
        return earned * ratio * CAUTION + share - used;
    }

    /** Takes one try if there is one, leaving {@code reserve} untouched. */
    boolean spend(MonotonicTime now, int fleet, double reserve) {
        if (left(now, fleet) < 1 + reserve) {
            return false;
        }
        spent[slot(now)]++;
        return true;
    }
}
