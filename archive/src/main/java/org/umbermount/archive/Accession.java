package org.umbermount.archive;

import java.util.Arrays;
import java.util.List;
import org.umbermount.kernel.Edition;
import org.umbermount.kernel.Safeguard;
import org.umbermount.kernel.Script;

/**
 * The configuration store's whole state: the newest configuration, the view it belongs to, and which
 * orders were taken up to it.
 */
public record Accession(long view, Edition edition, byte[] blob, TakenOrders taken) {
    public static final Accession NONE = new Accession(0, Edition.NONE, new byte[0], TakenOrders.NONE);
    /** What a state begins with; one that was written before there were formats begins with its view, which is not negative. */
    private static final long FORMAT = -2;

    /** The state after taking one more configuration that was sent whole. */
    public Accession take(Edition next, byte[] nextBlob) {
        return take(next, nextBlob, Digest.ofCall("PUT", nextBlob));
    }

    /** The state after taking one more configuration; the digest is that of the call, by which its repeats are known. */
    public Accession take(Edition next, byte[] nextBlob, Digest call) {
        return new Accession(view, next, nextBlob, taken.with(new TakenOrders.Taken(next, call)));
    }

    public Accession inView(long other) {
        return new Accession(other, edition, blob, taken);
    }

    public boolean isNewerThan(Accession other) {
        return view != other.view ? view > other.view : edition.isAfter(other.edition);
    }

    /** Whether the other holds the same configuration, brought by the same call. */
    public boolean isSameAs(Edition other, Digest call) {
        return edition.equals(other) && taken.newestDigest().equals(call);
    }

    /** Whether both hold the same configuration, in whatever views. The number alone does not say so. */
    public boolean isSameAs(Accession other) {
        return edition.equals(other.edition) && (!Safeguard.COMMITTED_BY_CONTENT.holds()
                || taken.newestDigest().equals(other.taken.newestDigest()) && Arrays.equals(blob, other.blob));
    }

    void write(Script.Writer out) {
        out.num(FORMAT).num(view).num(edition.value()).bytes(blob);
        taken.write(out);
    }

    static Accession read(Script.Reader in) throws Script.UnreadableException {
        long first = in.num();
        if (first >= 0) {
            return readOlder(first, in);
        }
        if (first != FORMAT) {
            throw new Script.UnreadableException("a state of an unknown format", null);
        }
        Accession read = new Accession(in.num(), new Edition(in.num()), in.bytes(), TakenOrders.read(in));
        if (!read.taken.newest().equals(read.edition)) {
            throw new Script.UnreadableException("a state whose newest order is another one", null);
        }
        return read;
    }

    /** Its short hashes tell nothing for sure: all that it took is below the floor. */
    private static Accession readOlder(long view, Script.Reader in) throws Script.UnreadableException {
        Edition edition = new Edition(in.num());
        byte[] blob = in.bytes();
        in.list(entry -> new long[] {entry.num(), entry.num()});
        return new Accession(view, edition, blob, new TakenOrders(edition, List.of()));
    }
}
