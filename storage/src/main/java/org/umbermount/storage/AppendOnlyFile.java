package org.umbermount.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.zip.CRC32C;
import org.agrona.ExpandableArrayBuffer;
import org.agrona.concurrent.UnsafeBuffer;
import org.umbermount.kernel.MessagePackCodec;
import org.umbermount.kernel.Safeguard;

/**
 * An append-only file of checksummed records, rewritten when it gets long. A record holds the folios of one
 * write, so that a write is there whole or not at all; only the newest folio of a key counts, and what was added to it
 * since ({@link LogRecord#addition}). The format: an
 * 8-byte title, then for each record the length of its body (4 bytes), its checksum (4) and its body. A body is
 * a run of folios: key (1), length of the value (4), value. Numbers are big-endian; the checksum is CRC-32C over
 * the length and the body.
 *
 * <p>A stack has two files, and one of them is empty but for the time of a rewrite. A rewrite puts one record with all that
 * counts and a generation, one higher than before, into the empty file, makes it safe, and empties the other. So no file is
 * ever renamed or removed. While both files hold something, nothing has been written to the newer one but that record.
 *
 * <p>After a put the length is at most the largest of {@code rewriteOver}, twice what counted before it, and what counted
 * before it with the new record; during a rewrite the disk holds what counts a second time.
 */
public final class AppendOnlyFile {
    /** A record in the middle of the file is damaged: the disk cannot be trusted. */
    public static final class DamagedException extends IOException {
        DamagedException(String name, long at) {
            super("The file " + name + " is damaged at byte " + at + ".");
        }

        /** A whole record holds something that nobody can have written. */
        DamagedException(String name, long at, MessagePackCodec.UnreadableException cause) {
            super("The file " + name + " cannot be read at byte " + at + ": " + cause.getMessage() + ".", cause);
        }
    }

    /** Holds the generation; no put may use it. */
    static final byte GENERATION = 0;

    static final byte[] TITLE = {'u', 'm', 'b', 's', 't', 'k', 0, 1};
    private static final int HEAD = 8;
    private static final int FOLIO_HEAD = 5;
    private static final int LONGEST = 64 << 20;
    private static final java.nio.ByteOrder ORDER = java.nio.ByteOrder.BIG_ENDIAN;

    private final StorageDirectory vault;
    private final long rewriteOver;
    private final StoredValues stored = new StoredValues();
    /** Where the folios stood that the file held at its opening. */
    private final Map<Byte, Integer> foundAt = new HashMap<>();
    /** The file in use. */
    private String name;

    private String spare;
    private long generation;
    private long length;
    private boolean uncertainTail;
    /** The spare file may hold a rewrite that did not come to its end. */
    private boolean uncertainSpare;

    private AppendOnlyFile(StorageDirectory vault, String name, long rewriteOver) {
        this.vault = vault;
        this.name = name;
        this.spare = spareOf(name);
        this.rewriteOver = rewriteOver;
    }

    static String spareOf(String name) {
        return name + ".spare";
    }

    /** Opens the stack without a write; a torn tail and what is left of a rewrite go before the next put. */
    public static AppendOnlyFile open(StorageDirectory vault, String name, long rewriteOver) throws IOException {
        AppendOnlyFile stack = new AppendOnlyFile(vault, name, rewriteOver);
        stack.load();
        return stack;
    }

    /** Empties the files of a stack that cannot be read. */
    public static void discard(StorageDirectory vault, String name) throws IOException {
        vault.truncate(name, 0);
        vault.truncate(spareOf(name), 0);
    }

