package org.umbermount.storage;

/**
 * One record of a stack: a key, and the newest value under it; or, under a negative key, what is added to the newest value of
 * the key without its sign bit. A value takes the place of the one before and of all that was added to it.
 */
public record LogRecord(byte key, byte[] value) {
    private static final int ADDITION = 0x80;

    /** What is added to the newest value under a key. */
    public static LogRecord addition(byte key, byte[] value) {
        if (key <= 0) {
            throw new IllegalArgumentException("Nothing can be added under the key " + key + ".");
        }
        return new LogRecord((byte) (key | ADDITION), value);
    }

    /** Whether this is added to a value and does not take its place. */
    public boolean isAddition() {
        return key < 0;
    }

    /** The key that the value, or the addition, is found under. */
    public byte target() {
        return (byte) (key & ~ADDITION);
    }
}
