package org.umbermount.kernel;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/** MessagePack without checked exceptions for writing, and with one kind of failure for reading. */
public final class Script {
    private Script() {
    }

    /** A message that does not hold what it should. */
    public static class UnreadableException extends Exception {
        public UnreadableException(String what, Throwable cause) {
            super(what, cause);
        }
    }

    public static Writer write() {
        return new Writer();
    }

    public static Reader read(byte[] bytes) {
        return new Reader(bytes);
    }

    /** Packs values one after the other. */
    public static final class Writer {
        private static final MessagePack.PackerConfig CONFIG =
                new MessagePack.PackerConfig().withBufferSize(512);
        private final MessageBufferPacker packer = CONFIG.newBufferPacker();

        public Writer num(long value) {
            try {
                packer.packLong(value);
                return this;
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        }

        public Writer flag(boolean value) {
            try {
                packer.packBoolean(value);
                return this;
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        }

        public Writer text(String value) {
            try {
                packer.packString(value);
                return this;
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        }

        public Writer bytes(byte[] value) {
            try {
                packer.packBinaryHeader(value.length);
                packer.writePayload(value);
                return this;
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        }

        public Writer imprint(Imprint value) {
            return num(value.packed());
        }

        public <T> Writer list(Iterable<T> items, java.util.function.BiConsumer<Writer, T> each) {
            int n = 0;
            for (T ignored : items) {
                n++;
            }
            num(n);
            for (T item : items) {
                each.accept(this, item);
            }
            return this;
        }

        public byte[] done() {
            try {
                byte[] bytes = packer.toByteArray();
                packer.close();
                return bytes;
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        }
    }

    /** Unpacks one value. */
    public interface Element<T> {
        T read(Reader reader) throws UnreadableException;
    }

    /** Unpacks values one after the other. */
    public static final class Reader {
        private final MessageUnpacker unpacker;
        private final int size;

        Reader(byte[] bytes) {
            unpacker = MessagePack.newDefaultUnpacker(bytes);
            size = bytes.length;
        }

        public long num() throws UnreadableException {
            try {
                return unpacker.unpackLong();
            } catch (IOException | MessagePackException e) {
                throw new UnreadableException("a number is missing", e);
            }
        }

        public boolean flag() throws UnreadableException {
            try {
                return unpacker.unpackBoolean();
            } catch (IOException | MessagePackException e) {
                throw new UnreadableException("a flag is missing", e);
            }
        }

        public String text() throws UnreadableException {
            try {
                return unpacker.unpackString();
            } catch (IOException | MessagePackException e) {
                throw new UnreadableException("a text is missing", e);
            }
        }

        public byte[] bytes() throws UnreadableException {
            try {
                int n = unpacker.unpackBinaryHeader();
                if (n > size) {
                    throw new UnreadableException("a length is beyond the message", null);
                }
                return unpacker.readPayload(n);
            } catch (IOException | MessagePackException e) {
                throw new UnreadableException("bytes are missing", e);
            }
        }

        public Imprint imprint() throws UnreadableException {
            return Imprint.unpack(num());
        }

        public <T> List<T> list(Element<T> element) throws UnreadableException {
            long n = num();
            if (n < 0 || n > size) {
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
