package org.umbermount.circulation;

import java.util.Random;

/**
 * How long a service's answers take, measured against what the operator aims at, and the part of the requests that is
 * turned away for it. When servers are full, one request more does not make one answer more: it makes all of them late.
 *
 * <p>The middle of the answer times is followed by small steps up and down, so that a few slow servers do not count as
 * a full service: what they delay is the business of choosing among servers.
 */
final class Pressure {
    private static final double STEP = 0.05;
    private static final double LOWEST = 0.1;
    private static final double HIGHEST = 1.6;
    /** Answers that take this part of the aim leave no room for queues in front of the servers. */
    private static final double BUSY = 0.55;
    private static final double FULL = 1.1;
    private static final double MOST_TURNED_AWAY = 0.5;

    private double middle = LOWEST;

    /** Takes note of an answer that took so many milliseconds where so many were aimed at. */
    void answered(double ms, double aimMs) {
        boolean above = ms > middle * aimMs;
        middle = Math.max(LOWEST, Math.min(HIGHEST, middle + (above ? STEP : -STEP)));
    }

    /** The middle of the answer times as a part of the aim. */
    double middle() {
        return middle;
    }

    /** Whether answers take so long that nothing should be asked twice without need. */
    boolean busy() {
        return middle > BUSY;
    }

    /** The part of the requests that is turned away. */
    double turnedAway() {
        return busy() ? Math.min(MOST_TURNED_AWAY, (middle - BUSY) / (FULL - BUSY)) : 0;
    }

    /** Draws whether one request is turned away. */
    boolean turnsAway(Random random) {
        return busy() && random.nextDouble() < turnedAway();
    }
}
