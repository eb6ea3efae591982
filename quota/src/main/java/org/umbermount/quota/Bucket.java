package org.umbermount.quota;

import org.umbermount.kernel.MonotonicTime;

/** One tenant's tokens: they fill at its rate up to its burst and a little more. */
final class Bucket {
    final long epoch;
    private double tokens;
    private MonotonicTime at;

    /**
     * @param epoch the lease under which the bucket is kept
     * @param start what is in it at first; a bucket that was lost may have been spent just before
     */
    Bucket(long epoch, double start, MonotonicTime now) {
        this.epoch = epoch;
        this.tokens = start;
        this.at = now;
    }

    /** Takes up to {@code want} whole tokens. */
    int take(int want, double ratePerS, double most, MonotonicTime now) {
        tokens = Math.min(most, tokens + ratePerS * now.since(at) / 1_000);
        at = now;
        int n = Math.max(0, Math.min(want, (int) tokens));
        tokens -= n;
        return n;
    }

    /** How long until there is a whole token. */
    long waitMs(double ratePerS) {
        return tokens >= 1 || ratePerS <= 0 ? 0 : (long) Math.ceil((1 - tokens) / ratePerS * 1_000);
    }

    double tokens() {
        return tokens;
    }
}
