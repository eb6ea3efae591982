package org.umbermount.control;

import java.security.SecureRandom;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.umbermount.kernel.ConfigurationRevision;
import org.umbermount.kernel.DaemonAddress;
import org.umbermount.kernel.Safeguard;

/**
 * Asks a majority whether the view is still in force. Invariant: a read, or a verdict on a submission, is given only
 * after a majority of the view's voters, none of them under a promise, has said after the question came that the view is
 * still theirs. A head that a newer view has left behind must not refuse: what it takes for stale may be on top of the
 * newest version, and be taken by the head of that view.
 */
final class ViewConfirmation {
    private static final Logger LOG = LoggerFactory.getLogger("control");
    private static final int MOST = 256;

    private final DaemonAddress self;
    private final DurableState durable;
    private final Membership membership;
    private final CommitPoint commits;
    private final ChainMessages messages;
    private final DroppedMessages dropped;
    private final Map<Long, Question> questions = new HashMap<>();
    /** Not from the clock: after it was set back, answers to an earlier life would count for this one. */
    private long nextNonce = new SecureRandom().nextLong() >>> 1;

    /** What waits for a majority: a verdict on a submission, the committed state for a read, or something of this daemon's. */
    private record Question(
            DaemonAddress origin,
            RequestId id,
            long view,
            ConfigurationState reading,
            boolean brief,
            Order order,
            Replica.Verdict verdict,
            Runnable then,
            Set<DaemonAddress> agreed) {}

    ViewConfirmation(
            DaemonAddress self,
            DurableState durable,
            Membership membership,
            CommitPoint commits,
            ChainMessages messages,
            DroppedMessages dropped) {
        this.self = self;
        this.durable = durable;
        this.membership = membership;
        this.commits = commits;
        this.messages = messages;
        this.dropped = dropped;
    }

    /** The tail answers a read, once it knows what is committed in its view. */
    void read(DaemonAddress origin, RequestId id, boolean brief) {
        ReplicaStorage memory = durable.memory();
        boolean known = memory.state().edition().equals(ConfigurationRevision.NONE)
                || commits.committed().view() == memory.view().number();
        if (!membership.inChain() || !known || !self.equals(memory.view().tail())) {
            return;
        }
        ask(question(origin, id, brief, null, null, null), Safeguard.READ_CONFIRMED);
    }

    /** The head refuses a submission, or says again that it was taken. */
    void verdict(DaemonAddress origin, RequestId id, Order order, Replica.Verdict verdict) {
        ask(question(origin, id, false, order, verdict, null), Safeguard.REFUSAL_CONFIRMED);
    }

    /** Runs something once a majority, asked from now on, has confirmed the view; never if it has not. */
    void whileInForce(Runnable then) {
        ask(question(self, null, true, null, null, then), null);
    }

    private Question question(
            DaemonAddress origin, RequestId id, boolean brief, Order order, Replica.Verdict verdict, Runnable then) {
        return new Question(
                origin,
                id,
                durable.memory().view().number(),
                commits.committed(),
                brief,
                order,
                verdict,
                then,
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
        View view = durable.memory().view();
        long nonce = nextNonce++;
        questions.put(nonce, question);
        for (Voter f : view.electorate()) {
            messages.sendConfirm(f.daemonAddress(), nonce, view.number());
        }
    }

    /** A voter says whether a view is still its own and no promise may have ended it. */
    void attest(DaemonAddress from, long nonce, long view) {
        ReplicaStorage memory = durable.memory();
        if (!Safeguard.VOTES_OF_THE_VIEW_ONLY.holds()
                || membership.standing() == Replica.Standing.MEMBER
                        && memory.view().number() == view
                        && !memory.frozen()) {
            messages.sendConfirmed(from, nonce, memory.incarnation());
        } else if (memory.view().number() != view) {
            dropped.count(DroppedMessages.Reason.OLD_VIEW);
        }
    }

    void confirmed(DaemonAddress from, long nonce, long incarnation) {
        Question q = questions.get(nonce);
        View view = durable.memory().view();
        if (q == null || q.view() != view.number()) {
            // Settled by others already, or its view has ended.
            return;
        }
        if (!view.votes(from)) {
            dropped.count(DroppedMessages.Reason.NOT_A_MEMBER);
            return;
        }
        if (incarnation < membership.incarnationOf(from)) {
            dropped.count(DroppedMessages.Reason.FOREIGN_INCARNATION);
            return;
        }
        q.agreed().add(from);
        if (q.agreed().size() >= view.majority()) {
            questions.remove(nonce);
            answer(q);
        }
    }

    private void answer(Question q) {
        if (q.then() != null) {
            q.then().run();
        } else if (q.verdict() != null) {
            if (q.verdict() != Replica.Verdict.TAKEN) {
                LOG.info(
                        "The order {} is refused as {}: view {} is confirmed, and {} is the newest number.",
                        q.order(),
                        q.verdict(),
                        q.view(),
                        q.reading().edition());
            }
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
