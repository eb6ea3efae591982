package org.umbermount.proxy;

import java.util.Random;

/**
 * Which part of a service's requests is turned away. When servers are full, one request more does not make one answer
 * more: it makes all of them late.
 *
 * <p>There are two signs, and the stronger counts. What the zone's proxies have at its servers, as a part of their slots,
 * tells at once, but not of what other zones send there. How long answers take, against what the operator aims at, tells
 * of everything, but late. Of the answer times the middle is followed, by small steps up and down, so that a few slow
 * servers do not count as a full service: what they delay is the business of choosing among servers.
 */
final class AdmissionControl {
    /** Here no slot is ever idle, and nothing is asked twice without need. */
    private static final double RATIO_BUSY = 0.95;

    private static final double RATIO_FROM = 1.2;
    private static final double RATIO_SPAN = 0.6;
    private static final double STEP = 0.05;
    private static final double LOWEST = 0.1;
    private static final double HIGHEST = 1.4;
    /** Where the middle answer takes this part of the aim, nearly half of them are about to be late. */
    private static final double MIDDLE_FROM = 0.85;

    private static final double MIDDLE_SPAN = 0.6;
    private static final double MOST_TURNED_AWAY = 0.8;

    private double middle = LOWEST;

    /** Takes note of an answer that took so many milliseconds where so many were aimed at. */
    void answered(double ms, double aimMs) {
        middle = Math.max(LOWEST, Math.min(HIGHEST, middle + (ms > middle * aimMs ? STEP : -STEP)));
    }

    /** Whether requests have to wait for each other, at this ratio of requests to slots. */
    boolean busy(double ratio) {
        return ratio > RATIO_BUSY || middle > MIDDLE_FROM;
    }

    /** The part of the requests that is turned away. */
    double turnedAway(double ratio) {
        double part = Math.max((ratio - RATIO_FROM) / RATIO_SPAN, (middle - MIDDLE_FROM) / MIDDLE_SPAN);
        return Math.max(0, Math.min(MOST_TURNED_AWAY, part));
    }

    /** Draws whether one request is turned away. */
    boolean turnsAway(double ratio, Random random) {
        double part = turnedAway(ratio);
        return part > 0 && random.nextDouble() < part;
    }
}
