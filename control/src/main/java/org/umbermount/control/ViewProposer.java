package org.umbermount.control;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.umbermount.kernel.Clock;
import org.umbermount.kernel.DaemonAddress;
import org.umbermount.kernel.Metrics;
import org.umbermount.kernel.MonotonicTime;
import org.umbermount.kernel.Safeguard;

/**
 * Works out which view is wanted and, where it differs from the one in force, proposes it: one single-decree
 * Paxos per view number among the voters of the view before.
 */
final class ViewProposer implements Replica.BallotListener {
    private static final Logger LOG = LoggerFactory.getLogger("control");
    private static final long LOOP_MS = 150;
    /** How long a returning or new daemon has to be well before it is taken in. */
    private static final long STEADY_MS = 1_500;

    private static final long RANK_MS = 450;
    private static final long ATTEMPT_MS = 900;
    private static final long FROZEN_MS = 600;
    /** How long the members of the line have to come by the records that a view begins with. */
    private static final long GATHERING_MS = 4_000;

    private final Replica replica;
    private final FailureDetector detector;
    private final java.util.function.BooleanSupplier diskGood;
    private final Clock clock;
    private final Random random;
    private final Metrics metrics;
    private final DroppedMessages dropped;
    private final DaemonAddress self;
    private final String zone;
    private final int tolerated;
    private MonotonicTime wantedSince;
    private MonotonicTime unsettledSince;
    private MonotonicTime quietUntil = MonotonicTime.NEVER;
    private Attempt attempt;
    private List<DaemonAddress> seats;
    private MonotonicTime seatsSince;

    private static final class Attempt {
        final long view;
        final Ballot ballot;
        final View wanted;
        final String why;
        final MonotonicTime since;
        final Map<DaemonAddress, Replica.Promise> promises = new HashMap<>();
        final Set<Voter> accepted = new HashSet<>();
        Proposal proposal;

        Attempt(long view, Ballot ballot, View wanted, String why, MonotonicTime since) {
            this.view = view;
            this.ballot = ballot;
            this.wanted = wanted;
            this.why = why;
            this.since = since;
        }
    }

    ViewProposer(
            Replica replica,
            FailureDetector detector,
            java.util.function.BooleanSupplier diskGood,
            Clock clock,
            Random random,
            Metrics metrics,
            DaemonAddress self,
            String zone,
            int tolerated) {
        this.zone = zone;
        this.tolerated = tolerated;
        this.replica = replica;
        this.detector = detector;
        this.diskGood = diskGood;
        this.clock = clock;
        this.random = random;
        this.metrics = metrics;
        this.dropped = new DroppedMessages(metrics);
        this.self = self;
        this.seatsSince = clock.now();
        this.seats =
                replica.view().electorate().stream().map(Voter::daemonAddress).toList();
        replica.onView(this::inForce);
    }

    void start() {
        clock.every(LOOP_MS, this::reconcile);
    }

    private boolean selfGood() {
        return diskGood.getAsBoolean() && !detector.isLeaving();
    }

    private FailureDetector.Report report(DaemonAddress who) {
        FailureDetector.Peer peer = detector.peer(who);
        return peer == null ? null : peer.report();
    }

    /** What this daemon sees of the others, and what those that it hears say of each other. */
    private final class Seen implements MembershipPlan.Sight {
        private final View view = replica.view();

        @Override
        public Iterable<DaemonAddress> known() {
            Set<DaemonAddress> all = new TreeSet<>();
            detector.peers().forEach(p -> all.add(p.daemonAddress()));
            all.add(self);
            return all;
        }

        @Override
        public boolean linked(DaemonAddress one, DaemonAddress other) {
            if (one.equals(other)) {
                return true;
            }
            if (one.equals(self) || other.equals(self)) {
                return detector.connected(one.equals(self) ? other : one);
            }
            boolean oneHeard = detector.connected(one);
            boolean otherHeard = detector.connected(other);
            return (oneHeard || otherHeard)
                    && (!oneHeard || report(one).connected().contains(other))
                    && (!otherHeard || report(other).connected().contains(one));
        }

        @Override
        public boolean well(DaemonAddress who) {
            FailureDetector.Report r = report(who);
            if (who.equals(self) ? !selfGood() : r == null || !r.diskGood() || r.leaving()) {
                return false;
            }
            int reached = view.votes(who) ? 1 : 0;
            for (Voter f : view.electorate()) {
                if (!f.daemonAddress().equals(who) && linked(f.daemonAddress(), who)) {
                    reached++;
                }
            }
            return reached >= view.majority();
        }

