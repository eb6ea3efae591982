package org.umbermount.kernel;

/** The id of one life of a server. */
public record Pressmark(String value) {
    @Override
    public String toString() {
        return value;
    }
}
