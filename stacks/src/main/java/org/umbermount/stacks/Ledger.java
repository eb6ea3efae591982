package org.umbermount.stacks;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.zip.CRC32C;

/**
 * A run of checksummed records in segments. Records are written at the end, many in one sync; old ones go a whole
 * segment at a time. The format of a segment: an 8-byte title, then for each record the length of its body (4
 * bytes), its checksum (4) and its body. Numbers are big-endian; the checksum is CRC-32C over length and body.
 * Only the last segment can have a torn tail, because a new one is begun only when all before it is safe.
 */
public final class Ledger {
    static final byte[] TITLE = {'u', 'm', 'b', 'l', 'd', 'g', 0, 1};
    private static final int HEAD = 8;

    private final Vault vault;
    private final String prefix;
    private final int segmentBytes;
    private final TreeMap<Integer, Long> segments = new TreeMap<>();
    private boolean uncertainTail;

    /** Receives what the ledger holds, in order. */
    public interface Reader {
        void record(int segment, byte[] body);
    }

    private Ledger(Vault vault, String prefix, int segmentBytes) {
        this.vault = vault;
        this.prefix = prefix;
        this.segmentBytes = segmentBytes;
    }

    /** Opens the segments, drops a torn tail, makes the rest safe and hands it out. */
    public static Ledger open(Vault vault, String prefix, int segmentBytes, Reader reader) throws IOException {
        Ledger ledger = new Ledger(vault, prefix, segmentBytes);
        ledger.load(reader);
        return ledger;
    }

    private void load(Reader reader) throws IOException {
        List<Integer> numbers = new ArrayList<>();
        for (String name : vault.list()) {
            if (name.startsWith(prefix + ".") && name.substring(prefix.length() + 1).matches("[0-9]{1,9}")) {
                numbers.add(Integer.parseInt(name.substring(prefix.length() + 1)));
            }
        }
        numbers.sort(null);
        for (int i = 0; i < numbers.size(); i++) {
            int number = numbers.get(i);
            boolean last = i == numbers.size() - 1;
            byte[] bytes = vault.read(name(number));
            long whole = read(number, bytes == null ? new byte[0] : bytes, reader);
            if (bytes != null && whole < bytes.length) {
                if (!last) {
                    throw new Stack.DamagedException("The file " + name(number) + " is damaged at byte " + whole + ".");
                }
                vault.truncate(name(number), whole);
            }
            segments.put(number, whole);
            if (last && whole > 0) {
                vault.sync(name(number));
            }
        }
    }

    private static long read(int number, byte[] bytes, Reader reader) {
        if (bytes.length < TITLE.length) {
            return 0;
        }
        for (int i = 0; i < TITLE.length; i++) {
            if (bytes[i] != TITLE[i]) {
                return 0;
            }
        }
        ByteBuffer in = ByteBuffer.wrap(bytes);
        int at = TITLE.length;
        while (bytes.length - at >= HEAD) {
            int n = in.getInt(at);
            if (n < 1 || n > bytes.length - at - HEAD || checksum(bytes, at, n) != in.getInt(at + 4)) {
                break;
            }
            byte[] body = new byte[n];
            System.arraycopy(bytes, at + HEAD, body, 0, n);
            reader.record(number, body);
            at += HEAD + n;
        }
        return at;
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
        if (segments.isEmpty() || segments.lastEntry().getValue() >= segmentBytes) {
            segments.put(segments.isEmpty() ? 1 : segments.lastKey() + 1, 0L);
        }
        int number = segments.lastKey();
        long length = segments.get(number);
        if (uncertainTail) {
            vault.truncate(name(number), length);
            uncertainTail = false;
        }
        int total = length == 0 ? TITLE.length : 0;
        for (byte[] r : records) {
            total += HEAD + r.length;
        }
        ByteBuffer out = ByteBuffer.allocate(total);
        if (length == 0) {
            out.put(TITLE);
        }
        for (byte[] r : records) {
            int at = out.position();
            out.putInt(r.length).putInt(0).put(r);
            out.putInt(at + 4, checksum(out.array(), at, r.length));
        }
        uncertainTail = true;
        vault.append(name(number), length, out.array());
        uncertainTail = false;
        segments.put(number, length + total);
    }

    /** The segment that the next record goes to, unless it is full by then. */
    public int current() {
        return segments.isEmpty() ? 1 : segments.lastKey();
    }

    /** Removes every segment up to this one, which must not be the current one. */
    public void dropThrough(int number) throws IOException {
        while (!segments.isEmpty() && segments.firstKey() <= number && segments.size() > 1) {
            vault.remove(name(segments.firstKey()));
            segments.pollFirstEntry();
        }
    }

    /** Removes everything. */
    public void clear() throws IOException {
        for (int number : segments.keySet()) {
            vault.truncate(name(number), 0);
            vault.remove(name(number));
        }
        segments.clear();
        uncertainTail = false;
    }

    public long length() {
        long total = 0;
        for (long n : segments.values()) {
            total += n;
        }
        return total;
    }
}
