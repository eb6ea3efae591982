package org.umbermount.kernel;

/** The revision of a configuration; 0 is the empty one that precedes the first. */
public record ConfigurationRevision(long value) implements Comparable<ConfigurationRevision> {
    @Override
    public boolean equals(Object o) {
        return o instanceof ConfigurationRevision other && value == other.value;
    }

    @Override
    public int hashCode() {
        return Long.hashCode(value);
    }

    public static final ConfigurationRevision NONE = new ConfigurationRevision(0);

    public boolean isAfter(ConfigurationRevision other) {
        return value > other.value;
    }

    @Override
    public int compareTo(ConfigurationRevision other) {
        return Long.compare(value, other.value);
    }

    @Override
    public String toString() {
        return Long.toString(value);
    }
}
