package org.umbermount.kernel;

/** A point on the steady clock, in milliseconds since an arbitrary start. */
public record MonotonicTime(long millis) implements Comparable<MonotonicTime> {
    @Override
    public boolean equals(Object o) {
        return o instanceof MonotonicTime other && millis == other.millis;
    }

    @Override
    public int hashCode() {
        return Long.hashCode(millis);
    }

    /** Earlier than every moment a clock gives out. */
    public static final MonotonicTime NEVER = new MonotonicTime(Long.MIN_VALUE / 4);

    public MonotonicTime plus(long ms) {
        return new MonotonicTime(millis + ms);
    }

    /** Milliseconds from {@code earlier} to this moment. */
    public long since(MonotonicTime earlier) {
        return millis - earlier.millis;
    }

    public boolean isBefore(MonotonicTime other) {
        return millis < other.millis;
    }

    @Override
    public int compareTo(MonotonicTime other) {
        return Long.compare(millis, other.millis);
    }
}
