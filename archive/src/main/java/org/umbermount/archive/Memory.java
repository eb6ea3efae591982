package org.umbermount.archive;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.umbermount.kernel.Imprint;
import org.umbermount.kernel.Script;
import org.umbermount.stacks.Folio;
import org.umbermount.stacks.Stack;

/**
 * What a registrar must not forget. {@code recoveredFor} is the number of the view for which a new
 * incarnation has read enough others; {@code incarnations} is the crash vector.
 */
record Memory(long incarnation, long recoveredFor, View view, ConfigurationState state, Ballot promised,
        Ballot acceptedBallot, Proposal accepted, Map<Imprint, Long> incarnations) {

    private static final byte IDENTITY = 1;
    private static final byte VIEW = 2;
    private static final byte STATE = 3;
    private static final byte ACCEPTOR = 4;
    private static final byte CRASHES = 5;
    private static final byte COMMITTED = 6;
    /**
     * What a state on disk begins with that increments may follow. No state begins with it by itself, so a build that knows
     * of no increments refuses the file, and does not take an older state for the newest.
     */
    private static final long WITH_INCREMENTS = -100;

    static Memory blank(long incarnation) {
        return new Memory(incarnation, 0, View.NONE, ConfigurationState.NONE, Ballot.NONE, Ballot.NONE, null, Map.of());
    }

    /** The view is in force and its voter slate for the next view is clean. */
    Memory adopt(View next, ConfigurationState base) {
        return new Memory(incarnation, recoveredFor, next, base, Ballot.NONE, Ballot.NONE, null, incarnations);
    }

    Memory withState(ConfigurationState next) {
        return new Memory(incarnation, recoveredFor, view, next, promised, acceptedBallot, accepted, incarnations);
    }

    Memory promise(Ballot ballot) {
        return new Memory(incarnation, recoveredFor, view, state, ballot, acceptedBallot, accepted, incarnations);
    }

    Memory accept(Ballot ballot, Proposal proposal) {
        return new Memory(incarnation, recoveredFor, view, state, ballot, ballot, proposal, incarnations);
    }

    Memory recovered(long forView) {
        return new Memory(incarnation, forView, view, state, promised, acceptedBallot, accepted, incarnations);
    }

    Memory withAcceptor(Ballot p, Ballot ab, Proposal a) {
        return new Memory(incarnation, recoveredFor, view, state, p, ab, a, incarnations);
    }

    Memory withIncarnation(Imprint who, long which) {
        Map<Imprint, Long> next = new HashMap<>(incarnations);
        next.merge(who, which, Math::max);
        return new Memory(incarnation, recoveredFor, view, state, promised, acceptedBallot, accepted, Map.copyOf(next));
    }

    Memory withIncarnations(Map<Imprint, Long> more) {
        Memory next = this;
        for (Map.Entry<Imprint, Long> e : more.entrySet()) {
            next = next.withIncarnation(e.getKey(), e.getValue());
        }
        return next;
    }

    /** The newest incarnation known of a daemon. */
    long incarnationOf(Imprint who) {
        long known = incarnations.getOrDefault(who, 0L);
        Voter fellow = view.fellow(who);
        return fellow == null ? known : Math.max(known, fellow.incarnation());
    }

    boolean frozen() {
        return !promised.isNone();
    }

    /**
     * The folios that differ from an older memory.
     *
     * @param increment the change of the state, or null to write the state whole if it has changed
     */
    List<Folio> changesSince(Memory old, StateIncrement increment) {
        List<Folio> out = new ArrayList<>();
        if (old == null || old.incarnation != incarnation || old.recoveredFor != recoveredFor) {
            out.add(new Folio(IDENTITY, Script.write().num(incarnation).num(recoveredFor).done()));
        }
        if (old == null || old.view != view) {
            Script.Writer w = Script.write();
            view.write(w);
            out.add(new Folio(VIEW, w.done()));
        }
        if (increment != null) {
            out.add(Folio.addition(STATE, increment.encoded()));
        } else if (old == null || old.state != state) {
            Script.Writer w = Script.write().num(WITH_INCREMENTS);
            state.write(w);
            out.add(new Folio(STATE, w.done()));
        }
        if (old == null || !old.promised.equals(promised) || old.accepted != accepted
                || !old.acceptedBallot.equals(acceptedBallot)) {
            Script.Writer w = Script.write();
            promised.write(w);
            writeAccepted(w);
            out.add(new Folio(ACCEPTOR, w.done()));
        }
        if (old == null || !old.incarnations.equals(incarnations)) {
            Script.Writer w = Script.write();
            writeIncarnations(w);
            out.add(new Folio(CRASHES, w.done()));
        }
        return out;
    }

    void writeAccepted(Script.Writer w) {
        acceptedBallot.write(w);
        w.flag(accepted != null);
        if (accepted != null) {
            accepted.write(w);
        }
    }

    void writeIncarnations(Script.Writer w) {
        w.list(incarnations.entrySet(), (o, e) -> o.imprint(e.getKey()).num(e.getValue()));
    }

    static Map<Imprint, Long> readIncarnations(Script.Reader in) throws Script.UnreadableException {
        Map<Imprint, Long> out = new HashMap<>();
        for (Voter f : in.list(Voter::read)) {
            out.put(f.imprint(), f.incarnation());
        }
        return Map.copyOf(out);
    }

    /** A note beside the memory that an edition is known to be committed. */
    static Folio committedNote(ConfigurationState state) {
        Script.Writer out = Script.write().num(state.edition().value());
        Digest.of(state.blob()).write(out);
        return new Folio(COMMITTED, out.done());
    }

    /** Whether the stack's note says that the state in this memory is committed. */
    boolean isNotedCommitted(Stack stack) throws Stack.DamagedException {
        return stack.get(COMMITTED) != null && stack.read(COMMITTED,
                in -> in.num() == state.edition().value() && Digest.read(in).equals(Digest.of(state.blob())));
    }

    /** The state that was written whole last, with what was added to it since. */
    private static ConfigurationState readState(Script.Reader in, Stack stack) throws Script.UnreadableException {
        if (in.num() != WITH_INCREMENTS) {
            // Written by a build that knew of none.
            in = Script.read(stack.get(STATE));
        }
        ConfigurationState state = ConfigurationState.read(in);
        StateIncrements increments = new StateIncrements();
        for (byte[] addition : stack.additions(STATE)) {
            state = increments.apply(StateIncrement.read(Script.read(addition)), state);
            if (state == null) {
                throw new Script.UnreadableException("an increment of another state", null);
            }
        }
        return state;
    }

    /** Reads the memory from a stack; null if there is none. */
    static Memory load(Stack stack) throws Stack.DamagedException {
        if (stack.get(IDENTITY) == null) {
            return null;
        }
        Memory identity = stack.read(IDENTITY, in -> blank(in.num()).recovered(in.num()));
        View view = stack.read(VIEW, View::read);
        ConfigurationState state = stack.read(STATE, in -> readState(in, stack));
        Map<Imprint, Long> incarnations = stack.read(CRASHES, Memory::readIncarnations);
        return stack.read(ACCEPTOR, in -> new Memory(identity.incarnation, identity.recoveredFor, view, state,
                Ballot.read(in), Ballot.read(in), in.flag() ? Proposal.read(in) : null, incarnations));
    }
}
