package org.umbermount.control;

import java.util.Map;
import org.umbermount.kernel.Clock;
import org.umbermount.kernel.DaemonAddress;
import org.umbermount.kernel.MessagePackCodec;
import org.umbermount.kernel.Messenger;

/**
 * The messages about views on the wire. Invariant: a message is read whole before anything acts on it, and this class
 * decides nothing.
 */
final class ViewMessages {
    /** The order is part of the format. */
    private enum Kind {
        PREPARE,
        PROMISE,
        ACCEPT,
        ACCEPTED,
        REFUSAL,
        NEWS,
        FETCH,
        RECOVER,
        RECOVERED
    }

    /** Acts on what has been received. */
    interface Handler {
        void prepare(DaemonAddress from, long view, Ballot ballot);

        void promise(long view, Ballot ballot, Replica.Promise promise, Map<DaemonAddress, Long> incarnations);

        void accept(DaemonAddress from, long view, Ballot ballot, Proposal proposal);

        void accepted(long view, Ballot ballot, Voter voter, Map<DaemonAddress, Long> incarnations);

        void refusal(long view, Ballot higher);

        /** A view, its sender's newest state, and the newest state that the sender knows to be committed. */
        void news(View view, ConfigurationState state, boolean isCommitted, ConfigurationState committed);

        void fetch(DaemonAddress from);

        void recover(DaemonAddress from, long incarnation);

        void recovered(DaemonAddress from, long incarnation, Recovery.Reply reply);
    }

    private final Channel channel;
    private Handler handler;

    ViewMessages(Clock clock, Messenger messenger) {
        channel = new Channel(clock, messenger, Messenger.Topic.VIEW, this::receive);
    }

    void open(Handler to) {
        handler = to;
        channel.open();
    }

    // ---- sending ----

    private static MessagePackCodec.Writer message(Kind kind) {
        return MessagePackCodec.write().num(kind.ordinal());
    }

    void sendPrepare(DaemonAddress to, long view, Ballot ballot) {
        MessagePackCodec.Writer out = message(Kind.PREPARE).num(view);
        ballot.write(out);
        channel.send(to, out);
    }

    void sendPromise(DaemonAddress to, long view, Ballot ballot, ReplicaStorage memory, OperationLogPosition mark) {
        MessagePackCodec.Writer out = message(Kind.PROMISE).num(view);
        ballot.write(out);
        out.num(memory.incarnation());
        memory.state().write(out);
        memory.writeAccepted(out);
        memory.writeIncarnations(out);
        mark.write(out);
        channel.send(to, out);
    }

    void sendAccept(DaemonAddress to, long view, Ballot ballot, Proposal proposal) {
        MessagePackCodec.Writer out = message(Kind.ACCEPT).num(view);
        ballot.write(out);
        proposal.write(out);
        channel.send(to, out);
    }

    void sendAccepted(DaemonAddress to, long view, Ballot ballot, ReplicaStorage memory) {
        MessagePackCodec.Writer out = message(Kind.ACCEPTED).num(view);
        ballot.write(out);
        out.num(memory.incarnation());
        memory.writeIncarnations(out);
        channel.send(to, out);
    }

    void sendRefusal(DaemonAddress to, long view, Ballot promised) {
        MessagePackCodec.Writer out = message(Kind.REFUSAL).num(view);
        promised.write(out);
        channel.send(to, out);
    }

    void sendNews(DaemonAddress to, ReplicaStorage memory, ConfigurationState committed) {
        MessagePackCodec.Writer out = message(Kind.NEWS);
        memory.view().write(out);
        // Outside the chain only what is committed may be passed on as such.
        boolean isCommitted = committed.isSameAs(memory.state());
        memory.state().write(out);
        out.flag(isCommitted);
        if (!isCommitted) {
            committed.write(out);
        }
        channel.send(to, out);
    }

    void sendFetch(DaemonAddress to) {
        channel.send(to, message(Kind.FETCH));
    }

    void sendRecover(DaemonAddress to, long incarnation) {
        channel.send(to, message(Kind.RECOVER).num(incarnation));
    }

    void sendRecovered(DaemonAddress to, long incarnation, ReplicaStorage memory, OperationLogPosition mark) {
        MessagePackCodec.Writer out = message(Kind.RECOVERED).num(incarnation);
        memory.view().write(out);
        memory.state().write(out);
        memory.promised().write(out);
        memory.writeAccepted(out);
        memory.writeIncarnations(out);
        mark.write(out);
        channel.send(to, out);
    }

    // ---- receiving ----

    private void receive(DaemonAddress from, byte[] body) throws MessagePackCodec.UnreadableException {
        MessagePackCodec.Reader in = MessagePackCodec.read(body);
        int kind = (int) in.num();
        if (kind < 0 || kind >= Kind.values().length) {
            throw new MessagePackCodec.UnreadableException("an unknown message about views", null);
        }
        switch (Kind.values()[kind]) {
            case PREPARE -> handler.prepare(from, in.num(), Ballot.read(in));
            case PROMISE -> readPromise(from, in);
            case ACCEPT -> handler.accept(from, in.num(), Ballot.read(in), Proposal.read(in));
            case ACCEPTED -> handler.accepted(
                    in.num(), Ballot.read(in), new Voter(from, in.num()), ReplicaStorage.readIncarnations(in));
            case REFUSAL -> handler.refusal(in.num(), Ballot.read(in));
            case NEWS -> readNews(in);
            case FETCH -> handler.fetch(from);
            case RECOVER -> handler.recover(from, in.num());
            case RECOVERED -> handler.recovered(from, in.num(), readReply(in));
            default -> throw new IllegalStateException();
        }
    }

    private void readPromise(DaemonAddress from, MessagePackCodec.Reader in)
            throws MessagePackCodec.UnreadableException {
        long view = in.num();
        Ballot ballot = Ballot.read(in);
        Voter voter = new Voter(from, in.num());
        ConfigurationState state = ConfigurationState.read(in);
        Ballot acceptedBallot = Ballot.read(in);
        Proposal accepted = in.flag() ? Proposal.read(in) : null;
        Map<DaemonAddress, Long> incarnations = ReplicaStorage.readIncarnations(in);
        OperationLogPosition mark = OperationLogPosition.read(in);
        handler.promise(view, ballot, new Replica.Promise(voter, state, acceptedBallot, accepted, mark), incarnations);
    }

    private void readNews(MessagePackCodec.Reader in) throws MessagePackCodec.UnreadableException {
        View view = View.read(in);
        ConfigurationState state = ConfigurationState.read(in);
        boolean isCommitted = in.flag();
        handler.news(view, state, isCommitted, isCommitted ? state : ConfigurationState.read(in));
    }

    private static Recovery.Reply readReply(MessagePackCodec.Reader in) throws MessagePackCodec.UnreadableException {
        return new Recovery.Reply(
                View.read(in),
                ConfigurationState.read(in),
                Ballot.read(in),
                Ballot.read(in),
                in.flag() ? Proposal.read(in) : null,
                ReplicaStorage.readIncarnations(in),
                OperationLogPosition.read(in));
    }
}
