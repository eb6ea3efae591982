package org.umbermount.control;

import java.util.HashMap;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.umbermount.kernel.Clock;
import org.umbermount.kernel.DaemonAddress;
import org.umbermount.kernel.Safeguard;

/**
 * A voter without its memory reads others before it votes. Invariant: it takes up its part again only as an incarnation
 * of which the others have met no later one, after it has read so many voters of the newest view that they meet every
 * majority; and none of them answers before that incarnation is on its own disk.
 */
final class Recovery {
    private static final Logger LOG = LoggerFactory.getLogger("control");
    private static final long REBUILD_MS = 6_000;

    /** What one of the others remembers. */
    record Reply(
            View view,
            ConfigurationState state,
            Ballot promised,
            Ballot acceptedBallot,
            Proposal accepted,
            Map<DaemonAddress, Long> incarnations,
            OperationLogPosition mark) {}

    private final DaemonAddress self;
    private final Clock clock;
    private final DurableState durable;
    private final Membership membership;
    private final ViewMessages messages;
    private final DroppedMessages dropped;
    private final Map<DaemonAddress, Reply> replies = new HashMap<>();
    private boolean rebuilding;
    private long attempt;

    Recovery(
            DaemonAddress self,
            Clock clock,
            DurableState durable,
            Membership membership,
            ViewMessages messages,
            DroppedMessages dropped) {
        this.self = self;
        this.clock = clock;
        this.durable = durable;
        this.membership = membership;
        this.messages = messages;
        this.dropped = dropped;
    }

    // ---- for another that lost its memory ----

    void answer(DaemonAddress who, long incarnation) {
        ReplicaStorage memory = durable.memory();
        if (membership.standing() == Replica.Standing.RECOVERING
                || memory.view().number() == 0) {
            return;
        }
        if (memory.incarnationOf(who) >= incarnation) {
            sendRecovered(who, incarnation);
        } else {
            durable.persist(memory.withIncarnation(who, incarnation), () -> sendRecovered(who, incarnation));
        }
    }

    /** Tells a daemon what is remembered here, of itself as well. */
    void tell(DaemonAddress who, long incarnation) {
        sendRecovered(who, incarnation);
    }

    private void sendRecovered(DaemonAddress who, long incarnation) {
        messages.sendRecovered(
                who, incarnation, durable.memory(), membership.companion().mark());
    }

    // ---- without memory here ----

    /** Asks all others what they remember. */
    void ask() {
        ReplicaStorage memory = durable.memory();
        for (DaemonAddress target : membership.others(memory.view())) {
            messages.sendRecover(target, memory.incarnation());
        }
    }

    /** What was read before a view came into force, or an attempt that came to nothing, counts no longer. */
    void reset() {
        replies.clear();
        rebuilding = false;
    }

    void recovered(DaemonAddress from, long incarnation, Reply reply) {
        ReplicaStorage memory = durable.memory();
        if (incarnation != memory.incarnation()) {
            dropped.count(DroppedMessages.Reason.FOREIGN_INCARNATION);
            return;
        }
        if (rebuilding) {
            return;
        }
        boolean recovering = membership.standing() == Replica.Standing.RECOVERING;
        long known = incarnationIn(reply);
        if (known > memory.incarnation() && (recovering || Safeguard.INCARNATION_RAISED.holds())) {
            startAbove(known);
            return;
        }
        if (!recovering) {
            return;
        }
        replies.put(from, reply);
        View newest = newestView();
        if (newest.number() >= memory.view().number() && votersRead(newest) >= newest.recoveryReads()) {
            finish(newest);
        }
    }

    /** The newest life of this daemon that another has met. */
    private long incarnationIn(Reply reply) {
        return Math.max(
                reply.incarnations().getOrDefault(self, 0L),
                reply.view().votes(self) ? reply.view().fellow(self).incarnation() : 0L);
    }

    /**
     * Someone has met an incarnation of this daemon with a higher number: choose one above it and read again. This happens to
     * one that votes, too, where a message of a life that has ended came late; its own memory is then one of those read.
     */
    private void startAbove(long known) {
        ReplicaStorage m = durable.memory();
        LOG.info("Incarnation {} is known of this daemon: it goes on as the next.", known);
        durable.persist(
                new ReplicaStorage(
                        known + 1,
                        0,
                        m.view(),
                        m.state(),
                        m.promised(),
                        m.acceptedBallot(),
                        m.accepted(),
                        m.incarnations()),
                () -> {
                    membership.reincarnated();
                    ask();
                });
    }

    private View newestView() {
        View newest = View.NONE;
        for (Reply r : replies.values()) {
            if (r.view().number() > newest.number()) {
                newest = r.view();
            }
        }
        return newest;
    }

    private int votersRead(View view) {
        int reads = 0;
        for (DaemonAddress who : replies.keySet()) {
            if (view.votes(who)) {
                reads++;
            }
        }
        return reads;
    }

    /** Enough has been read; what is kept beside the configuration is fetched before the memory counts as whole. */
    private void finish(View newest) {
        ReplicaStorage whole = merge(newest);
        int reads = replies.size();
        long mine = ++attempt;
        rebuilding = true;
        // The one that is asked may be lost itself, or the disk refuse: then the others are read again.
        clock.after(REBUILD_MS, () -> giveUp(mine));
        membership
                .companion()
                .rebuild(
                        furthestMark(),
                        () -> durable.serially(() -> {
                            // What has come into force meanwhile is newer than what was read.
                            if (mine != attempt
                                    || !rebuilding
                                    || durable.memory().view().number() > newest.number()) {
                                giveUp(mine);
                                return;
                            }
                            durable.persist(
                                    whole.withIncarnations(durable.memory().incarnations()), () -> finished(reads));
                        }));
    }

    private void giveUp(long which) {
        if (which == attempt && rebuilding) {
            reset();
        }
    }

    private void finished(int reads) {
        reset();
        LOG.info(
                "Memory rebuilt as incarnation {} from {} others.",
                durable.memory().incarnation(),
                reads);
        membership.adopted("reading others");
    }

    /** The newest state, promise and acceptance that those in the newest view remember. */
    private ReplicaStorage merge(View newest) {
        ConfigurationState state = ConfigurationState.NONE;
        Ballot promised = Ballot.NONE;
        Ballot acceptedBallot = Ballot.NONE;
        Proposal accepted = null;
        ReplicaStorage own = durable.memory();
        if (own.view().number() == newest.number()) {
            state = own.state();
            promised = own.promised();
            acceptedBallot = own.acceptedBallot();
            accepted = own.accepted();
        }
        ReplicaStorage next = own;
        for (Reply r : replies.values()) {
            next = next.withIncarnations(r.incarnations());
            if (r.view().number() != newest.number()) {
                continue;
            }
            if (r.state().isNewerThan(state) || state.view() == 0) {
                state = r.state();
            }
            if (r.promised().compareTo(promised) > 0) {
                promised = r.promised();
            }
            if (r.acceptedBallot().compareTo(acceptedBallot) > 0) {
                acceptedBallot = r.acceptedBallot();
                accepted = r.accepted();
            }
        }
        return next.adopt(newest, state).recovered(newest.number()).withAcceptor(promised, acceptedBallot, accepted);
    }

    private OperationLogPosition furthestMark() {
        OperationLogPosition furthest = OperationLogPosition.NONE;
        for (Reply r : replies.values()) {
            if (r.mark().isBeyond(furthest)) {
                furthest = r.mark();
            }
        }
        return furthest;
    }
}
