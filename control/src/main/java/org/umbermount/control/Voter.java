package org.umbermount.control;

import org.umbermount.kernel.Imprint;
import org.umbermount.kernel.Script;

/** A voter: where it is, and which incarnation of its memory is meant. */
public record Voter(Imprint imprint, long incarnation) {
    @Override
    public boolean equals(Object o) {
        return o instanceof Voter other && incarnation == other.incarnation && imprint.equals(other.imprint);
    }

    @Override
    public int hashCode() {
        return imprint.hashCode() * 31 + Long.hashCode(incarnation);
    }

    void write(Script.Writer out) {
        out.imprint(imprint).num(incarnation);
    }

    static Voter read(Script.Reader in) throws Script.UnreadableException {
        return new Voter(in.imprint(), in.num());
    }
}
