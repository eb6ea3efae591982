package org.umbermount.control;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.umbermount.kernel.Clock;
import org.umbermount.kernel.ConfigurationRevision;
import org.umbermount.kernel.DaemonAddress;
import org.umbermount.kernel.Metrics;
import org.umbermount.kernel.Safeguard;

/**
 * A member of the chain (chain replication). Invariant: a state is passed on only once it is on disk here, it is
 * taken only from the member before, and only the tail commits; so what is committed is on the disk of every member.
 */
final class ChainReplica {
    /** An order that a caller hands in, with the whole that results; only the head of the one view may act on it, 0 is any. */
    record Submission(DaemonAddress origin, RequestId id, long onlyIn, Order order, byte[] blob) {
        PendingReply reply() {
            return new PendingReply(id, origin, order.edition());
        }
    }

    private final DaemonAddress self;
    private final DurableState durable;
    private final Membership membership;
    private final CommitPoint commits;
    private final ViewConfirmation confirmation;
    private final ChainMessages messages;
    private final DroppedMessages dropped;
    private final StateIncrements increments;
    private final Clock clock;
    private final Metrics metrics;
    private final RefusedAhead aheads;
    private final Map<RequestId, PendingReply> owed = new LinkedHashMap<>();
    /** Whether the tail has committed anything in this view; that it was committed in an earlier one can be heard of others. */
    private boolean begun;

    /** The state of this view that the newest one has replaced here, or null. */
    private ConfigurationState replaced;
    /** The state that was passed on again last. */
    private ConfigurationState repeated;

    ChainReplica(
            DaemonAddress self,
            Clock clock,
            DurableState durable,
            Membership membership,
            CommitPoint commits,
            ViewConfirmation confirmation,
            ChainMessages messages,
            DroppedMessages dropped,
            StateIncrements increments,
            Metrics metrics) {
        this.self = self;
        this.increments = increments;
        this.clock = clock;
        this.metrics = metrics;
        this.aheads = new RefusedAhead(clock.now());
        this.durable = durable;
        this.membership = membership;
        this.commits = commits;
        this.confirmation = confirmation;
        this.messages = messages;
        this.dropped = dropped;
    }

    // ---- the head ----

    void submit(Submission s) {
        if (!membership.inChain() || !membership.isHead()) {
            answer(s, Replica.Verdict.ELSEWHERE);
            return;
        }
        if (s.onlyIn() != 0 && s.onlyIn() != membership.view().number()) {
            dropped.count(DroppedMessages.Reason.OLD_VIEW);
            return;
        }
        Order order = s.order();
        ConfigurationState state = durable.memory().state();
        TakenOrders.Finding found = commits.committed().taken().find(order);
        if (!order.rises()) {
            conclude(s, Replica.Verdict.NOT_HIGHER);
        } else if (found == TakenOrders.Finding.TAKEN) {
            if (Safeguard.REPEAT_CONFIRMED.holds()) {
                conclude(s, Replica.Verdict.TAKEN);
            } else {
                answer(s, Replica.Verdict.TAKEN);
            }
        } else if (found == TakenOrders.Finding.UNCLEAR) {
            metrics.count("control.orders.unclear");
        } else if (state.taken().find(order) == TakenOrders.Finding.TAKEN) {
            oweAndForward(s);
        } else if (commits.edition().isAfter(order.match())) {
            // The version it builds on has been built on: it was not taken then, and never will be.
            conclude(s, Replica.Verdict.STALE);
        } else if (!order.match().equals(state.edition())) {
            refuseAhead(s, state);
        } else if (s.blob().length == 0) {
            // A question only: its sender knows no version to build on.
            answer(s, Replica.Verdict.ELSEWHERE);
        } else if (!aheads.bars(order, s.onlyIn() != 0, clock.now())) {
            replaceState(state.take(order.edition(), s.blob(), order.digest()), () -> oweAndForward(s));
        }
    }

    private void answer(Submission s, Replica.Verdict verdict) {
        messages.sendVerdict(s.origin(), s.id(), verdict);
    }

    private void oweAndForward(Submission s) {
        owed.put(s.id(), s.reply());
        forward(false);
    }

    /** Until a majority has confirmed the view, nothing can come to pass here that would make the verdict another one. */
    private void conclude(Submission s, Replica.Verdict verdict) {
        confirmation.verdict(s.origin(), s.id(), s.order(), verdict);
    }

    /** What is not committed may still give way, and then the version below it is the newest again: nothing is said then. */
    private void refuseAhead(Submission s, ConfigurationState state) {
        if (commits.committed().isSameAs(state) && aheads.bar(s.order(), clock.now())) {
            conclude(s, Replica.Verdict.STALE);
        }
    }

    /** Only the head starts: a tail that took this view from news may hold a state that those before it do not. */
    void begin() {
        if (membership.isHead()) {
            forward(false);
        }
    }

    /** The head sends again what the chain has not committed in this view. */
    void resend() {
        ReplicaStorage memory = durable.memory();
        boolean unsettled = !begun && Safeguard.VIEW_BEGINNING_REPEATED.holds()
                || commits.committed().view() < memory.view().number()
                || memory.state().edition().isAfter(commits.edition())
                || !owed.isEmpty();
        if (membership.isHead() && unsettled) {
            durable.serially(this::repeat);
        }
    }