    private void load() throws IOException {
        Content content = new Content(vault.read(name));
        Content other = new Content(vault.read(spare));
        boolean rewritten = other.size > 0 && (content.size == 0 || other.outdates(content));
        if (rewritten) {
            swapFiles();
            Content first = content;
            content = other;
            other = first;
        }
        if (content.damagedAt >= 0) {
            throw new DamagedException(name, content.damagedAt);
        }
        if (content.end == 0 && content.size > 0 && (rewritten || other.exists)) {
            // The second file is made when something is safe, and from then on one of the two holds a whole record.
            throw new DamagedException(name, 0);
        }
        length = content.end;
        if (length > 0 && Safeguard.FILE_SYNCED_AT_OPENING.holds()) {
            // What an ended process wrote without waiting for the disk can be read back and still go with the power.
            vault.sync(name);
        }
        uncertainTail = length < content.size;
        // Also an empty one: an ended process may have cut it without waiting for the disk.
        uncertainSpare = other.exists;
        generation = content.generation;
        stored.applyAll(content.stored);
        foundAt.putAll(content.foundAt);
    }

    private void swapFiles() {
        String other = spare;
        spare = name;
        name = other;
    }

    private void cutTail() throws IOException {
        if (Safeguard.TORN_TAIL_DROPPED.holds()) {
            vault.truncate(name, length);
        }
    }

    /** What one of the files holds. */
    private static final class Content {
        final StoredValues stored = new StoredValues();
        final Map<Byte, Integer> foundAt = new HashMap<>();
        final boolean exists;
        final int size;
        /** Where the last whole record ends; 0 if there is none. */
        int end;

        int damagedAt = -1;
        long generation;

        Content(byte[] bytes) {
            exists = bytes != null;
            size = bytes == null ? 0 : bytes.length;
            if (size < TITLE.length) {
                // Nothing was ever safe: the title is written together with the first record.
                return;
            }
            UnsafeBuffer buffer = new UnsafeBuffer(bytes);
            if (!Arrays.equals(TITLE, Arrays.copyOf(bytes, TITLE.length))) {
                boolean missing = Arrays.equals(new byte[TITLE.length], Arrays.copyOf(bytes, TITLE.length));
                damagedAt = missing && !laterRecord(buffer, TITLE.length, size) ? -1 : 0;
                return;
            }
            int at = TITLE.length;
            while (at < size) {
                int next = recordEnd(buffer, at, size);
                if (next < 0) {
                    damagedAt = laterRecord(buffer, at + 1, size) ? at : -1;
                    break;
                }
                read(buffer, at + HEAD, next);
                at = next;
                end = at;
            }
        }

        private void read(UnsafeBuffer buffer, int from, int to) {
            int at = from;
            while (at < to) {
                byte[] value = new byte[buffer.getInt(at + 1, ORDER)];
                buffer.getBytes(at + FOLIO_HEAD, value);
                if (buffer.getByte(at) == GENERATION) {
                    generation = new UnsafeBuffer(value).getLong(0, ORDER);
                } else {
                    stored.apply(new LogRecord(buffer.getByte(at), value));
                    foundAt.put(buffer.getByte(at), at);
                }
                at += FOLIO_HEAD + value.length;
            }
        }

        /** Whether this is a whole rewrite of the other. */
        boolean outdates(Content other) {
            return end > 0 && (other.end == 0 || generation > other.generation);
        }
    }

    /** Where the record at {@code at} ends, or -1 if it is not whole. */
    private static int recordEnd(UnsafeBuffer buffer, int at, int size) {
        if (size - at < HEAD + FOLIO_HEAD) {
            return -1;
        }
        int n = buffer.getInt(at, ORDER);
        if (n < 1 || n > LONGEST || n > size - at - HEAD) {
            return -1;
        }
        return checksum(buffer.byteArray(), at, n) == buffer.getInt(at + 4, ORDER) ? at + HEAD + n : -1;
    }

    /** A whole record behind a damaged one shows that more than the tail was harmed. */
    private static boolean laterRecord(UnsafeBuffer buffer, int from, int size) {
        for (int at = from; at < size; at++) {
            if (recordEnd(buffer, at, size) >= 0) {
                return true;
            }
        }
        return false;
    }

    private static int checksum(byte[] bytes, int at, int n) {
        CRC32C crc = new CRC32C();
        crc.update(bytes, at, 4);
        crc.update(bytes, at + HEAD, n);
        return (int) crc.getValue();
    }

