package org.umbermount.circulation;

import java.util.Random;

/**
 * Which part of a service's requests is turned away. When every server of the zone has more than its slots can work on,
 * one request more does not make one answer more: it makes all of them late. The measure is what the zone's lectors have
 * at its servers, as a part of their slots; it is a few hundred milliseconds old at most, while answer times tell of a
 * burst only when it is over.
 */
final class Pressure {
    /** Here no slot is ever idle, and nothing is asked twice without need. */
    private static final double BUSY = 0.95;
    private static final double FROM = 1.2;
    private static final double FULL = 1.8;
    private static final double MOST_TURNED_AWAY = 0.9;

    private Pressure() {
    }

    /** Whether requests at this ratio of requests to slots have to wait for each other. */
    static boolean busy(double ratio) {
        return ratio > BUSY;
    }

    /** The part of the requests that is turned away. */
    static double turnedAway(double ratio) {
        return Math.max(0, Math.min(MOST_TURNED_AWAY, (ratio - FROM) / (FULL - FROM)));
    }

    /** Draws whether one request is turned away. */
    static boolean turnsAway(double ratio, Random random) {
        return ratio > FROM && random.nextDouble() < turnedAway(ratio);
    }
}
