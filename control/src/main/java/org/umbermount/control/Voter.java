package org.umbermount.control;

import org.umbermount.kernel.DaemonAddress;
import org.umbermount.kernel.MessagePackCodec;

/** A voter: where it is, and which incarnation of its memory is meant. */
public record Voter(DaemonAddress daemonAddress, long incarnation) {
    @Override
    public boolean equals(Object o) {
        return o instanceof Voter other
                && incarnation == other.incarnation
                && daemonAddress.equals(other.daemonAddress);
    }

    @Override
    public int hashCode() {
        return daemonAddress.hashCode() * 31 + Long.hashCode(incarnation);
    }

    void write(MessagePackCodec.Writer out) {
        out.daemonAddress(daemonAddress).num(incarnation);
    }

    static Voter read(MessagePackCodec.Reader in) throws MessagePackCodec.UnreadableException {
        return new Voter(in.daemonAddress(), in.num());
    }
}
