package org.umbermount.archive;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.List;
import org.umbermount.kernel.Edition;
import org.umbermount.kernel.Script;

/**
 * The configuration store's whole state: the newest configuration, the view it belongs to, and which
 * configurations were taken before it.
 */
public record Accession(long view, Edition edition, byte[] blob, List<Taken> history) {
    public static final Accession NONE = new Accession(0, Edition.NONE, new byte[0], List.of());
    private static final int REMEMBERED = 48;

    /** A configuration that was taken once. */
    public record Taken(Edition edition, long hash) {
        void write(Script.Writer out) {
            out.num(edition.value()).num(hash);
        }

        static Taken read(Script.Reader in) throws Script.UnreadableException {
            return new Taken(new Edition(in.num()), in.num());
        }
    }

    /** The state after taking one more configuration that was sent whole. */
    public Accession take(Edition next, byte[] nextBlob) {
        return take(next, nextBlob, hash(nextBlob));
    }

    /** The state after taking one more configuration; the hash is that of the call, by which its repeats are known. */
    public Accession take(Edition next, byte[] nextBlob, long callHash) {
        List<Taken> taken = new ArrayList<>(history);
        taken.add(new Taken(next, callHash));
        if (taken.size() > REMEMBERED) {
            taken.remove(0);
        }
        return new Accession(view, next, nextBlob, List.copyOf(taken));
    }

    public Accession inView(long other) {
        return new Accession(other, edition, blob, history);
    }

    /** The hash of the call that brought the newest configuration; 0 before the first. */
    public long newestHash() {
        return history.isEmpty() ? 0 : history.get(history.size() - 1).hash();
    }

    /** Whether the configuration of exactly this call was taken. */
    public boolean hasTaken(Edition which, long hash) {
        return history.contains(new Taken(which, hash));
    }

    public boolean isNewerThan(Accession other) {
        return view != other.view ? view > other.view : edition.isAfter(other.edition);
    }

    public static long hash(byte[] bytes) {
        try {
            byte[] digest = MessageDigest.getInstance("SHA-256").digest(bytes);
            return java.nio.ByteBuffer.wrap(digest).getLong();
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }

    void write(Script.Writer out) {
        out.num(view).num(edition.value()).bytes(blob).list(history, (o, t) -> t.write(o));
    }

    static Accession read(Script.Reader in) throws Script.UnreadableException {
        return new Accession(in.num(), new Edition(in.num()), in.bytes(), in.list(Taken::read));
    }
}
