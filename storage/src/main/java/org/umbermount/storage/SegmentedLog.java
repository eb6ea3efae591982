package org.umbermount.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.TreeMap;
import java.util.zip.CRC32C;
import org.umbermount.kernel.MessagePackCodec;
import org.umbermount.kernel.Safeguard;

/**
 * A run of checksummed records in segments. Records are written at the end, many in one sync; old ones go a whole
 * segment at a time. The format of a segment: an 8-byte title, then for each record the length of its body (4
 * bytes), its checksum (4) and its body. Numbers are big-endian; the checksum is CRC-32C over length and body.
 * Only the last segment can have a torn tail, because a new one is begun only when all before it is safe.
 *
 * <p>Records that were written in one sync can be lost in any order, and what is behind the first lost one counts for
 * nothing. The highest bit of the length marks a record that is not the first of its sync. A whole first one behind a
 * broken record therefore shows damage to what was safe, and that is reported.
 */
public final class SegmentedLog {
    /** The last byte is the version of the format; in version 1 no record was marked. */
    static final byte[] TITLE = {'u', 'm', 'b', 'l', 'd', 'g', 0, 2};

    private static final int HEAD = 8;
    private static final int FOLLOWS = 1 << 31;

    private final StorageDirectory vault;
    private final String prefix;
    private final int segmentBytes;
    private final TreeMap<Integer, Long> segments = new TreeMap<>();
    private boolean uncertainTail;
    private volatile int current = 1;

    /** Receives what the ledger holds, in order. */
    public interface RecordReader {
        /** Takes one record and the number of the segment that holds it. The bytes are the receiver's own. */
        void record(int segment, byte[] body) throws MessagePackCodec.UnreadableException;
    }

    private SegmentedLog(StorageDirectory vault, String prefix, int segmentBytes) {
        this.vault = vault;
        this.prefix = prefix;
        this.segmentBytes = segmentBytes;
    }

    /** Opens the segments, makes them safe and hands out what they hold; a torn tail is cut off before the next record. */
    public static SegmentedLog open(StorageDirectory vault, String prefix, int segmentBytes, RecordReader reader)
            throws IOException {
        SegmentedLog ledger = new SegmentedLog(vault, prefix, segmentBytes);
        ledger.load(reader);
        return ledger;
    }

    private void load(RecordReader reader) throws IOException {
        List<Integer> numbers = new ArrayList<>();
        for (String name : vault.list()) {
            if (name.startsWith(prefix + ".")
                    && name.substring(prefix.length() + 1).matches("[0-9]{1,9}")) {
                numbers.add(Integer.parseInt(name.substring(prefix.length() + 1)));
            }
        }
        numbers.sort(null);
        numbers = withoutReturned(numbers);
        for (int i = 0; i < numbers.size(); i++) {
            int number = numbers.get(i);
            boolean last = i == numbers.size() - 1;
            byte[] bytes = vault.read(name(number));
            Content content = new Content(bytes);
            if (content.damaged || !last && content.end < bytes.length) {
                throw new AppendOnlyFile.DamagedException(name(number), content.brokenAt);
            }
            if (last && Safeguard.FILE_SYNCED_AT_OPENING.holds()) {
                vault.sync(name(number));
            }
            hand(content, number, reader);
            segments.put(number, (long) content.end);
            uncertainTail = content.end < bytes.length;
            current = number;
        }
    }

    private void hand(Content content, int number, RecordReader reader) throws AppendOnlyFile.DamagedException {
        int at = TITLE.length;
        for (byte[] body : content.records) {
            try {
                reader.record(number, body);
            } catch (MessagePackCodec.UnreadableException e) {
                throw new AppendOnlyFile.DamagedException(name(number), at, e);
            }
            at += HEAD + body.length;
        }
    }

    /** Segments go from the oldest on. So what lies before a gap was removed, and came back with a loss of power. */
    private List<Integer> withoutReturned(List<Integer> numbers) throws IOException {
        int first = numbers.size() - 1;
        while (first > 0 && numbers.get(first - 1) == numbers.get(first) - 1) {
            first--;
        }
        for (int i = 0; i < first; i++) {
            vault.remove(name(numbers.get(i)));
        }
        return numbers.subList(Math.max(0, first), numbers.size());
    }

