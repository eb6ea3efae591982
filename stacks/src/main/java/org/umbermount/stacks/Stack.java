package org.umbermount.stacks;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.zip.CRC32C;
import org.agrona.ExpandableArrayBuffer;
import org.agrona.concurrent.UnsafeBuffer;

/**
 * An append-only file of checksummed records, rewritten when it gets long. A record holds the folios of one
 * write, so that a write is there whole or not at all; only the newest folio of a key counts. The format: an
 * 8-byte title, then for each record the length of its body (4 bytes), its checksum (4) and its body. A body is
 * a run of folios: key (1), length of the value (4), value. Numbers are big-endian; the checksum is CRC-32C over
 * the length and the body.
 */
public final class Stack {
    /** A record in the middle of the file is damaged: the disk cannot be trusted. */
    public static final class DamagedException extends IOException {
        DamagedException(String message) {
            super(message);
        }
    }

    static final byte[] TITLE = {'u', 'm', 'b', 's', 't', 'k', 0, 1};
    private static final int HEAD = 8;
    private static final int FOLIO_HEAD = 5;
    private static final int LONGEST = 64 << 20;
    private static final java.nio.ByteOrder ORDER = java.nio.ByteOrder.BIG_ENDIAN;

    private final Vault vault;
    private final String name;
    private final long rewriteOver;
    private final Map<Byte, byte[]> newest = new TreeMap<>();
    private long length;
    private boolean uncertainTail;

    private Stack(Vault vault, String name, long rewriteOver) {
        this.vault = vault;
        this.name = name;
        this.rewriteOver = rewriteOver;
    }

    /** Opens the file, dropping a torn tail. */
    public static Stack open(Vault vault, String name, long rewriteOver) throws IOException {
        Stack stack = new Stack(vault, name, rewriteOver);
        stack.load();
        if (stack.length > 0) {
            // What an ended process wrote without waiting for the disk can be read back and still go with the power.
            vault.sync(name);
        }
        return stack;
    }

    private void load() throws IOException {
        byte[] bytes = vault.read(name);
        if (bytes == null || bytes.length < TITLE.length) {
            // Nothing was ever safe: the title is written together with the first record.
            length = 0;
            if (bytes != null && bytes.length > 0) {
                vault.truncate(name, 0);
            }
            return;
        }
        for (int i = 0; i < TITLE.length; i++) {
            if (bytes[i] != TITLE[i]) {
                throw new DamagedException("The file " + name + " is not a stack.");
            }
        }
        UnsafeBuffer buffer = new UnsafeBuffer(bytes);
        int at = TITLE.length;
        while (at < bytes.length) {
            int end = recordEnd(buffer, at, bytes.length);
            if (end < 0) {
                if (laterRecord(buffer, at, bytes.length)) {
                    throw new DamagedException("The file " + name + " is damaged at byte " + at + ".");
                }
                vault.truncate(name, at);
                break;
            }
            at += HEAD;
            while (at < end) {
                byte[] value = new byte[buffer.getInt(at + 1, ORDER)];
                buffer.getBytes(at + FOLIO_HEAD, value);
                newest.put(bytes[at], value);
                at += FOLIO_HEAD + value.length;
            }
        }
        length = at;
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
        for (int at = from + 1; at < size; at++) {
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

    public byte[] get(byte key) {
        return newest.get(key);
    }

    public boolean isEmpty() {
        return newest.isEmpty();
    }

    /** Writes the records and waits until all of them are safe. After a failure nothing of them counts here. */
    public void put(List<Folio> folios) throws IOException {
        Map<Byte, byte[]> next = new TreeMap<>(newest);
        for (Folio folio : folios) {
            next.put(folio.key(), folio.value());
        }
        if (uncertainTail) {
            vault.truncate(name, length);
            uncertainTail = false;
        }
        byte[] bytes = encode(folios, length == 0);
        if (length + bytes.length > rewriteOver) {
            List<Folio> all = new ArrayList<>();
            next.forEach((k, v) -> all.add(new Folio(k, v)));
            byte[] whole = encode(all, true);
            if (whole.length <= length) {
                vault.replace(name, whole);
                length = whole.length;
                newest.putAll(next);
                return;
            }
        }
        uncertainTail = true;
        vault.append(name, length, bytes);
        uncertainTail = false;
        length += bytes.length;
        newest.putAll(next);
    }

    /** Starts over with an empty file. */
    public void clear() throws IOException {
        vault.truncate(name, 0);
        newest.clear();
        length = 0;
        uncertainTail = false;
    }

    public long length() {
        return length;
    }

    private static byte[] encode(List<Folio> folios, boolean withTitle) {
        ExpandableArrayBuffer out = new ExpandableArrayBuffer(256);
        int at = 0;
        if (withTitle) {
            out.putBytes(0, TITLE);
            at = TITLE.length;
        }
        int record = at;
        at += HEAD;
        for (Folio folio : folios) {
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
