package org.umbermount.control;

import org.umbermount.kernel.Imprint;
import org.umbermount.kernel.Script;

/** The rank of a proposal: a round, and the proposer to tell equal rounds apart. */
public record Ballot(long round, Imprint proposer) implements Comparable<Ballot> {
    public static final Ballot NONE = new Ballot(0, Imprint.NONE);

    @Override
    public int compareTo(Ballot other) {
        return round != other.round ? Long.compare(round, other.round) : proposer.compareTo(other.proposer);
    }

    public boolean isNone() {
        return round == 0;
    }

    void write(Script.Writer out) {
        out.num(round).imprint(proposer);
    }

    static Ballot read(Script.Reader in) throws Script.UnreadableException {
        return new Ballot(in.num(), in.imprint());
    }
}
