package org.umbermount.idempotency;

import java.nio.ByteBuffer;
import org.umbermount.kernel.DaemonAddress;
import org.umbermount.kernel.MessagePackCodec;
import org.umbermount.kernel.MonotonicTime;

/**
 * One entry of the operation records, as it travels and lies on disk: kind (1 byte), view (8), position (8), key
 * (16), the proxy that the try is at (8), the try's number there (8), and what was answered.
 */
final class OperationRecord {
    enum Kind {
        /** A try takes the operation. */
        CLAIM,
        /** The operation has run and was answered. */
        ANSWER,
        /** The try will never run. */
        RELEASE,
        /** The try has ended and nobody knows whether it ran. */
        END,
        /** On disk only: the daemon has taken part in a view. */
        ENTER,
        /** On disk only: what lies behind a position does not count. */
        CUT
    }

    static final int HEAD = 49;

    final Kind kind;
    final long view;
    final long pos;
    final OperationKey key;
    final DaemonAddress origin;
    final long serial;
    final byte[] raw;
    /** The segment on disk; 0 until it is written. */
    int segment;

    MonotonicTime since = MonotonicTime.NEVER;

    private OperationRecord(
            Kind kind, long view, long pos, OperationKey key, DaemonAddress origin, long serial, byte[] raw) {
        this.kind = kind;
        this.view = view;
        this.pos = pos;
        this.key = key;
        this.origin = origin;
        this.serial = serial;
        this.raw = raw;
    }

    static OperationRecord of(
            Kind kind, long view, long pos, OperationKey key, DaemonAddress origin, long serial, byte[] payload) {
        byte[] raw = ByteBuffer.allocate(HEAD + payload.length)
                .put((byte) kind.ordinal())
                .putLong(view)
                .putLong(pos)
                .putLong(key.high())
                .putLong(key.low())
                .putLong(origin.packed())
                .putLong(serial)
                .put(payload)
                .array();
        return new OperationRecord(kind, view, pos, key, origin, serial, raw);
    }

    static OperationRecord marker(Kind kind, long view, long pos) {
        return of(kind, view, pos, new OperationKey(0, 0), DaemonAddress.NONE, 0, new byte[0]);
    }

    static OperationRecord read(byte[] raw) throws MessagePackCodec.UnreadableException {
        if (raw.length < HEAD || raw[0] < 0 || raw[0] >= Kind.values().length) {
            throw new MessagePackCodec.UnreadableException("an unknown operation record", null);
        }
        ByteBuffer in = ByteBuffer.wrap(raw);
        Kind kind = Kind.values()[in.get()];
        return new OperationRecord(
                kind,
                in.getLong(),
                in.getLong(),
                new OperationKey(in.getLong(), in.getLong()),
                DaemonAddress.unpack(in.getLong()),
                in.getLong(),
                raw);
    }

    /** The entry without what was answered, for members that only have to know that it was. */
    byte[] thin() {
        return kind == Kind.ANSWER && raw.length > HEAD ? java.util.Arrays.copyOf(raw, HEAD) : raw;
    }

    /** An answer of which only the fact is kept here. */
    boolean isThin() {
        return kind == Kind.ANSWER && raw.length == HEAD;
    }

    byte[] payload() {
        byte[] out = new byte[raw.length - HEAD];
        System.arraycopy(raw, HEAD, out, 0, out.length);
        return out;
    }

    boolean sameTry(DaemonAddress who, long number) {
        return serial == number && origin.equals(who);
    }
}