    /** What was passed on again before, and is still not committed, goes whole: someone may lack what it builds on. */
    private void repeat() {
        ConfigurationState state = durable.memory().state();
        boolean whole = state == repeated;
        repeated = state;
        forward(whole);
    }

    // ---- every member ----

    void write(DaemonAddress from, ConfigurationState state, List<PendingReply> replies) {
        if (!isFromPredecessor(from, state.view())) {
            return;
        }
        ConfigurationState held = durable.memory().state();
        if (state.isNewerThan(held)) {
            replaceState(state, () -> pass(replies, true));
        } else if (held.isSameAs(state.edition(), state.taken().newestDigest())) {
            pass(replies, true);
        }
    }

    /** As {@link #write}, or nothing but a request for the whole state where this daemon lacks what it builds on. */
    void increment(DaemonAddress from, StateIncrement increment, List<PendingReply> replies) {
        if (!isFromPredecessor(from, increment.view())) {
            return;
        }
        ConfigurationState held = durable.memory().state();
        if (increment.order().edition().isAfter(held.edition())) {
            ConfigurationState next = increments.apply(increment, held);
            if (next == null) {
                metrics.count("control.increments.base_missing");
                messages.sendStateWanted(from, increment.view());
            } else {
                replaceState(next, () -> pass(replies, false));
            }
        } else if (held.isSameAs(increment.order().edition(), increment.order().digest())) {
            pass(replies, false);
        }
    }

    /** The member after lacks what an increment builds on. */
    void stateWanted(DaemonAddress from, long view) {
        ReplicaStorage memory = durable.memory();
        if (view == memory.view().number() && from.equals(memory.view().successor(self))) {
            forward(true);
        }
    }

    /** Whether the member before may have this daemon take a state of a view; whoever is ahead is asked for its view. */
    private boolean isFromPredecessor(DaemonAddress from, long view) {
        View mine = durable.memory().view();
        if (view > mine.number()) {
            membership.fetch(from);
            return false;
        }
        if (view < mine.number()) {
            dropped.count(DroppedMessages.Reason.OLD_VIEW);
            return false;
        }
        if (!membership.inChain() || !self.equals(mine.successor(from))) {
            dropped.count(DroppedMessages.Reason.NOT_A_MEMBER);
            return false;
        }
        return true;
    }

    private void pass(List<PendingReply> replies, boolean whole) {
        owed.clear();
        for (PendingReply reply : replies) {
            owed.put(reply.id(), reply);
        }
        forward(whole);
    }

    /** Takes a newer state of the same view; the one before may be committed all the same. */
    private void replaceState(ConfigurationState next, Runnable then) {
        ConfigurationState before = durable.memory().state();
        durable.persist(durable.memory().withState(next), () -> {
            commits.supersede(before);
            replaced = before;
            then.run();
        });
    }

    /** Passes the newest state on, whole or as what is new in it, or commits it at the tail. */
    private void forward(boolean whole) {
        ReplicaStorage memory = durable.memory();
        if (!membership.inChain() || memory.state().edition().equals(ConfigurationRevision.NONE)) {
            return;
        }
        DaemonAddress next = memory.view().successor(self);
        if (next == null) {
            commit(memory);
            return;
        }
        StateIncrement increment = whole || replaced == null ? null : increments.between(replaced, memory.state());
        if (increment == null) {
            messages.sendWrite(next, memory.state(), owed.values());
        } else {
            messages.sendIncrement(next, increment, owed.values());
        }
    }

    /** This waits for no disk: what has been committed may be handed out, whatever happens to it here. */
    void committedElsewhere(DaemonAddress tail, long view, ConfigurationRevision edition, Digest digest) {
        begun |= view == durable.memory().view().number();
        ConfigurationState meant = commits.superseded(edition, durable.memory().state());
        if (meant.view() == view && meant.isSameAs(edition, digest)) {
            commits.advance(meant);
            owed.values().removeIf(reply -> !reply.edition().isAfter(edition));
        } else if (edition.isAfter(commits.edition())) {
            membership.fetch(tail);
        }
    }

    /** Answers are owed within one view, where states only grow; whoever still waits asks again. */
    void viewAdopted() {
        begun = false;
        if (Safeguard.OWED_WITHIN_ONE_VIEW.holds()) {
            owed.clear();
        }
        aheads.clear();
        replaced = null;
        repeated = null;
    }

    // ---- the tail ----

    private void commit(ReplicaStorage memory) {
        ConfigurationState state = memory.state();
        begun = true;
        Set<DaemonAddress> targets = new HashSet<>(membership.audience());
        targets.addAll(memory.view().chain());
        targets.remove(self);
        for (PendingReply reply : owed.values()) {
            messages.sendVerdict(reply.origin(), reply.id(), Replica.Verdict.TAKEN);
        }
        owed.clear();
        for (DaemonAddress target : targets) {
            messages.sendCommitted(target, state);
        }
        commits.advance(state);
    }
}