    private void cutTail() throws IOException {
        if (Safeguard.TORN_TAIL_DROPPED.holds()) {
            vault.truncate(name(current), segments.get(current));
        }
    }

    /** What a segment holds. */
    private static final class Content {
        final List<byte[]> records = new ArrayList<>();
        /** Where the last whole record ends; 0 if there is none. */
        int end;

        int brokenAt;
        boolean damaged;

        Content(byte[] bytes) {
            if (bytes.length < TITLE.length) {
                return;
            }
            int version = version(bytes);
            if (version < 0) {
                boolean missing = Arrays.equals(new byte[TITLE.length], Arrays.copyOf(bytes, TITLE.length));
                damaged = !missing || laterSync(bytes, TITLE.length);
                return;
            }
            ByteBuffer in = ByteBuffer.wrap(bytes);
            brokenAt = TITLE.length;
            while (isWhole(in, brokenAt)) {
                int n = in.getInt(brokenAt) & ~FOLLOWS;
                byte[] body = new byte[n];
                System.arraycopy(bytes, brokenAt + HEAD, body, 0, n);
                records.add(body);
                brokenAt += HEAD + n;
                end = brokenAt;
            }
            damaged = version > 1 && laterSync(bytes, brokenAt + 1);
        }

        private static int version(byte[] bytes) {
            for (int i = 0; i < TITLE.length - 1; i++) {
                if (bytes[i] != TITLE[i]) {
                    return -1;
                }
            }
            int version = bytes[TITLE.length - 1];
            return version == 1 || version == TITLE[TITLE.length - 1] ? version : -1;
        }

        private static boolean isWhole(ByteBuffer in, int at) {
            if (in.limit() - at < HEAD) {
                return false;
            }
            int n = in.getInt(at) & ~FOLLOWS;
            return n >= 1 && n <= in.limit() - at - HEAD && checksum(in.array(), at, n) == in.getInt(at + 4);
        }

        private static boolean laterSync(byte[] bytes, int from) {
            ByteBuffer in = ByteBuffer.wrap(bytes);
            for (int at = from; at <= bytes.length - HEAD; at++) {
                if (in.getInt(at) > 0 && isWhole(in, at)) {
                    return true;
                }
            }
            return false;
        }
    }

    private static int checksum(byte[] bytes, int at, int n) {
        CRC32C crc = new CRC32C();
        crc.update(bytes, at, 4);
        crc.update(bytes, at + HEAD, n);
        return (int) crc.getValue();
    }

    private String name(int number) {
        return prefix + "." + number;
    }

    /** Writes the records and waits until they are safe; after a failure none of them counts. */
    public void append(List<byte[]> records) throws IOException {
        if (uncertainTail) {
            cutTail();
            uncertainTail = false;
        }
        if (segments.isEmpty() || segments.lastEntry().getValue() >= segmentBytes) {
            segments.put(segments.isEmpty() ? 1 : segments.lastKey() + 1, 0L);
            current = segments.lastKey();
        }
        int number = current;
        long length = segments.get(number);
        int total = length == 0 ? TITLE.length : 0;
        for (byte[] r : records) {
            total += HEAD + r.length;
        }
        ByteBuffer out = ByteBuffer.allocate(total);
        if (length == 0) {
            out.put(TITLE);
        }
        int mark = 0;
        for (byte[] r : records) {
            int at = out.position();
            out.putInt(r.length | mark).putInt(0).put(r);
            mark = FOLLOWS;
            out.putInt(at + 4, checksum(out.array(), at, r.length));
        }
        uncertainTail = true;
        vault.append(name(number), length, out.array());
        uncertainTail = false;
        segments.put(number, length + total);
    }

    /** The segment that the next record goes to, unless it is full by then. */
    public int current() {
        return current;
    }

    /** Removes every segment up to this one, the oldest first, but never the last one that holds something. */
    public void dropThrough(int number) throws IOException {
        while (segments.size() > 1
                && segments.firstKey() <= number
                && segments.higherEntry(segments.firstKey()).getValue() > 0) {
            vault.remove(name(segments.firstKey()));
            segments.pollFirstEntry();
        }
    }

    /** The bytes of all segments together. */
    public long length() {
        long total = 0;
        for (long n : segments.values()) {
            total += n;
        }
        return total;
    }
}
