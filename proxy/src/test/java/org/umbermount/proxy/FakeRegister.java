package org.umbermount.proxy;

import java.util.HashMap;
import java.util.Map;
import org.umbermount.kernel.MessagePackCodec;

/** Keeps operation records as a controller would, in memory. */
final class FakeRegister {
    private static final int CLAIM = 0;
    private static final int REPLY = 2;
    private static final int GRANTED = 0;
    private static final int ANSWERED = 1;
    private static final int BUSY = 2;
    private static final int UNKNOWN = 3;
    private static final int STORED = 4;
    private static final int RELEASE = 2;

    private record Kept(int how, long serial, byte[] answer) {}

    volatile boolean granting = true;
    private final Map<Long, Kept> kept = new HashMap<>();

    synchronized byte[] answer(MessagePackCodec.Reader in) {
        try {
            boolean claim = in.num() == CLAIM;
            long serial = in.num();
            long key = in.num() ^ in.num();
            if (claim) {
                if (!granting) {
                    return null;
                }
                Kept k = kept.putIfAbsent(key, new Kept(BUSY, serial, new byte[0]));
                boolean granted = k == null || k.how == BUSY && k.serial == serial;
                return reply(serial, granted ? GRANTED : k.how, k == null ? new byte[0] : k.answer);
            }
            int how = (int) in.num();
            byte[] answer = in.bytes();
            Kept standing = kept.get(key);
            if (standing != null && standing.serial != serial) {
                // As a controller does: only the try that holds an operation says how it ended.
                return reply(serial, STORED, new byte[0]);
            }
            if (how == RELEASE) {
                kept.remove(key);
            } else {
                kept.put(key, new Kept(how == 1 ? ANSWERED : UNKNOWN, serial, answer));
            }
            return reply(serial, STORED, new byte[0]);
        } catch (MessagePackCodec.UnreadableException e) {
            throw new AssertionError(e);
        }
    }

    private static byte[] reply(long serial, int word, byte[] payload) {
        return MessagePackCodec.write()
                .num(REPLY)
                .num(serial)
                .num(word)
                .bytes(payload)
                .done();
    }
}
