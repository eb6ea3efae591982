package org.umbermount.kernel;

/** The revision of a configuration; 0 is the empty one that precedes the first. */
public record Edition(long value) implements Comparable<Edition> {
    @Override
    public boolean equals(Object o) {
        return o instanceof Edition other && value == other.value;
    }

    @Override
    public int hashCode() {
        return Long.hashCode(value);
    }

    public static final Edition NONE = new Edition(0);

    public boolean isAfter(Edition other) {
        return value > other.value;
    }

    @Override
    public int compareTo(Edition other) {
        return Long.compare(value, other.value);
    }

    @Override
    public String toString() {
        return Long.toString(value);
    }
}
