package org.umbermount.control;

import org.umbermount.kernel.DaemonAddress;
import org.umbermount.kernel.InstanceId;
import org.umbermount.kernel.MessagePackCodec;

/**
 * What is known of one life of a server. {@code warmMs} is how long it had left to get warm when it was first heard of;
 * whoever uses that counts on its own steady clock from when it learned of the server.
 */
public record RegisteredServer(
        InstanceId id,
        String upstream,
        String address,
        String zone,
        String revision,
        int capacity,
        long warmMs,
        Standing standing,
        long sequence,
        DaemonAddress keeper) {

    /** Where the server stands. */
    public enum Standing {
        IN_SERVICE,
        DRAINING,
        MISSED,
        SIGNED_OFF;

        public boolean isGone() {
            return this == MISSED || this == SIGNED_OFF;
        }
    }

    RegisteredServer with(Standing next, long nextSequence, DaemonAddress nextKeeper) {
        return new RegisteredServer(
                id, upstream, address, zone, revision, capacity, warmMs, next, nextSequence, nextKeeper);
    }

    private RegisteredServer settled(Standing merged, long warm) {
        return merged == standing && warm == warmMs
                ? this
                : new RegisteredServer(id, upstream, address, zone, revision, capacity, warm, merged, sequence, keeper);
    }

    /**
     * The two reports of one life in one: a sign-off is final, draining never reverts, and for the rest the
     * higher sequence counts.
     */
    RegisteredServer merge(RegisteredServer other) {
        RegisteredServer winner =
                other.sequence > sequence || other.sequence == sequence && other.standing.compareTo(standing) > 0
                        ? other
                        : this;
        Standing merged = winner.standing;
        if (standing == Standing.SIGNED_OFF || other.standing == Standing.SIGNED_OFF) {
            merged = Standing.SIGNED_OFF;
        } else if (merged == Standing.IN_SERVICE
                && (standing == Standing.DRAINING || other.standing == Standing.DRAINING)) {
            merged = Standing.DRAINING;
        }
        return winner.settled(merged, Math.max(warmMs, other.warmMs));
    }

    /** Equal but for the running number of the beat. */
    public boolean sameNews(RegisteredServer other) {
        return upstream.equals(other.upstream)
                && address.equals(other.address)
                && zone.equals(other.zone)
                && revision.equals(other.revision)
                && capacity == other.capacity
                && standing == other.standing
                && keeper.equals(other.keeper);
    }

    long digest() {
        long h = id.value().hashCode() * 0x9E3779B97F4A7C15L
                + standing.ordinal() * 0xC2B2AE3D27D4EB4FL
                + address.hashCode();
        h ^= h >>> 29;
        return h * 0xBF58476D1CE4E5B9L;
    }

    void write(MessagePackCodec.Writer out) {
        out.text(id.value())
                .text(upstream)
                .text(address)
                .text(zone)
                .text(revision)
                .num(capacity)
                .num(warmMs)
                .num(standing.ordinal())
                .num(sequence)
                .daemonAddress(keeper);
    }

    static RegisteredServer read(MessagePackCodec.Reader in) throws MessagePackCodec.UnreadableException {
        InstanceId id = new InstanceId(in.text());
        String upstream = in.text();
        String address = in.text();
        String zone = in.text();
        String revision = in.text();
        int capacity = (int) in.num();
        long warm = in.num();
        long standing = in.num();
        if (standing < 0 || standing >= Standing.values().length) {
            throw new MessagePackCodec.UnreadableException("an unknown standing", null);
        }
        return new RegisteredServer(
                id,
                upstream,
                address,
                zone,
                revision,
                capacity,
                warm,
                Standing.values()[(int) standing],
                in.num(),
                in.daemonAddress());
    }
}
