package org.umbermount.archive;

import java.util.List;
import org.umbermount.kernel.Imprint;
import org.umbermount.kernel.Safeguard;
import org.umbermount.kernel.Script;

/**
 * A view: its number, who votes on the next one, the chain from head to tail, and the mark from which the
 * operation records go on.
 */
public record View(long number, List<Voter> electorate, List<Imprint> chain, Bookmark base) {
    public static final View NONE = new View(0, List.of(), List.of());

    public View(long number, List<Voter> electorate, List<Imprint> chain) {
        this(number, electorate, chain, Bookmark.NONE);
    }

    public View {
        electorate = List.copyOf(electorate);
        chain = List.copyOf(chain);
    }

    public int majority() {
        return electorate.size() / 2 + 1;
    }

    /** How many members a chain needs: a majority, and one more than may be lost together. */
    public int leastChain(int tolerated) {
        return Math.max(majority(), tolerated + 1);
    }

    /** The part of the chain that keeps operation records: as many members as a chain needs. */
    public List<Imprint> line(int tolerated) {
        return chain.subList(0, Math.min(chain.size(), leastChain(tolerated)));
    }

    public View withBase(Bookmark mark) {
        return new View(number, electorate, chain, mark);
    }

    /** How many other voters a voter without memory has to read. */
    public int recoveryReads() {
        return Safeguard.RECOVERY_MEETS_MAJORITIES.holds() ? electorate.size() - majority() + 1 : 1;
    }

    public Voter fellow(Imprint imprint) {
        for (Voter f : electorate) {
            if (f.imprint().equals(imprint)) {
                return f;
            }
        }
        return null;
    }

    public boolean votes(Imprint imprint) {
        return fellow(imprint) != null;
    }

    public Imprint head() {
        return chain.isEmpty() ? null : chain.get(0);
    }

    public Imprint tail() {
        return chain.isEmpty() ? null : chain.get(chain.size() - 1);
    }

    public boolean chains(Imprint imprint) {
        return chain.contains(imprint);
    }

    public Imprint successor(Imprint imprint) {
        int at = chain.indexOf(imprint);
        return at < 0 || at + 1 >= chain.size() ? null : chain.get(at + 1);
    }

    /** Whether the other has the same voters and chain. */
    public boolean sameMembers(View other) {
        return electorate.equals(other.electorate) && chain.equals(other.chain);
    }

    void write(Script.Writer out) {
        out.num(number).list(electorate, (o, f) -> f.write(o)).list(chain, Script.Writer::imprint);
        base.write(out);
    }

    static View read(Script.Reader in) throws Script.UnreadableException {
        View view = new View(in.num(), in.list(Voter::read), in.list(Script.Reader::imprint), Bookmark.read(in));
        for (Imprint member : view.chain) {
            if (!view.votes(member)) {
                throw new Script.UnreadableException("a view with a chain member that has no vote", null);
            }
        }
        return view;
    }

    @Override
    public String toString() {
        return "view " + number + " electorate " + electorate.stream().map(f -> f.imprint().toString()).toList()
                + " chain " + chain;
    }
}