        @Override
        public boolean steady(DaemonAddress who) {
            return who.equals(self) ? !detector.unsettled(STEADY_MS) : detector.goodForMs(who) >= STEADY_MS;
        }

        @Override
        public boolean expected(DaemonAddress who) {
            return detector.expected(who);
        }

        @Override
        public boolean hasMemory(DaemonAddress who) {
            if (who.equals(self)) {
                return replica.standing() != Replica.Standing.RECOVERING;
            }
            FailureDetector.Report r = report(who);
            return r != null && r.votes() && r.incarnation() >= replica.incarnationOf(who);
        }

        @Override
        public long incarnation(DaemonAddress who) {
            if (who.equals(self)) {
                return replica.incarnation();
            }
            FailureDetector.Report r = report(who);
            return Math.max(r == null ? 0 : r.incarnation(), replica.incarnationOf(who));
        }

        @Override
        public String zone(DaemonAddress who) {
            FailureDetector.Report r = report(who);
            return who.equals(self) ? zone : r == null ? "" : r.zone();
        }
    }

    private MembershipPlan.Wish wish() {
        View now = replica.view();
        return MembershipPlan.wish(now, tolerated, companionSettled(now) && seatsRested(), new Seen());
    }

    /** Whether leases that voters before the last change of seats may have granted have run out. */
    private boolean seatsRested() {
        return clock.now().since(seatsSince) >= LeaseManager.TERM_MS || !Safeguard.SEATS_REST.holds();
    }

    private void inForce(View view) {
        List<DaemonAddress> voters =
                view.electorate().stream().map(Voter::daemonAddress).toList();
        if (!voters.equals(seats)) {
            seats = voters;
            seatsSince = clock.now();
        }
    }

    /**
     * Whether everyone who keeps operation records holds all of them in this view. Voters may change only then:
     * the argument that some voter of the next view has every acknowledged record rests on it.
     */
    private boolean companionSettled(View now) {
        for (DaemonAddress member : now.line(tolerated)) {
            FailureDetector.Peer peer = detector.peer(member);
            long settled = member.equals(self)
                    ? replica.companion().settledView()
                    : peer == null || peer.report() == null ? 0 : peer.report().settledView();
            if (settled < now.number()) {
                return false;
            }
        }
        return true;
    }

    private void reconcile() {
        MonotonicTime now = clock.now();
        if (attempt != null) {
            if (attempt.view <= replica.view().number()) {
                attempt = null;
            } else if (now.since(attempt.since) > ATTEMPT_MS) {
                attempt = null;
                quietUntil = now.plus(100 + random.nextInt(400));
                metrics.count("control.views.abandoned");
            } else {
                push();
            }
            return;
        }
        if (replica.standing() != Replica.Standing.MEMBER
                || !selfGood()
                || now.isBefore(quietUntil)
                || !detector.reachesMajority(replica.view())
                || detector.unsettled(FailureDetector.SILENCE_MS)) {
            wantedSince = null;
            return;
        }
        MembershipPlan.Wish wish = wish();
        if (wish == null && replica.frozenMs() > FROZEN_MS) {
            View c = replica.view();
            wish = new MembershipPlan.Wish(
                    new View(c.number() + 1, c.electorate(), c.chain()), "a view change was not finished", true);
        }
        if (companionSettled(replica.view())) {
            unsettledSince = null;
        } else if (unsettledSince == null) {
            unsettledSince = now;
        } else if (wish == null && now.since(unsettledSince) > GATHERING_MS) {
            // Whoever held the records that this view begins with may be gone: the next one begins with what is there.
            View c = replica.view();
            wish = new MembershipPlan.Wish(
                    new View(c.number() + 1, c.electorate(), c.chain()),
                    "the operation records that it begins with are not to be had",
                    true);
        }
        if (wish == null) {
            wantedSince = null;
            return;
        }
        if (wantedSince == null) {
            wantedSince = now;
        }
        if (now.since(wantedSince) >= rank() * RANK_MS) {
            propose(wish, now);
        }
    }

