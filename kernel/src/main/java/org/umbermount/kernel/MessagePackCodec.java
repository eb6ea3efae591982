package org.umbermount.kernel;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.List;

/**
 * MessagePack without checked exceptions for writing, and with one kind of failure for reading. It holds the few formats that
 * messages are made of, straight on byte arrays: a daemon reads and writes its first few thousand messages interpreted, where each
 * layer of a general library costs as much as the work itself.
 */
public final class MessagePackCodec {
    private static final int LEAST_SMALL = -32;
    private static final int FIXED_TEXT = 0xa0;
    private static final int FIXED_TEXT_MASK = 0xe0;
    private static final int SHORT_TEXT = 32;
    private static final int FALSE = 0xc2;
    private static final int TRUE = 0xc3;
    private static final int BYTES8 = 0xc4;
    private static final int UINT8 = 0xcc;
    private static final int UINT16 = 0xcd;
    private static final int UINT32 = 0xce;
    private static final int UINT64 = 0xcf;
    private static final int INT8 = 0xd0;
    private static final int INT16 = 0xd1;
    private static final int INT32 = 0xd2;
    private static final int INT64 = 0xd3;
    private static final int TEXT8 = 0xd9;

    private MessagePackCodec() {}

    /** A message that does not hold what it should. */
    public static class UnreadableException extends Exception {
        /** Makes an error that says what could not be read; the cause may be null. */
        public UnreadableException(String what, Throwable cause) {
            super(what, cause);
        }
    }

    /** Starts a message. */
    public static Writer write() {
        return new Writer();
    }

    /** Starts reading a message. */
    public static Reader read(byte[] bytes) {
        return new Reader(bytes);
    }

    /** Packs values one after the other, each in its shortest form. */
    public static final class Writer {
        private static final int FIRST_SIZE = 256;

        private byte[] buffer = new byte[FIRST_SIZE];
        private int length;

        private Writer() {}

        /** Writes an integer. */
        public Writer num(long value) {
            room(1 + Long.BYTES);
            if (value >= LEAST_SMALL && value <= Byte.MAX_VALUE) {
                put(value, 1);
            } else if (value >= 0) {
                positive(value);
            } else {
                negative(value);
            }
            return this;
        }

        private void positive(long value) {
            if (value < 1L << 8) {
                tagged(UINT8, value, 1);
            } else if (value < 1L << 16) {
                tagged(UINT16, value, 2);
            } else if (value < 1L << 32) {
                tagged(UINT32, value, 4);
            } else {
                tagged(UINT64, value, 8);
            }
        }

        private void negative(long value) {
            if (value >= Byte.MIN_VALUE) {
                tagged(INT8, value, 1);
            } else if (value >= Short.MIN_VALUE) {
                tagged(INT16, value, 2);
            } else if (value >= Integer.MIN_VALUE) {
                tagged(INT32, value, 4);
            } else {
                tagged(INT64, value, 8);
            }
        }

        /** Writes a boolean. */
        public Writer flag(boolean value) {
            room(1);
            put(value ? TRUE : FALSE, 1);
            return this;
        }

        /** Writes a string. */
        public Writer text(String value) {
            byte[] bytes = value.getBytes(StandardCharsets.UTF_8);
            int n = bytes.length;
            room(1 + Integer.BYTES + n);
            if (n < SHORT_TEXT) {
                put(FIXED_TEXT | n, 1);
            } else {
                sized(TEXT8, n);
            }
            append(bytes);
            return this;
        }

        /** Writes a byte string. */
        public Writer bytes(byte[] value) {
            room(1 + Integer.BYTES + value.length);
            sized(BYTES8, value.length);
            append(value);
            return this;
        }

        /** A length behind the first of three neighbouring tags, for lengths of one, two and four bytes. */
        private void sized(int tag, int n) {
            if (n < 1 << 8) {
                tagged(tag, n, 1);
            } else if (n < 1 << 16) {
                tagged(tag + 1, n, 2);
            } else {
                tagged(tag + 2, n, 4);
            }
        }

        private void tagged(int tag, long value, int size) {
            put(tag, 1);
            put(value, size);
        }

        private void put(long value, int size) {
            for (int shift = (size - 1) * 8; shift >= 0; shift -= 8) {
                buffer[length++] = (byte) (value >>> shift);
            }
        }

        private void append(byte[] bytes) {
            System.arraycopy(bytes, 0, buffer, length, bytes.length);
            length += bytes.length;
        }

