package org.umbermount.idempotency;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/** A tenant's operation key, as a digest: of any length outside, of one length inside, and never a secret in a file. */
public record OperationKey(long high, long low) {
    @Override
    public boolean equals(Object o) {
        return o instanceof OperationKey other && high == other.high && low == other.low;
    }

    @Override
    public int hashCode() {
        return Long.hashCode(low);
    }

    public static OperationKey of(String tenant, String key) {
        try {
            MessageDigest sha = MessageDigest.getInstance("SHA-256");
            sha.update(tenant.getBytes(StandardCharsets.UTF_8));
            sha.update((byte) 0);
            ByteBuffer digest = ByteBuffer.wrap(sha.digest(key.getBytes(StandardCharsets.ISO_8859_1)));
            return new OperationKey(digest.getLong(), digest.getLong());
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }
}