    /** The newest value under the key, or null if there is none. */
    public byte[] get(byte key) {
        return stored.value(key);
    }

    /** What was added to the newest value under a key, oldest first. */
    public List<byte[]> additions(byte key) {
        return stored.additions(key);
    }

    /** Reads the value that a key had at the opening; what cannot be read is reported with file and offset. */
    public <T> T read(byte key, MessagePackCodec.Element<T> element) throws DamagedException {
        try {
            byte[] value = stored.value(key);
            if (value == null) {
                throw new MessagePackCodec.UnreadableException("the entry " + key + " is missing", null);
            }
            return element.read(MessagePackCodec.read(value));
        } catch (MessagePackCodec.UnreadableException e) {
            throw new DamagedException(name, foundAt.getOrDefault(key, 0), e);
        }
    }

    public boolean isEmpty() {
        return stored.isEmpty();
    }

    /** Writes the folios and waits until all of them are safe. After a failure nothing of them counts here. */
    public void put(List<LogRecord> folios) throws IOException {
        if (folios.isEmpty()) {
            // A record without a body would be taken for a broken one.
            return;
        }
        if (folios.stream().anyMatch(f -> f.target() == GENERATION)) {
            throw new IllegalArgumentException("The key " + GENERATION + " is the stack's own.");
        }
        if (uncertainTail) {
            cutTail();
            uncertainTail = false;
        }
        if (uncertainSpare) {
            // A whole rewrite would outdate what is written here from now on.
            vault.truncate(spare, 0);
            uncertainSpare = false;
        }
        byte[] bytes = encode(folios, length == 0);
        if (length + bytes.length > rewriteOver) {
            byte[] whole = whole();
            if (length + bytes.length > 2L * whole.length) {
                rewrite(whole);
            }
        }
        uncertainTail = true;
        vault.append(name, length, bytes);
        uncertainTail = false;
        length += bytes.length;
        folios.forEach(stored::apply);
    }

    /** All that counts, as the first record of the next generation. */
    private byte[] whole() {
        List<LogRecord> all = new ArrayList<>();
        all.add(new LogRecord(
                GENERATION,
                ByteBuffer.allocate(Long.BYTES).putLong(generation + 1).array()));
        all.addAll(stored.folios());
        return encode(all, true);
    }

    private void rewrite(byte[] whole) throws IOException {
        if (!Safeguard.REWRITTEN_BESIDE.holds()) {
            vault.truncate(name, 0);
            vault.append(name, 0, whole);
            length = whole.length;
            return;
        }
        uncertainSpare = true;
        vault.append(spare, 0, whole);
        // The spare file is safe and says the same: from here on it is the one in use, also if the old one stays for
        // now.
        swapFiles();
        generation++;
        length = whole.length;
        vault.truncate(spare, 0);
        uncertainSpare = false;
    }

    /** Starts over with empty files. */
    public void clear() throws IOException {
        vault.truncate(spare, 0);
        vault.truncate(name, 0);
        stored.clear();
        length = 0;
        uncertainTail = false;
        uncertainSpare = false;
    }

    /** The bytes of the file in use. */
    public long length() {
        return length;
    }

    private static byte[] encode(List<LogRecord> folios, boolean withTitle) {
        ExpandableArrayBuffer out = new ExpandableArrayBuffer(256);
        int at = 0;
        if (withTitle) {
            out.putBytes(0, TITLE);
            at = TITLE.length;
        }
        int record = at;
        at += HEAD;
        for (LogRecord folio : folios) {
            out.putByte(at, folio.key());
            out.putInt(at + 1, folio.value().length, ORDER);
            out.putBytes(at + FOLIO_HEAD, folio.value());
            at += FOLIO_HEAD + folio.value().length;
        }
        int n = at - record - HEAD;
        out.putInt(record, n, ORDER);
        out.putInt(record + 4, checksum(out.byteArray(), record, n), ORDER);
        byte[] bytes = new byte[at];
        out.getBytes(0, bytes);
        return bytes;
    }
}
