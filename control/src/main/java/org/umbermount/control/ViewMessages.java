package org.umbermount.control;

import java.util.Map;
import org.umbermount.kernel.Clock;
import org.umbermount.kernel.Imprint;
import org.umbermount.kernel.Postbag;
import org.umbermount.kernel.Script;

/**
 * The messages about views on the wire. Invariant: a message is read whole before anything acts on it, and this class
 * decides nothing.
 */
final class ViewMessages {
    /** The order is part of the format. */
    private enum Kind {
        PREPARE, PROMISE, ACCEPT, ACCEPTED, REFUSAL, NEWS, FETCH, RECOVER, RECOVERED
    }

    /** Acts on what has been received. */
    interface Handler {
        void prepare(Imprint from, long view, Ballot ballot);

        void promise(long view, Ballot ballot, Replica.Promise promise, Map<Imprint, Long> incarnations);

        void accept(Imprint from, long view, Ballot ballot, Proposal proposal);

        void accepted(long view, Ballot ballot, Voter voter, Map<Imprint, Long> incarnations);

        void refusal(long view, Ballot higher);

        /** A view, its sender's newest state, and the newest state that the sender knows to be committed. */
        void news(View view, ConfigurationState state, boolean isCommitted, ConfigurationState committed);

        void fetch(Imprint from);

        void recover(Imprint from, long incarnation);

        void recovered(Imprint from, long incarnation, Recovery.Reply reply);
    }

    private final Channel channel;
    private Handler handler;

    ViewMessages(Clock clock, Postbag post) {
        channel = new Channel(clock, post, Postbag.Topic.VIEW, this::receive);
    }

    void open(Handler to) {
        handler = to;
        channel.open();
    }

    // ---- sending ----

    private static Script.Writer message(Kind kind) {
        return Script.write().num(kind.ordinal());
    }

    void sendPrepare(Imprint to, long view, Ballot ballot) {
        Script.Writer out = message(Kind.PREPARE).num(view);
        ballot.write(out);
        channel.send(to, out);
    }

    void sendPromise(Imprint to, long view, Ballot ballot, Memory memory, Bookmark mark) {
        Script.Writer out = message(Kind.PROMISE).num(view);
        ballot.write(out);
        out.num(memory.incarnation());
        memory.state().write(out);
        memory.writeAccepted(out);
        memory.writeIncarnations(out);
        mark.write(out);
        channel.send(to, out);
    }

    void sendAccept(Imprint to, long view, Ballot ballot, Proposal proposal) {
        Script.Writer out = message(Kind.ACCEPT).num(view);
        ballot.write(out);
        proposal.write(out);
        channel.send(to, out);
    }

    void sendAccepted(Imprint to, long view, Ballot ballot, Memory memory) {
        Script.Writer out = message(Kind.ACCEPTED).num(view);
        ballot.write(out);
        out.num(memory.incarnation());
        memory.writeIncarnations(out);
        channel.send(to, out);
    }

    void sendRefusal(Imprint to, long view, Ballot promised) {
        Script.Writer out = message(Kind.REFUSAL).num(view);
        promised.write(out);
        channel.send(to, out);
    }

    void sendNews(Imprint to, Memory memory, ConfigurationState committed) {
        Script.Writer out = message(Kind.NEWS);
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

    void sendFetch(Imprint to) {
        channel.send(to, message(Kind.FETCH));
    }

    void sendRecover(Imprint to, long incarnation) {
        channel.send(to, message(Kind.RECOVER).num(incarnation));
    }

    void sendRecovered(Imprint to, long incarnation, Memory memory, Bookmark mark) {
        Script.Writer out = message(Kind.RECOVERED).num(incarnation);
        memory.view().write(out);
        memory.state().write(out);
        memory.promised().write(out);
        memory.writeAccepted(out);
        memory.writeIncarnations(out);
        mark.write(out);
        channel.send(to, out);
    }

    // ---- receiving ----

    private void receive(Imprint from, byte[] body) throws Script.UnreadableException {
        Script.Reader in = Script.read(body);
        int kind = (int) in.num();
        if (kind < 0 || kind >= Kind.values().length) {
            throw new Script.UnreadableException("an unknown message about views", null);
        }
        switch (Kind.values()[kind]) {
            case PREPARE -> handler.prepare(from, in.num(), Ballot.read(in));
            case PROMISE -> readPromise(from, in);
            case ACCEPT -> handler.accept(from, in.num(), Ballot.read(in), Proposal.read(in));
            case ACCEPTED -> handler.accepted(in.num(), Ballot.read(in), new Voter(from, in.num()),
                    Memory.readIncarnations(in));
            case REFUSAL -> handler.refusal(in.num(), Ballot.read(in));
            case NEWS -> readNews(in);
            case FETCH -> handler.fetch(from);
            case RECOVER -> handler.recover(from, in.num());
            case RECOVERED -> handler.recovered(from, in.num(), readReply(in));
            default -> throw new IllegalStateException();
        }
    }

    private void readPromise(Imprint from, Script.Reader in) throws Script.UnreadableException {
        long view = in.num();
        Ballot ballot = Ballot.read(in);
        Voter voter = new Voter(from, in.num());
        ConfigurationState state = ConfigurationState.read(in);
        Ballot acceptedBallot = Ballot.read(in);
        Proposal accepted = in.flag() ? Proposal.read(in) : null;
        Map<Imprint, Long> incarnations = Memory.readIncarnations(in);
        Bookmark mark = Bookmark.read(in);
        handler.promise(view, ballot, new Replica.Promise(voter, state, acceptedBallot, accepted, mark), incarnations);
    }

    private void readNews(Script.Reader in) throws Script.UnreadableException {
        View view = View.read(in);
        ConfigurationState state = ConfigurationState.read(in);
        boolean isCommitted = in.flag();
        handler.news(view, state, isCommitted, isCommitted ? state : ConfigurationState.read(in));
    }

    private static Recovery.Reply readReply(Script.Reader in) throws Script.UnreadableException {
        return new Recovery.Reply(View.read(in), ConfigurationState.read(in), Ballot.read(in), Ballot.read(in),
                in.flag() ? Proposal.read(in) : null, Memory.readIncarnations(in), Bookmark.read(in));
    }
}
