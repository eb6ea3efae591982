package org.umbermount.kernel;

/** The id of one life of a server. */
public record InstanceId(String value) {
    @Override
    public boolean equals(Object o) {
        return o instanceof InstanceId other && value.equals(other.value);
    }

    @Override
    public int hashCode() {
        return value.hashCode();
    }

    @Override
    public String toString() {
        return value;
    }
}
