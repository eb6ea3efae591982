package org.umbermount.archive;

import java.util.Collection;
import java.util.List;
import org.umbermount.kernel.Almanac;
import org.umbermount.kernel.Edition;
import org.umbermount.kernel.Imprint;
import org.umbermount.kernel.Postbag;
import org.umbermount.kernel.Script;

/**
 * The messages of the chain on the wire. Invariant: a message is read whole before anything acts on it, and this class
 * decides nothing.
 */
final class ChainMessages {
    /** The order is part of the format. */
    private enum Kind {
        SUBMIT, VERDICT, WRITE, COMMITTED, READ, READING, CONFIRM, CONFIRMED, ATTEST, ATTESTED
    }

    /** Acts on what has been received. */
    interface Handler {
        void submit(ChainReplica.Submission submission);

        void verdict(long id, Custodian.Verdict verdict);

        void write(Imprint from, Accession state, List<PendingReply> replies);

        void committed(Imprint tail, long view, Edition edition, long hash);

        /** A read of the committed state, or of its edition alone if it is brief. */
        void read(Imprint origin, long id, boolean brief);

        void reading(long id, Accession committed);

        void attested(long id, Edition newest);

        void confirm(Imprint from, long nonce, long view);

        void confirmed(Imprint from, long nonce, long incarnation);
    }

    private final Channel channel;
    private Handler handler;

    ChainMessages(Almanac almanac, Postbag post) {
        channel = new Channel(almanac, post, Postbag.Topic.CUSTODY, this::receive);
    }

    void open(Handler to) {
        handler = to;
        channel.open();
    }

    // ---- sending ----

    private static Script.Writer message(Kind kind) {
        return Script.write().num(kind.ordinal());
    }

    void sendSubmission(Imprint to, long id, Edition match, Edition edition, long hash, byte[] blob) {
        channel.send(to, message(Kind.SUBMIT).num(id).num(match.value()).num(edition.value()).num(hash).bytes(blob));
    }

    void sendVerdict(Imprint to, long id, Custodian.Verdict verdict) {
        channel.send(to, message(Kind.VERDICT).num(id).num(verdict.ordinal()));
    }

    void sendWrite(Imprint to, Accession state, Collection<PendingReply> replies) {
        Script.Writer out = message(Kind.WRITE);
        state.write(out);
        out.list(replies, (o, r) -> r.write(o));
        channel.send(to, out);
    }

    void sendCommitted(Imprint to, Accession state, long hash) {
        channel.send(to, message(Kind.COMMITTED).num(state.view()).num(state.edition().value()).num(hash));
    }

    void sendRead(Imprint to, long id) {
        channel.send(to, message(Kind.READ).num(id));
    }

    void sendReading(Imprint to, long id, Accession committed) {
        Script.Writer out = message(Kind.READING).num(id);
        committed.write(out);
        channel.send(to, out);
    }

    void sendAttest(Imprint to, long id) {
        channel.send(to, message(Kind.ATTEST).num(id));
    }

    void sendAttested(Imprint to, long id, Edition newest) {
        channel.send(to, message(Kind.ATTESTED).num(id).num(newest.value()));
    }

    void sendConfirm(Imprint to, long nonce, long view) {
        channel.send(to, message(Kind.CONFIRM).num(nonce).num(view));
    }

    void sendConfirmed(Imprint to, long nonce, long incarnation) {
        channel.send(to, message(Kind.CONFIRMED).num(nonce).num(incarnation));
    }

    // ---- receiving ----

    private void receive(Imprint from, byte[] body) throws Script.UnreadableException {
        Script.Reader in = Script.read(body);
        int kind = (int) in.num();
        if (kind < 0 || kind >= Kind.values().length) {
            throw new Script.UnreadableException("an unknown message of the chain", null);
        }
        switch (Kind.values()[kind]) {
            case SUBMIT -> handler.submit(new ChainReplica.Submission(from, in.num(), new Edition(in.num()),
                    new Edition(in.num()), in.num(), in.bytes()));
            case VERDICT -> handler.verdict(in.num(), readVerdict(in));
            case WRITE -> handler.write(from, Accession.read(in), in.list(PendingReply::read));
            case COMMITTED -> handler.committed(from, in.num(), new Edition(in.num()), in.num());
            case READ -> handler.read(from, in.num(), false);
            case ATTEST -> handler.read(from, in.num(), true);
            case ATTESTED -> handler.attested(in.num(), new Edition(in.num()));
            case READING -> handler.reading(in.num(), Accession.read(in));
            case CONFIRM -> handler.confirm(from, in.num(), in.num());
            case CONFIRMED -> handler.confirmed(from, in.num(), in.num());
            default -> throw new IllegalStateException();
        }
    }

    private static Custodian.Verdict readVerdict(Script.Reader in) throws Script.UnreadableException {
        int verdict = (int) in.num();
        if (verdict < 0 || verdict >= Custodian.Verdict.values().length) {
            throw new Script.UnreadableException("an unknown verdict", null);
        }
        return Custodian.Verdict.values()[verdict];
    }
}
