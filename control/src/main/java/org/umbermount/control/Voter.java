package org.umbermount.control;

import org.umbermount.kernel.DaemonAddress;
import org.umbermount.kernel.MessagePackCodec;

/** A voter: where it is, and which incarnation of its memory is meant. */
public record Voter(DaemonAddress imprint, long incarnation) {
    @Override
    public boolean equals(Object o) {
        return o instanceof Voter other && incarnation == other.incarnation && imprint.equals(other.imprint);
    }

    @Override
    public int hashCode() {
        return imprint.hashCode() * 31 + Long.hashCode(incarnation);
    }

    void write(MessagePackCodec.Writer out) {
        out.imprint(imprint).num(incarnation);
    }

    static Voter read(MessagePackCodec.ClientConnection in) throws MessagePackCodec.UnreadableException {
        return new Voter(in.imprint(), in.num());
    }
}
