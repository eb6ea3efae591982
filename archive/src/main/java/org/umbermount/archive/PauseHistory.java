package org.umbermount.archive;

import org.umbermount.kernel.Moment;

/**
 * Tells a process that stands still again and again from one that did so once: it counts as slow when two pauses lie within
 * {@link #WINDOW_MS}, and until that long after the last one.
 */
final class PauseHistory {
    /** How close together two pauses have to be, and how long after the last one a process still counts as slow. */
    static final long WINDOW_MS = 10_000;
    /** What is noticed this soon after a pause is taken for a part of it. */
    static final long SAME_MS = 600;

    private final Moment countedFrom;
    private Moment last = Moment.NEVER;
    private Moment slowUntil = Moment.NEVER;

    /**
     * @param countedFrom pauses before it do not count, as those of a process that is starting
     */
    PauseHistory(Moment countedFrom) {
        this.countedFrom = countedFrom;
    }

    /** Notes that a pause has ended. */
    void paused(Moment now) {
        if (now.isBefore(countedFrom) || now.since(last) < SAME_MS) {
            return;
        }
        if (now.since(last) <= WINDOW_MS) {
            slowUntil = now.plus(WINDOW_MS);
        }
        last = now;
    }

    /** Whether pauses came again and again. */
    boolean isSlow(Moment now) {
        return now.isBefore(slowUntil);
    }
}
