package org.umbermount.control;

import java.util.Arrays;
import java.util.List;
import org.umbermount.kernel.ConfigurationRevision;
import org.umbermount.kernel.MessagePackCodec;
import org.umbermount.kernel.Safeguard;

/**
 * The configuration store's whole state: the newest configuration, the view it belongs to, and which
 * orders were taken up to it.
 */
public record ConfigurationState(long view, ConfigurationRevision edition, byte[] blob, TakenOrders taken) {
    public static final ConfigurationState NONE =
            new ConfigurationState(0, ConfigurationRevision.NONE, new byte[0], TakenOrders.NONE);
    /** What a state begins with; one that was written before there were formats begins with its view, which is not negative. */
    private static final long FORMAT = -2;

    /** The state after taking one more configuration that was sent whole. */
    public ConfigurationState take(ConfigurationRevision next, byte[] nextBlob) {
        return take(next, nextBlob, Digest.ofCall("PUT", nextBlob));
    }

    /** The state after taking one more configuration; the digest is that of the call, by which its repeats are known. */
    public ConfigurationState take(ConfigurationRevision next, byte[] nextBlob, Digest call) {
        return new ConfigurationState(view, next, nextBlob, taken.with(new TakenOrders.Taken(next, call)));
    }

    /** The same configuration and orders as the state of another view. */
    public ConfigurationState inView(long other) {
        return new ConfigurationState(other, edition, blob, taken);
    }

    /** Whether this state replaces the other one: by view first, then by revision. */
    public boolean isNewerThan(ConfigurationState other) {
        return view != other.view ? view > other.view : edition.isAfter(other.edition);
    }

    /** Whether the other holds the same configuration, brought by the same call. */
    public boolean isSameAs(ConfigurationRevision other, Digest call) {
        return edition.equals(other) && taken.newestDigest().equals(call);
    }

    /** Whether both hold the same configuration, in whatever views. The number alone does not say so. */
    public boolean isSameAs(ConfigurationState other) {
        return edition.equals(other.edition)
                && (!Safeguard.COMMITTED_BY_CONTENT.holds()
                        || taken.newestDigest().equals(other.taken.newestDigest()) && Arrays.equals(blob, other.blob));
    }

    void write(MessagePackCodec.Writer out) {
        out.num(FORMAT).num(view).num(edition.value()).bytes(blob);
        taken.write(out);
    }

    static ConfigurationState read(MessagePackCodec.Reader in) throws MessagePackCodec.UnreadableException {
        long first = in.num();
        if (first >= 0) {
            return readOlder(first, in);
        }
        if (first != FORMAT) {
            throw new MessagePackCodec.UnreadableException("a state of an unknown format", null);
        }
        ConfigurationState read =
                new ConfigurationState(in.num(), new ConfigurationRevision(in.num()), in.bytes(), TakenOrders.read(in));
        if (!read.taken.newest().equals(read.edition)) {
            throw new MessagePackCodec.UnreadableException("a state whose newest order is another one", null);
        }
        return read;
    }

    /** Its short hashes tell nothing for sure: all that it took is below the floor. */
    private static ConfigurationState readOlder(long view, MessagePackCodec.Reader in)
            throws MessagePackCodec.UnreadableException {
        ConfigurationRevision edition = new ConfigurationRevision(in.num());
        byte[] blob = in.bytes();
        in.list(entry -> new long[] {entry.num(), entry.num()});
        return new ConfigurationState(view, edition, blob, new TakenOrders(edition, List.of()));
    }
}
