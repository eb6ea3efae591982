package org.umbermount.control;

import java.util.Collection;
import java.util.List;
import org.umbermount.kernel.Clock;
import org.umbermount.kernel.ConfigurationRevision;
import org.umbermount.kernel.DaemonAddress;
import org.umbermount.kernel.MessagePackCodec;
import org.umbermount.kernel.Messenger;

/**
 * The messages of the chain on the wire. Invariant: a message is read whole before anything acts on it, and this class
 * decides nothing.
 */
final class ChainMessages {
    /** The order is part of the format. */
    private enum Kind {
        SUBMIT,
        VERDICT,
        WRITE,
        COMMITTED,
        READ,
        READING,
        CONFIRM,
        CONFIRMED,
        ATTEST,
        ATTESTED,
        INCREMENT,
        STATE_WANTED
    }

    /** Acts on what has been received. */
    interface Handler {
        void submit(ChainReplica.Submission submission);

        void verdict(RequestId id, Replica.Verdict verdict);

        void write(DaemonAddress from, ConfigurationState state, List<PendingReply> replies);

        /** A write that only says what is new in the state. */
        void increment(DaemonAddress from, StateIncrement increment, List<PendingReply> replies);

        /** The member after lacks the state that an increment builds on. */
        void stateWanted(DaemonAddress from, long view);

        void committed(DaemonAddress tail, long view, ConfigurationRevision edition, Digest digest);

        /** A read of the committed state, or of its edition alone if it is brief. */
        void read(DaemonAddress origin, RequestId id, boolean brief);

        void reading(RequestId id, ConfigurationState committed);

        void attested(RequestId id, ConfigurationRevision newest);

        void confirm(DaemonAddress from, long nonce, long view);

        void confirmed(DaemonAddress from, long nonce, long incarnation);
    }

    private final Channel channel;
    private Handler handler;

    ChainMessages(Clock clock, Messenger messenger) {
        channel = new Channel(clock, messenger, Messenger.Topic.CHAIN, this::receive);
    }

    void open(Handler to) {
        handler = to;
        channel.open();
    }

    // ---- sending ----

    private static MessagePackCodec.Writer message(Kind kind) {
        return MessagePackCodec.write().num(kind.ordinal());
    }

    private static MessagePackCodec.Writer message(Kind kind, RequestId id) {
        MessagePackCodec.Writer out = message(kind);
        id.write(out);
        return out;
    }

    /** Only the head of that one view may act on it; 0 is any view. */
    void sendSubmission(DaemonAddress to, RequestId id, long onlyIn, Order order, byte[] blob) {
        MessagePackCodec.Writer out = message(Kind.SUBMIT, id).num(onlyIn);
        order.write(out);
        channel.send(to, out.bytes(blob));
    }

    void sendVerdict(DaemonAddress to, RequestId id, Replica.Verdict verdict) {
        channel.send(to, message(Kind.VERDICT, id).num(verdict.ordinal()));
    }

    void sendWrite(DaemonAddress to, ConfigurationState state, Collection<PendingReply> replies) {
        MessagePackCodec.Writer out = message(Kind.WRITE);
        state.write(out);
        out.list(replies, (o, r) -> r.write(o));
        channel.send(to, out);
    }

    void sendIncrement(DaemonAddress to, StateIncrement increment, Collection<PendingReply> replies) {
        MessagePackCodec.Writer out = message(Kind.INCREMENT);
        increment.write(out);
        out.list(replies, (o, r) -> r.write(o));
        channel.send(to, out);
    }

    void sendStateWanted(DaemonAddress to, long view) {
        channel.send(to, message(Kind.STATE_WANTED).num(view));
    }

    void sendCommitted(DaemonAddress to, ConfigurationState state) {
        MessagePackCodec.Writer out =
                message(Kind.COMMITTED).num(state.view()).num(state.edition().value());
        state.taken().newestDigest().write(out);
        channel.send(to, out);
    }

    void sendRead(DaemonAddress to, RequestId id) {
        channel.send(to, message(Kind.READ, id));
    }

    void sendReading(DaemonAddress to, RequestId id, ConfigurationState committed) {
        MessagePackCodec.Writer out = message(Kind.READING, id);
        committed.write(out);
        channel.send(to, out);
    }

    void sendAttest(DaemonAddress to, RequestId id) {
        channel.send(to, message(Kind.ATTEST, id));
    }

    void sendAttested(DaemonAddress to, RequestId id, ConfigurationRevision newest) {
        channel.send(to, message(Kind.ATTESTED, id).num(newest.value()));
    }

    void sendConfirm(DaemonAddress to, long nonce, long view) {
        channel.send(to, message(Kind.CONFIRM).num(nonce).num(view));
    }

    void sendConfirmed(DaemonAddress to, long nonce, long incarnation) {
        channel.send(to, message(Kind.CONFIRMED).num(nonce).num(incarnation));
    }

    // ---- receiving ----

    private void receive(DaemonAddress from, byte[] body) throws MessagePackCodec.UnreadableException {
        MessagePackCodec.Reader in = MessagePackCodec.read(body);
        int kind = (int) in.num();
        if (kind < 0 || kind >= Kind.values().length) {
            throw new MessagePackCodec.UnreadableException("an unknown message of the chain", null);
        }
        switch (Kind.values()[kind]) {
            case SUBMIT -> handler.submit(
                    new ChainReplica.Submission(from, RequestId.read(in), in.num(), Order.read(in), in.bytes()));
            case VERDICT -> handler.verdict(RequestId.read(in), readVerdict(in));
            case WRITE -> handler.write(from, ConfigurationState.read(in), in.list(PendingReply::read));
            case INCREMENT -> handler.increment(from, StateIncrement.read(in), in.list(PendingReply::read));
            case STATE_WANTED -> handler.stateWanted(from, in.num());
            case COMMITTED -> handler.committed(from, in.num(), new ConfigurationRevision(in.num()), Digest.read(in));
            case READ -> handler.read(from, RequestId.read(in), false);
            case ATTEST -> handler.read(from, RequestId.read(in), true);
            case ATTESTED -> handler.attested(RequestId.read(in), new ConfigurationRevision(in.num()));
            case READING -> handler.reading(RequestId.read(in), ConfigurationState.read(in));
            case CONFIRM -> handler.confirm(from, in.num(), in.num());
            case CONFIRMED -> handler.confirmed(from, in.num(), in.num());
            default -> throw new IllegalStateException();
        }
    }

    private static Replica.Verdict readVerdict(MessagePackCodec.Reader in) throws MessagePackCodec.UnreadableException {
        int verdict = (int) in.num();
        if (verdict < 0 || verdict >= Replica.Verdict.values().length) {
            throw new MessagePackCodec.UnreadableException("an unknown verdict", null);
        }
        return Replica.Verdict.values()[verdict];
    }
}
