package org.umbermount.control;

import org.umbermount.kernel.DaemonAddress;
import org.umbermount.kernel.MessagePackCodec;

/** The rank of a proposal: a round, and the proposer to tell equal rounds apart. */
public record Ballot(long round, DaemonAddress proposer) implements Comparable<Ballot> {
    public static final Ballot NONE = new Ballot(0, DaemonAddress.NONE);

    @Override
    public int compareTo(Ballot other) {
        return round != other.round ? Long.compare(round, other.round) : proposer.compareTo(other.proposer);
    }

    public boolean isNone() {
        return round == 0;
    }

    void write(MessagePackCodec.Writer out) {
        out.num(round).daemonAddress(proposer);
    }

    static Ballot read(MessagePackCodec.Reader in) throws MessagePackCodec.UnreadableException {
        return new Ballot(in.num(), in.daemonAddress());
    }
}
