package org.umbermount.archive;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.umbermount.kernel.Edition;
import org.umbermount.kernel.Imprint;
import org.umbermount.kernel.Safeguard;

/**
 * Asks a majority whether the view is still in force. Invariant: a read, or a verdict on a submission, is given only
 * after a majority of the view's voters, none of them under a promise, has said after the question came that the view is
 * still theirs. A head that a newer view has left behind must not refuse: what it takes for stale may be on top of the
 * newest version, and be taken by the head of that view.
 */
final class ViewConfirmation {
    private static final int MOST = 256;

    private final Imprint self;
    private final DurableState durable;
    private final Membership membership;
    private final CommitPoint commits;
    private final ChainMessages messages;
    private final Map<Long, Question> questions = new HashMap<>();
    private long nextNonce;

    /** What waits for a majority: a verdict on a submission, the committed state for a read, or something of this daemon's. */
    private record Question(Imprint origin, long id, long view, Accession reading, boolean brief,
            Custodian.Verdict verdict, Runnable then, Set<Imprint> agreed) {
    }

    ViewConfirmation(Imprint self, DurableState durable, Membership membership, CommitPoint commits,
            ChainMessages messages, long firstNonce) {
        this.self = self;
        this.durable = durable;
        this.membership = membership;
        this.commits = commits;
        this.messages = messages;
        this.nextNonce = firstNonce;
    }

    /** The tail answers a read, once it knows what is committed in its view. */
    void read(Imprint origin, long id, boolean brief) {
        Memory memory = durable.memory();
        boolean known = memory.state().edition().equals(Edition.NONE)
                || commits.committed().view() == memory.charter().number();
        if (!membership.inChain() || !known || !self.equals(memory.charter().tail())) {
            return;
        }
        ask(question(origin, id, brief, null, null), Safeguard.READ_CONFIRMED);
    }

    /** The head refuses a submission, or says again that it was taken. */
    void verdict(Imprint origin, long id, Custodian.Verdict verdict) {
        ask(question(origin, id, false, verdict, null), Safeguard.REFUSAL_CONFIRMED);
    }

    /** Runs something once a majority, asked from now on, has confirmed the view; never if it has not. */
    void whileInForce(Runnable then) {
        ask(question(self, 0, true, null, then), null);
    }

    private Question question(Imprint origin, long id, boolean brief, Custodian.Verdict verdict, Runnable then) {
        return new Question(origin, id, durable.memory().charter().number(), commits.committed(), brief, verdict, then,
                new HashSet<>());
    }

    private void ask(Question question, Safeguard by) {
        if (by != null && !by.holds()) {
            answer(question);
            return;
        }
        if (questions.size() > MOST) {
            questions.clear();
        }
        Charter charter = durable.memory().charter();
        long nonce = nextNonce++;
        questions.put(nonce, question);
        for (Fellow f : charter.electorate()) {
            messages.sendConfirm(f.imprint(), nonce, charter.number());
        }
    }

    /** A voter says whether a view is still its own and no promise may have ended it. */
    void attest(Imprint from, long nonce, long view) {
        Memory memory = durable.memory();
        if (!Safeguard.VOTES_OF_THE_VIEW_ONLY.holds() || membership.standing() == Custodian.Standing.MEMBER
                && memory.charter().number() == view && !memory.frozen()) {
            messages.sendConfirmed(from, nonce, memory.incarnation());
        }
    }

    void confirmed(Imprint from, long nonce, long incarnation) {
        Question q = questions.get(nonce);
        Charter charter = durable.memory().charter();
        if (q == null || q.view() != charter.number() || incarnation < membership.incarnationOf(from)
                || !charter.votes(from)) {
            return;
        }
        q.agreed().add(from);
        if (q.agreed().size() >= charter.majority()) {
            questions.remove(nonce);
            answer(q);
        }
    }

    private void answer(Question q) {
        if (q.then() != null) {
            q.then().run();
        } else if (q.verdict() != null) {
            messages.sendVerdict(q.origin(), q.id(), q.verdict());
        } else if (q.brief()) {
            messages.sendAttested(q.origin(), q.id(), q.reading().edition());
        } else {
            messages.sendReading(q.origin(), q.id(), q.reading());
        }
    }

    /** Questions end with their view. */
    void viewAdopted() {
        questions.clear();
    }
}
