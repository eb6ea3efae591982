package org.umbermount.kernel.net;

import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.zip.CRC32C;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;
import org.umbermount.kernel.Clock;
import org.umbermount.kernel.DaemonAddress;
import org.umbermount.kernel.Messenger;
import org.umbermount.kernel.MonotonicTime;
import org.umbermount.kernel.Safeguard;
import org.umbermount.kernel.net.UnreadableDatagramException.Reason;

/**
 * Splits messages into datagrams and puts them together again. Each datagram is
 * {@code magic, topic, flags, id, index, count, checksum, bytes}; where the count is over one, a number that stands for this
 * life of the sender comes before the bytes. A message over {@link #COMPRESS_OVER} bytes is deflated first.
 */
public final class Fragmentation {
    static final int PART = 1180;
    /** Operation records hold servers' bytes, which hardly shrink, and are too many to try each. */
    static final int COMPRESS_OVER = 600;

    private static final byte MAGIC = (byte) 0xB7;
    private static final int HEAD = 15;
    private static final int LIFE = 4;
    private static final int OPEN_AT_MOST = 64;
    private static final long KEEP_MS = 3_000;

    private final Clock clock;
    private final Map<Key, Partial> partials = new LinkedHashMap<>();
    private final int life;
    private int nextId;
    private long foreign;

    /**
     * Starts with a random sender id and message id, so that fragments of an earlier process are not mixed with new
     * ones.
     */
    public Fragmentation(Clock clock) {
        this(clock, new SecureRandom().nextInt(), new SecureRandom().nextInt());
    }

    /** For tests: with a given life and first id. */
    Fragmentation(Clock clock, int life, int firstId) {
        this.clock = clock;
        this.life = life;
        this.nextId = firstId;
    }

    /** How many messages were dropped because two lives of their sender had sent parts under one id. */
    long foreign() {
        return foreign;
    }

    /** A message put together again. */
    public record Whole(Messenger.Topic topic, byte[] body) {}

    private record Key(DaemonAddress from, int id) {
        @Override
        public boolean equals(Object o) {
            return o instanceof Key other && id == other.id && from.equals(other.from);
        }

        @Override
        public int hashCode() {
            return from.hashCode() * 31 + id;
        }
    }

    private static final class Partial {
        final byte[][] parts;
        final MonotonicTime since;
        final int life;
        int missing;

        Partial(int count, int life, MonotonicTime since) {
            this.life = life;
            parts = new byte[count][];
            missing = count;
            this.since = since;
        }
    }

