package org.umbermount.control;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import org.umbermount.kernel.MessagePackCodec;

/** The first 128 bits of a SHA-256: nobody finds two calls that share it. */
public record Digest(long high, long low) {
    /** Of what is not known: no call has it. */
    public static final Digest NONE = new Digest(0, 0);

    /** The digest of stored bytes; calls have {@link #ofCall}. */
    public static Digest of(byte[] bytes) {
        return of(new byte[0], bytes);
    }

    /** Of a call: the same bytes mean one thing in a PUT and another in a PATCH. */
    public static Digest ofCall(String method, byte[] body) {
        return of((method + " ").getBytes(StandardCharsets.US_ASCII), body);
    }

    private static Digest of(byte[] before, byte[] bytes) {
        try {
            MessageDigest sha = MessageDigest.getInstance("SHA-256");
            sha.update(before);
            ByteBuffer digest = ByteBuffer.wrap(sha.digest(bytes));
            return new Digest(digest.getLong(), digest.getLong());
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }

    void write(MessagePackCodec.Writer out) {
        out.num(high).num(low);
    }

    static Digest read(MessagePackCodec.Reader in) throws MessagePackCodec.UnreadableException {
        return new Digest(in.num(), in.num());
    }

    @Override
    public String toString() {
        return String.format("%016x%016x", high, low);
    }
}
