package org.umbermount.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.umbermount.kernel.DaemonAddress;
import org.umbermount.kernel.MessagePackCodec;
import org.umbermount.storage.AppendOnlyFile;
import org.umbermount.storage.LogRecord;

/**
 * What a controller must not forget. {@code recoveredFor} is the number of the view for which a new
 * incarnation has read enough others; {@code incarnations} is the crash vector.
 */
record ReplicaStorage(
        long incarnation,
        long recoveredFor,
        View view,
        ConfigurationState state,
        Ballot promised,
        Ballot acceptedBallot,
        Proposal accepted,
        Map<DaemonAddress, Long> incarnations) {

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

    static ReplicaStorage blank(long incarnation) {
        return new ReplicaStorage(
                incarnation, 0, View.NONE, ConfigurationState.NONE, Ballot.NONE, Ballot.NONE, null, Map.of());
    }

    /** The view is in force and its voter slate for the next view is clean. */
    ReplicaStorage adopt(View next, ConfigurationState base) {
        return new ReplicaStorage(incarnation, recoveredFor, next, base, Ballot.NONE, Ballot.NONE, null, incarnations);
    }

    ReplicaStorage withState(ConfigurationState next) {
        return new ReplicaStorage(
                incarnation, recoveredFor, view, next, promised, acceptedBallot, accepted, incarnations);
    }

    ReplicaStorage promise(Ballot ballot) {
        return new ReplicaStorage(
                incarnation, recoveredFor, view, state, ballot, acceptedBallot, accepted, incarnations);
    }

    ReplicaStorage accept(Ballot ballot, Proposal proposal) {
        return new ReplicaStorage(incarnation, recoveredFor, view, state, ballot, ballot, proposal, incarnations);
    }

    ReplicaStorage recovered(long forView) {
        return new ReplicaStorage(incarnation, forView, view, state, promised, acceptedBallot, accepted, incarnations);
    }

    ReplicaStorage withAcceptor(Ballot p, Ballot ab, Proposal a) {
        return new ReplicaStorage(incarnation, recoveredFor, view, state, p, ab, a, incarnations);
    }

    ReplicaStorage withIncarnation(DaemonAddress who, long which) {
        Map<DaemonAddress, Long> next = new HashMap<>(incarnations);
        next.merge(who, which, Math::max);
        return new ReplicaStorage(
                incarnation, recoveredFor, view, state, promised, acceptedBallot, accepted, Map.copyOf(next));
    }

    ReplicaStorage withIncarnations(Map<DaemonAddress, Long> more) {
        ReplicaStorage next = this;
        for (Map.Entry<DaemonAddress, Long> e : more.entrySet()) {
            next = next.withIncarnation(e.getKey(), e.getValue());
        }
        return next;
    }

    /** The newest incarnation known of a daemon. */
    long incarnationOf(DaemonAddress who) {
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
    List<LogRecord> changesSince(ReplicaStorage old, StateIncrement increment) {
        List<LogRecord> out = new ArrayList<>();
        if (old == null || old.incarnation != incarnation || old.recoveredFor != recoveredFor) {
            out.add(new LogRecord(
                    IDENTITY,
                    MessagePackCodec.write().num(incarnation).num(recoveredFor).done()));
        }
        if (old == null || old.view != view) {
            MessagePackCodec.Writer w = MessagePackCodec.write();
            view.write(w);
            out.add(new LogRecord(VIEW, w.done()));
        }
        if (increment != null) {
            out.add(LogRecord.addition(STATE, increment.encoded()));
        } else if (old == null || old.state != state) {
            MessagePackCodec.Writer w = MessagePackCodec.write().num(WITH_INCREMENTS);
            state.write(w);
            out.add(new LogRecord(STATE, w.done()));
        }
        if (old == null
                || !old.promised.equals(promised)
                || old.accepted != accepted
                || !old.acceptedBallot.equals(acceptedBallot)) {
            MessagePackCodec.Writer w = MessagePackCodec.write();
            promised.write(w);
            writeAccepted(w);
            out.add(new LogRecord(ACCEPTOR, w.done()));
        }
        if (old == null || !old.incarnations.equals(incarnations)) {
            MessagePackCodec.Writer w = MessagePackCodec.write();
            writeIncarnations(w);
            out.add(new LogRecord(CRASHES, w.done()));
        }
        return out;
    }

    void writeAccepted(MessagePackCodec.Writer w) {
        acceptedBallot.write(w);
        w.flag(accepted != null);
        if (accepted != null) {
            accepted.write(w);
        }
    }

    void writeIncarnations(MessagePackCodec.Writer w) {
        w.list(incarnations.entrySet(), (o, e) -> o.daemonAddress(e.getKey()).num(e.getValue()));
    }

    static Map<DaemonAddress, Long> readIncarnations(MessagePackCodec.Reader in)
            throws MessagePackCodec.UnreadableException {
        Map<DaemonAddress, Long> out = new HashMap<>();
        for (Voter f : in.list(Voter::read)) {
            out.put(f.daemonAddress(), f.incarnation());
        }
        return Map.copyOf(out);
    }

    /** A note beside the memory that an edition is known to be committed. */
    static LogRecord committedNote(ConfigurationState state) {
        MessagePackCodec.Writer out =
                MessagePackCodec.write().num(state.edition().value());
        Digest.of(state.blob()).write(out);
        return new LogRecord(COMMITTED, out.done());
    }

    /** Whether the stack's note says that the state in this memory is committed. */
    boolean isNotedCommitted(AppendOnlyFile stack) throws AppendOnlyFile.DamagedException {
        return stack.get(COMMITTED) != null
                && stack.read(
                        COMMITTED,
                        in -> in.num() == state.edition().value()
                                && Digest.read(in).equals(Digest.of(state.blob())));
    }

    /** The state that was written whole last, with what was added to it since. */
    private static ConfigurationState readState(MessagePackCodec.Reader in, AppendOnlyFile stack)
            throws MessagePackCodec.UnreadableException {
        if (in.num() != WITH_INCREMENTS) {
            // Written by a build that knew of none.
            in = MessagePackCodec.read(stack.get(STATE));
        }
        ConfigurationState state = ConfigurationState.read(in);
        StateIncrements increments = new StateIncrements();
        for (byte[] addition : stack.additions(STATE)) {
            state = increments.apply(StateIncrement.read(MessagePackCodec.read(addition)), state);
            if (state == null) {
                throw new MessagePackCodec.UnreadableException("an increment of another state", null);
            }
        }
        return state;
    }

    /** Reads the memory from a stack; null if there is none. */
    static ReplicaStorage load(AppendOnlyFile stack) throws AppendOnlyFile.DamagedException {
        if (stack.get(IDENTITY) == null) {
            return null;
        }
        ReplicaStorage identity = stack.read(IDENTITY, in -> blank(in.num()).recovered(in.num()));
        View view = stack.read(VIEW, View::read);
        ConfigurationState state = stack.read(STATE, in -> readState(in, stack));
        Map<DaemonAddress, Long> incarnations = stack.read(CRASHES, ReplicaStorage::readIncarnations);
        return stack.read(
                ACCEPTOR,
                in -> new ReplicaStorage(
                        identity.incarnation,
                        identity.recoveredFor,
                        view,
                        state,
                        Ballot.read(in),
                        Ballot.read(in),
                        in.flag() ? Proposal.read(in) : null,
                        incarnations));
    }
}