    /**
     * Splits a message into datagrams of about 1,200 bytes at most, to be sent in any order.
     *
     * @throws IllegalArgumentException if the body is longer than {@link Messenger#LARGEST}
     */
    public List<byte[]> wrap(Messenger.Topic topic, byte[] body) {
        if (body.length > Messenger.LARGEST) {
            throw new IllegalArgumentException("message too large: " + body.length);
        }
        byte flags = 0;
        byte[] load = body;
        if (body.length > COMPRESS_OVER && topic != Messenger.Topic.LOAN) {
            byte[] small = deflate(body);
            if (small.length < body.length) {
                load = small;
                flags = 1;
            }
        }
        int count = Math.max(1, (load.length + PART - 1) / PART);
        int id = nextId++;
        int head = count == 1 ? HEAD : HEAD + LIFE;
        List<byte[]> out = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            int from = i * PART;
            int n = Math.min(PART, load.length - from);
            byte[] datagram = new byte[head + n];
            datagram[0] = MAGIC;
            datagram[1] = (byte) topic.ordinal();
            datagram[2] = flags;
            putInt(datagram, 3, id);
            putShort(datagram, 7, i);
            putShort(datagram, 9, count);
            if (count > 1) {
                putInt(datagram, HEAD, life);
            }
            System.arraycopy(load, from, datagram, head, n);
            putInt(datagram, 11, checksum(datagram));
            out.add(datagram);
        }
        return out;
    }

    /** The whole message, or null while parts are missing. */
    public Whole unwrap(DaemonAddress from, byte[] datagram) throws UnreadableDatagramException {
        if (datagram.length < HEAD || datagram[0] != MAGIC) {
            throw new UnreadableDatagramException(Reason.FOREIGN, null);
        }
        int expected = getInt(datagram, 11);
        putInt(datagram, 11, 0);
        int topicIndex = datagram[1];
        Messenger.Topic[] topics = Messenger.Topic.values();
        int index = getShort(datagram, 7);
        int count = getShort(datagram, 9);
        if (checksum(datagram) != expected
                || topicIndex < 0
                || topicIndex >= topics.length
                || index >= count
                || count > Messenger.LARGEST / PART + 1
                || count > 1 && datagram.length < HEAD + LIFE) {
            throw new UnreadableDatagramException(Reason.DAMAGED, null);
        }
        byte[] load;
        if (count == 1) {
            load = java.util.Arrays.copyOfRange(datagram, HEAD, datagram.length);
        } else {
            load = join(from, datagram, index, count);
            if (load == null) {
                return null;
            }
        }
        return new Whole(topics[topicIndex], datagram[2] == 1 ? inflate(load) : load);
    }

    private byte[] join(DaemonAddress from, byte[] datagram, int index, int count) throws UnreadableDatagramException {
        MonotonicTime now = clock.now();
        Iterator<Partial> oldest = partials.values().iterator();
        while (oldest.hasNext() && (partials.size() >= OPEN_AT_MOST || now.since(oldest.next().since) > KEEP_MS)) {
            if (partials.size() >= OPEN_AT_MOST) {
                oldest = partials.values().iterator();
                oldest.next();
            }
            oldest.remove();
        }
        Key key = new Key(from, getInt(datagram, 3));
        int sentIn = getInt(datagram, HEAD);
        Partial partial = partials.computeIfAbsent(key, k -> new Partial(count, sentIn, now));
        if (partial.life != sentIn && Safeguard.PARTS_OF_ONE_LIFE.holds()) {
            partials.remove(key);
            foreign++;
            throw new UnreadableDatagramException(Reason.MIXED_LIVES, null);
        }
        if (partial.parts.length != count) {
            partials.remove(key);
            throw new UnreadableDatagramException(Reason.MIXED_MESSAGES, null);
        }
        if (partial.parts[index] != null) {
            return null;
        }
        partial.parts[index] = java.util.Arrays.copyOfRange(datagram, HEAD + LIFE, datagram.length);
        if (--partial.missing > 0) {
            return null;
        }
        partials.remove(key);
        int total = 0;
        for (byte[] part : partial.parts) {
            total += part.length;
        }
        byte[] load = new byte[total];
        int at = 0;
        for (byte[] part : partial.parts) {
            System.arraycopy(part, 0, load, at, part.length);
            at += part.length;
        }
        return load;
    }

    private static byte[] deflate(byte[] body) {
        Deflater deflater = new Deflater(Deflater.BEST_SPEED, true);
        try {
            deflater.setInput(body);
            deflater.finish();
            byte[] out = new byte[body.length + 64];
            int n = deflater.deflate(out);
            return deflater.finished() ? java.util.Arrays.copyOf(out, n) : body;
        } finally {
            deflater.end();
        }
    }

    private static byte[] inflate(byte[] load) throws UnreadableDatagramException {
        Inflater inflater = new Inflater(true);
        try {
            inflater.setInput(load);
            java.io.ByteArrayOutputStream out = new java.io.ByteArrayOutputStream(load.length * 4);
            byte[] chunk = new byte[8192];
            while (!inflater.finished()) {
                int n = inflater.inflate(chunk);
                if (n == 0 && !inflater.finished() || out.size() + n > Messenger.LARGEST) {
                    throw new UnreadableDatagramException(Reason.NOT_INFLATABLE, null);
                }
                out.write(chunk, 0, n);
            }
            return out.toByteArray();
        } catch (DataFormatException e) {
            throw new UnreadableDatagramException(Reason.NOT_INFLATABLE, e);
        } finally {
            inflater.end();
        }
    }

    private static int checksum(byte[] datagram) {
        CRC32C crc = new CRC32C();
        crc.update(datagram, 0, datagram.length);
        return (int) crc.getValue();
    }

    private static void putInt(byte[] b, int at, int v) {
        b[at] = (byte) (v >>> 24);
        b[at + 1] = (byte) (v >>> 16);
        b[at + 2] = (byte) (v >>> 8);
        b[at + 3] = (byte) v;
    }

    private static int getInt(byte[] b, int at) {
        return (b[at] & 255) << 24 | (b[at + 1] & 255) << 16 | (b[at + 2] & 255) << 8 | b[at + 3] & 255;
    }

    private static void putShort(byte[] b, int at, int v) {
        b[at] = (byte) (v >>> 8);
        b[at + 1] = (byte) v;
    }

    private static int getShort(byte[] b, int at) {
        return (b[at] & 255) << 8 | b[at + 1] & 255;
    }
}
