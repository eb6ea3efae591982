package org.umbermount.control;

import java.util.List;
import org.umbermount.kernel.DaemonAddress;
import org.umbermount.kernel.MessagePackCodec;
import org.umbermount.kernel.Safeguard;

/**
 * A view: its number, who votes on the next one, the chain from head to tail, and the mark from which the
 * operation records go on.
 */
public record View(long number, List<Voter> electorate, List<DaemonAddress> chain, OperationLogPosition base) {
    public static final View NONE = new View(0, List.of(), List.of());

    /** A view without operation records from an earlier one. */
    public View(long number, List<Voter> electorate, List<DaemonAddress> chain) {
        this(number, electorate, chain, OperationLogPosition.NONE);
    }

    /** Copies the lists, so that a view never changes. */
    public View {
        electorate = List.copyOf(electorate);
        chain = List.copyOf(chain);
    }

    /** How many voters are more than half of them. */
    public int majority() {
        return electorate.size() / 2 + 1;
    }

    /** How many members a chain needs: a majority, and one more than may be lost together. */
    public int leastChain(int tolerated) {
        return Math.max(majority(), tolerated + 1);
    }

    /** The part of the chain that keeps operation records: as many members as a chain needs. */
    public List<DaemonAddress> line(int tolerated) {
        return chain.subList(0, Math.min(chain.size(), leastChain(tolerated)));
    }

    /** The same view, from whose operation log position the records go on. */
    public View withBase(OperationLogPosition mark) {
        return new View(number, electorate, chain, mark);
    }

    /** How many other voters a voter without memory has to read. */
    public int recoveryReads() {
        return Safeguard.RECOVERY_MEETS_MAJORITIES.holds() ? electorate.size() - majority() + 1 : 1;
    }

    /** The voter at an address, or null if none votes there. */
    public Voter fellow(DaemonAddress daemonAddress) {
        for (Voter f : electorate) {
            if (f.daemonAddress().equals(daemonAddress)) {
                return f;
            }
        }
        return null;
    }

    /** Whether the daemon at this address votes on the next view. */
    public boolean votes(DaemonAddress daemonAddress) {
        return fellow(daemonAddress) != null;
    }

    /** The member of the chain that takes writes first; null if the chain is empty. */
    public DaemonAddress head() {
        return chain.isEmpty() ? null : chain.get(0);
    }

    /** The member of the chain that commits writes and serves reads; null if the chain is empty. */
    public DaemonAddress tail() {
        return chain.isEmpty() ? null : chain.get(chain.size() - 1);
    }

    /** Whether the daemon at this address is a member of the chain. */
    public boolean chains(DaemonAddress daemonAddress) {
        return chain.contains(daemonAddress);
    }

    /** The next member towards the tail; null after the tail and for daemons outside the chain. */
    public DaemonAddress successor(DaemonAddress daemonAddress) {
        int at = chain.indexOf(daemonAddress);
        return at < 0 || at + 1 >= chain.size() ? null : chain.get(at + 1);
    }

    /** Whether the other has the same voters and chain. */
    public boolean sameMembers(View other) {
        return electorate.equals(other.electorate) && chain.equals(other.chain);
    }

    void write(MessagePackCodec.Writer out) {
        out.num(number).list(electorate, (o, f) -> f.write(o)).list(chain, MessagePackCodec.Writer::daemonAddress);
        base.write(out);
    }

    static View read(MessagePackCodec.Reader in) throws MessagePackCodec.UnreadableException {
        View view = new View(
                in.num(),
                in.list(Voter::read),
                in.list(MessagePackCodec.Reader::daemonAddress),
                OperationLogPosition.read(in));
        for (DaemonAddress member : view.chain) {
            if (!view.votes(member)) {
                throw new MessagePackCodec.UnreadableException("a view with a chain member that has no vote", null);
            }
        }
        return view;
    }

    @Override
    public String toString() {
        return "view " + number + " electorate "
                + electorate.stream().map(f -> f.daemonAddress().toString()).toList() + " chain " + chain;
    }
}
