package org.umbermount.kernel;

/** A point on the steady clock, in milliseconds since an arbitrary start. */
public record Moment(long millis) implements Comparable<Moment> {
    @Override
    public boolean equals(Object o) {
        return o instanceof Moment other && millis == other.millis;
    }

    @Override
    public int hashCode() {
        return Long.hashCode(millis);
    }

    /** Earlier than every moment a clock gives out. */
    public static final Moment NEVER = new Moment(Long.MIN_VALUE / 4);

    public Moment plus(long ms) {
        return new Moment(millis + ms);
    }

    /** Milliseconds from {@code earlier} to this moment. */
    public long since(Moment earlier) {
        return millis - earlier.millis;
    }

    public boolean isBefore(Moment other) {
        return millis < other.millis;
    }

    @Override
    public int compareTo(Moment other) {
        return Long.compare(millis, other.millis);
    }
}
