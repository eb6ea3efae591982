package org.umbermount.archive;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.umbermount.kernel.Edition;
import org.umbermount.kernel.Imprint;
import org.umbermount.kernel.Safeguard;

/**
 * A member of the chain (chain replication). Invariant: a state is passed on only once it is on disk here, it is
 * taken only from the member before, and only the tail commits; so what is committed is on the disk of every member.
 */
final class ChainReplica {
    /** A configuration that a caller hands in: to follow the edition {@code match}, as {@code edition}. */
    record Submission(Imprint origin, long id, Edition match, Edition edition, long hash, byte[] blob) {
        PendingReply reply() {
            return new PendingReply(id, origin, edition);
        }
    }

    private final Imprint self;
    private final DurableState durable;
    private final Membership membership;
    private final CommitPoint commits;
    private final ViewConfirmation confirmation;
    private final ChainMessages messages;
    private final Map<Long, PendingReply> owed = new LinkedHashMap<>();

    ChainReplica(Imprint self, DurableState durable, Membership membership, CommitPoint commits,
            ViewConfirmation confirmation, ChainMessages messages) {
        this.self = self;
        this.durable = durable;
        this.membership = membership;
        this.commits = commits;
        this.confirmation = confirmation;
        this.messages = messages;
    }

    // ---- the head ----

    void submit(Submission s) {
        if (!membership.inChain() || !membership.isHead()) {
            answer(s, Custodian.Verdict.ELSEWHERE);
            return;
        }
        Accession state = durable.memory().state();
        if (commits.committed().hasTaken(s.edition(), s.hash())) {
            if (Safeguard.REPEAT_CONFIRMED.holds()) {
                confirmation.verdict(s.origin(), s.id(), Custodian.Verdict.TAKEN);
            } else {
                answer(s, Custodian.Verdict.TAKEN);
            }
        } else if (state.hasTaken(s.edition(), s.hash())) {
            oweAndForward(s);
        } else if (!s.match().equals(state.edition())) {
            refuseIfSettled(s, Custodian.Verdict.STALE);
        } else if (!s.edition().isAfter(state.edition())) {
            refuseIfSettled(s, Custodian.Verdict.NOT_HIGHER);
        } else if (s.blob().length == 0) {
            // A question only: its sender knows no version to build on.
            answer(s, Custodian.Verdict.ELSEWHERE);
        } else {
            replaceState(state.take(s.edition(), s.blob(), s.hash()), () -> oweAndForward(s));
        }
    }

    private void answer(Submission s, Custodian.Verdict verdict) {
        messages.sendVerdict(s.origin(), s.id(), verdict);
    }

    private void oweAndForward(Submission s) {
        owed.put(s.id(), s.reply());
        forward();
    }

    /** While the newest state is not committed, nobody can say yet whether the submission is to be refused. */
    private void refuseIfSettled(Submission s, Custodian.Verdict verdict) {
        if (commits.edition().equals(durable.memory().state().edition())) {
            confirmation.verdict(s.origin(), s.id(), verdict);
        }
    }

    /** Only the head starts: a tail that took this view from news may hold a state that those before it do not. */
    void begin() {
        if (membership.isHead()) {
            forward();
        }
    }

    /** The head sends again what the chain has not committed in this view. */
    void resend() {
        Memory memory = durable.memory();
        boolean unsettled = commits.committed().view() < memory.charter().number()
                || memory.state().edition().isAfter(commits.edition()) || !owed.isEmpty();
        if (membership.isHead() && unsettled) {
            durable.serially(this::forward);
        }
    }

    // ---- every member ----

    void write(Imprint from, Accession state, List<PendingReply> replies) {
        Memory memory = durable.memory();
        if (state.view() > memory.charter().number()) {
            membership.fetch(from);
            return;
        }
        if (!membership.inChain() || state.view() != memory.charter().number()
                || !self.equals(memory.charter().successor(from))) {
            return;
        }
        if (state.isNewerThan(memory.state())) {
            replaceState(state, () -> pass(replies));
        } else if (state.edition().equals(memory.state().edition())) {
            pass(replies);
        }
    }

    private void pass(List<PendingReply> replies) {
        owed.clear();
        for (PendingReply reply : replies) {
            owed.put(reply.id(), reply);
        }
        forward();
    }

    /** Takes a newer state of the same view; the one before may be committed all the same. */
    private void replaceState(Accession next, Runnable then) {
        Accession before = durable.memory().state();
        durable.persist(durable.memory().withState(next), () -> {
            commits.supersede(before);
            then.run();
        });
    }

    /** Passes the newest state on, or commits it at the tail. */
    private void forward() {
        Memory memory = durable.memory();
        if (!membership.inChain() || memory.state().edition().equals(Edition.NONE)) {
            return;
        }
        Imprint next = memory.charter().successor(self);
        if (next == null) {
            commit(memory);
        } else {
            messages.sendWrite(next, memory.state(), owed.values());
        }
    }

    /** This waits for no disk: what has been committed may be handed out, whatever happens to it here. */
    void committedElsewhere(Imprint tail, long view, Edition edition, long hash) {
        Accession meant = commits.superseded(edition, durable.memory().state());
        if (meant.view() == view && meant.edition().equals(edition) && meant.hasTaken(edition, hash)) {
            commits.advance(meant);
            owed.values().removeIf(reply -> !reply.edition().isAfter(edition));
        } else if (edition.isAfter(commits.edition())) {
            membership.fetch(tail);
        }
    }

    /** Answers are owed within one view; whoever still waits asks again. */
    void viewAdopted() {
        owed.clear();
    }

    // ---- the tail ----

    private void commit(Memory memory) {
        Accession state = memory.state();
        long hash = state.newestHash();
        Set<Imprint> targets = new HashSet<>(membership.audience());
        targets.addAll(memory.charter().chain());
        targets.remove(self);
        for (PendingReply reply : owed.values()) {
            messages.sendVerdict(reply.origin(), reply.id(), Custodian.Verdict.TAKEN);
        }
        owed.clear();
        for (Imprint target : targets) {
            messages.sendCommitted(target, state, hash);
        }
        commits.advance(state);
    }
}
