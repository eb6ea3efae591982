package org.umbermount.distribution;

/** Round-trip time and retransmission timeout by TCP's formula (RFC 6298), in milliseconds. */
final class RoundTrip {
    static final long RTO_FLOOR_MS = 50;
    static final long RTO_CEILING_MS = 1_000;
    static final long FRAME_FLOOR_MS = 20;
    static final long FRAME_CEILING_MS = 250;

    private boolean measured;
    // Until the first sample: what a sender outside the zone would meet, so that a lost first instruction costs little.
    private double smoothed = 60;
    private double variation = 30;

    /** An answer that took longer tells of a proxy that stood still, not of the way there. */
    private static final double LONGEST_SAMPLE_MS = 1_000;

    void sample(double rtt) {
        if (rtt > LONGEST_SAMPLE_MS) {
            return;
        }
        if (!measured) {
            measured = true;
            smoothed = rtt;
            variation = rtt / 2;
        } else {
            variation = 0.75 * variation + 0.25 * Math.abs(smoothed - rtt);
            smoothed = 0.875 * smoothed + 0.125 * rtt;
        }
    }

    long rto() {
        return Math.max(RTO_FLOOR_MS, Math.min(RTO_CEILING_MS, (long) Math.ceil(smoothed + 4 * variation)));
    }

    /** The least time between two instructions. */
    long frame() {
        return Math.max(FRAME_FLOOR_MS, Math.min(FRAME_CEILING_MS, (long) Math.ceil(smoothed / 2)));
    }

    double smoothed() {
        return smoothed;
    }
}
