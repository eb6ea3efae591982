package org.umbermount.control;

import org.umbermount.kernel.MonotonicTime;

/**
 * Tells a process that stands still again and again from one that did so once: it counts as slow when two pauses lie within
 * {@link #WINDOW_MS}, and until that long after the last one.
 */
final class PauseHistory {
    /** How close together two pauses have to be, and how long after the last one a process still counts as slow. */
    static final long WINDOW_MS = 10_000;
    /** What is noticed this soon after a pause is taken for a part of it. */
    static final long SAME_MS = 600;

    private final MonotonicTime countedFrom;
    private MonotonicTime last = MonotonicTime.NEVER;
    private MonotonicTime slowUntil = MonotonicTime.NEVER;

    /**
     * @param countedFrom pauses before it do not count, as those of a process that is starting
     */
    PauseHistory(MonotonicTime countedFrom) {
        this.countedFrom = countedFrom;
    }

    /** Notes that a pause has ended. */
    void paused(MonotonicTime now) {
        if (now.isBefore(countedFrom) || now.since(last) < SAME_MS) {
            return;
        }
        if (now.since(last) <= WINDOW_MS) {
            slowUntil = now.plus(WINDOW_MS);
        }
        last = now;
    }

    /** Whether pauses came again and again. */
    boolean isSlow(MonotonicTime now) {
        return now.isBefore(slowUntil);
    }
}