        private void room(int more) {
            if (length + more > buffer.length) {
                buffer = Arrays.copyOf(buffer, Math.max(2 * buffer.length, length + more));
            }
        }

        /** Writes an address in its packed form. */
        public Writer daemonAddress(DaemonAddress value) {
            return num(value.packed());
        }

        /** Writes the number of items and then each of them, as {@code each} does. */
        public <T> Writer list(Collection<T> items, java.util.function.BiConsumer<Writer, T> each) {
            num(items.size());
            for (T item : items) {
                each.accept(this, item);
            }
            return this;
        }

        /** The message written so far. The writer cannot be used afterwards. */
        public byte[] done() {
            return Arrays.copyOf(buffer, length);
        }
    }

    /** Unpacks one value. */
    public interface Element<T> {
        /** Reads one element at the reader's position. */
        T read(Reader reader) throws UnreadableException;
    }

    /** Unpacks values one after the other. */
    public static final class Reader {
        private final byte[] buffer;
        private int at;

        private Reader(byte[] bytes) {
            buffer = bytes;
        }

        /** Reads an integer. */
        public long num() throws UnreadableException {
            int tag = next("a number is missing");
            if (tag <= Byte.MAX_VALUE || tag >= (LEAST_SMALL & 0xff)) {
                return (byte) tag;
            }
            switch (tag) {
                case UINT8:
                    return unsigned(1);
                case UINT16:
                    return unsigned(2);
                case UINT32:
                    return unsigned(4);
                case UINT64:
                    long value = unsigned(8);
                    if (value < 0) {
                        throw new UnreadableException("a number is too large", null);
                    }
                    return value;
                case INT8:
                    return (byte) unsigned(1);
                case INT16:
                    return (short) unsigned(2);
                case INT32:
                    return (int) unsigned(4);
                case INT64:
                    return unsigned(8);
                default:
                    throw new UnreadableException("a number is missing", null);
            }
        }

        /** Reads a boolean. */
        public boolean flag() throws UnreadableException {
            int tag = next("a flag is missing");
            if (tag != TRUE && tag != FALSE) {
                throw new UnreadableException("a flag is missing", null);
            }
            return tag == TRUE;
        }

        /** Reads a string. */
        public String text() throws UnreadableException {
            int n = size("a text is missing");
            String value = new String(buffer, at, n, StandardCharsets.UTF_8);
            at += n;
            return value;
        }

        /** Reads a byte string. */
        public byte[] bytes() throws UnreadableException {
            int n = size("bytes are missing");
            byte[] value = Arrays.copyOfRange(buffer, at, at + n);
            at += n;
            return value;
        }

        /** The length of a text or of bytes, of which all must be there; either may be read as the other. */
        private int size(String missing) throws UnreadableException {
            int tag = next(missing);
            long n;
            if ((tag & FIXED_TEXT_MASK) == FIXED_TEXT) {
                n = tag & SHORT_TEXT - 1;
            } else if (tag >= TEXT8 && tag <= TEXT8 + 2) {
                n = unsigned(1 << tag - TEXT8);
            } else if (tag >= BYTES8 && tag <= BYTES8 + 2) {
                n = unsigned(1 << tag - BYTES8);
            } else {
                throw new UnreadableException(missing, null);
            }
            if (n > buffer.length - at) {
                throw new UnreadableException("a length is beyond the message", null);
            }
            return (int) n;
        }

        private int next(String missing) throws UnreadableException {
            if (at >= buffer.length) {
                throw new UnreadableException(missing, null);
            }
            return buffer[at++] & 0xff;
        }

        private long unsigned(int size) throws UnreadableException {
            if (size > buffer.length - at) {
                throw new UnreadableException("a number is cut off", null);
            }
            long value = 0;
            for (int i = 0; i < size; i++) {
                value = value << 8 | buffer[at++] & 0xff;
            }
            return value;
        }

        /** Reads an address in its packed form. */
        public DaemonAddress daemonAddress() throws UnreadableException {
            return DaemonAddress.unpack(num());
        }

        /**
         * Reads a list written by {@link Writer#list}. A count that the message cannot hold is refused before anything
         * is allocated.
         */
        public <T> List<T> list(Element<T> element) throws UnreadableException {
            long n = num();
            if (n < 0 || n > buffer.length) {
                throw new UnreadableException("a count is beyond the message", null);
            }
            List<T> items = new ArrayList<>((int) n);
            for (long i = 0; i < n; i++) {
                items.add(element.read(this));
            }
            return items;
        }
    }
}