    /** How many well voters stand before this one. */
    private long rank() {
        long rank = 0;
        Seen seen = new Seen();
        for (Voter f : replica.view().electorate()) {
            if (f.daemonAddress().compareTo(self) < 0
                    && seen.well(f.daemonAddress())
                    && seen.hasMemory(f.daemonAddress())) {
                rank++;
            }
        }
        return rank;
    }

    private void propose(MembershipPlan.Wish wish, MonotonicTime now) {
        long round = replica.promisedBallot().round() + 1;
        unsettledSince = null;
        attempt = new Attempt(wish.view().number(), new Ballot(round, self), wish.view(), wish.why(), now);
        wantedSince = null;
        LOG.info("Proposing view {} because {}.", attempt.view, attempt.why);
        metrics.count("control.views.proposed");
        push();
    }

    /** Sends the current phase's message to the voters that have not answered. */
    private void push() {
        for (Voter f : replica.view().electorate()) {
            if (attempt.proposal == null) {
                if (!attempt.promises.containsKey(f.daemonAddress())) {
                    replica.sendPrepare(f.daemonAddress(), attempt.view, attempt.ballot);
                }
            } else if (attempt.accepted.stream()
                    .noneMatch(a -> a.daemonAddress().equals(f.daemonAddress()))) {
                replica.sendAccept(f.daemonAddress(), attempt.view, attempt.ballot, attempt.proposal);
            }
        }
    }

    /** Whether a vote comes from the newest incarnation known of its voter. */
    private boolean counts(Voter voter) {
        return replica.view().votes(voter.daemonAddress())
                && voter.incarnation() >= replica.incarnationOf(voter.daemonAddress());
    }

    private void noteUncounted(Voter voter) {
        if (!counts(voter)) {
            dropped.count(
                    replica.view().votes(voter.daemonAddress())
                            ? DroppedMessages.Reason.FOREIGN_INCARNATION
                            : DroppedMessages.Reason.NOT_A_MEMBER);
        }
    }

    @Override
    public void promised(long view, Ballot ballot, Replica.Promise promise) {
        if (attempt == null || attempt.view != view || !attempt.ballot.equals(ballot) || attempt.proposal != null) {
            return;
        }
        noteUncounted(promise.voter());
        attempt.promises.put(promise.voter().daemonAddress(), promise);
        attempt.promises.values().removeIf(p -> !counts(p.voter()));
        if (attempt.promises.size() < replica.view().majority()) {
            return;
        }
        attempt.proposal = choose(attempt.promises.values(), attempt.wanted);
        push();
    }

    /**
     * What has to be proposed, given the promises of a majority: what was accepted under the highest ballot if
     * anything was; otherwise what is wanted, starting from the newest state that any of them holds.
     */
    static Proposal choose(Collection<Replica.Promise> promises, View wanted) {
        Ballot best = Ballot.NONE;
        Proposal earlier = null;
        ConfigurationState newest = null;
        OperationLogPosition mark = OperationLogPosition.NONE;
        for (Replica.Promise p : promises) {
            if (p.accepted() != null && p.acceptedBallot().compareTo(best) > 0) {
                best = p.acceptedBallot();
                earlier = p.accepted();
            }
            if (newest == null || p.state().isNewerThan(newest) && Safeguard.NEWEST_PROMISED_STATE.holds()) {
                newest = p.state();
            }
            // Of two that hold the same, one that stays is asked for it.
            if (p.mark().isBeyond(mark)
                    || p.mark().sameAs(mark)
                            && !wanted.chains(mark.holder())
                            && wanted.chains(p.mark().holder())) {
                mark = p.mark();
            }
        }
        return earlier != null ? earlier : new Proposal(wanted.withBase(mark), newest.inView(wanted.number()));
    }

    @Override
    public void accepted(long view, Ballot ballot, Voter voter) {
        if (attempt == null || attempt.view != view || !attempt.ballot.equals(ballot) || attempt.proposal == null) {
            return;
        }
        noteUncounted(voter);
        attempt.accepted.add(voter);
        attempt.accepted.removeIf(a -> !counts(a));
        if (attempt.accepted.size() >= replica.view().majority()) {
            Proposal proposal = attempt.proposal;
            String why = attempt.why;
            attempt = null;
            replica.decided(proposal, why);
        }
    }

    @Override
    public void refused(long view, Ballot higher) {
        if (attempt != null && attempt.view == view && higher.compareTo(attempt.ballot) > 0) {
            attempt = null;
            quietUntil = clock.now().plus(150 + random.nextInt(450));
        }
    }
}
