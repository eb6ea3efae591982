package org.umbermount.archive;

import java.util.ArrayList;
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
import org.umbermount.kernel.Almanac;
import org.umbermount.kernel.Imprint;
import org.umbermount.kernel.Moment;
import org.umbermount.kernel.Tally;

/**
 * Works out which view is wanted and, where it differs from the one in force, proposes it: one single-decree
 * Paxos per view number among the voters of the view before.
 */
final class Convener implements Custodian.BallotListener {
    private static final Logger LOG = LoggerFactory.getLogger("archive");
    static final int LARGEST_ELECTORATE = 9;
    private static final long LOOP_MS = 150;
    /** How long a returning or new daemon has to be well before it is taken in. */
    private static final long STEADY_MS = 1_500;
    /** How long a voter may be away before another takes its seat. */
    private static final long ABSENT_MS = 12_000;
    private static final long RANK_MS = 450;
    private static final long ATTEMPT_MS = 900;
    private static final long FROZEN_MS = 600;
    /** How long the members of the line have to come by the records that a view begins with. */
    private static final long GATHERING_MS = 4_000;

    private final Custodian custodian;
    private final RollCall rollCall;
    private final java.util.function.BooleanSupplier diskGood;
    private final Almanac almanac;
    private final Random random;
    private final Tally tally;
    private final Imprint self;
    private final String zone;
    private final int tolerated;
    private Moment wantedSince;
    private Moment unsettledSince;
    private Moment quietUntil = Moment.NEVER;
    private Attempt attempt;

    private static final class Attempt {
        final long view;
        final Ballot ballot;
        final Charter wanted;
        final String why;
        final Moment since;
        final Map<Imprint, Custodian.Promise> promises = new HashMap<>();
        final Set<Fellow> accepted = new HashSet<>();
        Proposal proposal;

        Attempt(long view, Ballot ballot, Charter wanted, String why, Moment since) {
            this.view = view;
            this.ballot = ballot;
            this.wanted = wanted;
            this.why = why;
            this.since = since;
        }
    }

    private record Wish(Charter charter, String why, boolean pressing) {
    }

    Convener(Custodian custodian, RollCall rollCall, java.util.function.BooleanSupplier diskGood, Almanac almanac,
            Random random, Tally tally, Imprint self, String zone, int tolerated) {
        this.zone = zone;
        this.tolerated = tolerated;
        this.custodian = custodian;
        this.rollCall = rollCall;
        this.diskGood = diskGood;
        this.almanac = almanac;
        this.random = random;
        this.tally = tally;
        this.self = self;
    }

    void start() {
        almanac.every(LOOP_MS, this::reconcile);
    }

    private boolean selfGood() {
        return diskGood.getAsBoolean() && !rollCall.isLeaving();
    }

    /** Well enough to be kept in the chain. */
    private boolean good(Imprint who) {
        return who.equals(self) ? selfGood() : rollCall.goodForMs(who) >= 0;
    }

    private boolean steady(Imprint who) {
        return who.equals(self) ? selfGood() && !rollCall.unsettled(STEADY_MS) : rollCall.goodForMs(who) >= STEADY_MS;
    }

    private boolean hasMemory(Imprint who) {
        if (who.equals(self)) {
            return custodian.standing() != Custodian.Standing.RECOVERING;
        }
        RollCall.Peer peer = rollCall.peer(who);
        return peer != null && peer.report() != null && peer.report().votes()
                && peer.report().incarnation() >= custodian.incarnationOf(who);
    }

    private long incarnation(Imprint who) {
        if (who.equals(self)) {
            return custodian.incarnation();
        }
        RollCall.Peer peer = rollCall.peer(who);
        long reported = peer == null || peer.report() == null ? 0 : peer.report().incarnation();
        return Math.max(reported, custodian.incarnationOf(who));
    }

    private Wish wish() {
        Charter now = custodian.charter();
        List<Fellow> electorate = new ArrayList<>();
        List<Imprint> chain = new ArrayList<>();
        String why = null;
        boolean pressing = false;
        for (Fellow f : now.electorate()) {
            long incarnation = incarnation(f.imprint());
            if (incarnation > f.incarnation() && good(f.imprint()) && hasMemory(f.imprint())) {
                electorate.add(new Fellow(f.imprint(), incarnation));
                why = f.imprint() + " came back with a new memory";
            } else {
                electorate.add(f);
            }
        }
        for (Imprint member : now.chain()) {
            if (rollCall.expected(member)) {
                chain.add(member);
            } else if (!good(member)) {
                why = member + " is silent, leaving or cannot write";
                pressing = true;
            } else if (incarnation(member) > now.fellow(member).incarnation() && !hasMemory(member)) {
                why = member + " lost its memory";
                pressing = true;
            } else {
                chain.add(member);
            }
        }
        Imprint candidate = candidate(now);
        if (!pressing && candidate != null && companionSettled(now)) {
            if (electorate.size() < LARGEST_ELECTORATE) {
                electorate.add(new Fellow(candidate, incarnation(candidate)));
                why = candidate + " joins";
            } else {
                for (int i = 0; i < electorate.size(); i++) {
                    Imprint absent = electorate.get(i).imprint();
                    if (rollCall.lostForMs(absent) > ABSENT_MS) {
                        electorate.set(i, new Fellow(candidate, incarnation(candidate)));
                        why = candidate + " takes the seat of " + absent;
                        break;
                    }
                }
            }
        }
        if (!pressing) {
            for (Fellow f : electorate) {
                if (!chain.contains(f.imprint()) && steady(f.imprint())
                        && (hasMemory(f.imprint()) || f.imprint().equals(candidate))) {
                    chain.add(f.imprint());
                    why = why == null ? f.imprint() + " is well again" : why;
                }
            }
        }
        if (!pressing && why != null) {
            // Neighbours in the chain share a zone where they can, so that records cross as few borders as possible.
            chain.sort(java.util.Comparator.comparing(this::zoneOf).thenComparing(java.util.Comparator.naturalOrder()));
        }
        Charter wanted = new Charter(now.number() + 1, electorate, chain);
        if (why == null || wanted.sameMembers(now) || chain.size() < wanted.leastChain(tolerated)) {
            return null;
        }
        return new Wish(wanted, why, pressing);
    }

    private String zoneOf(Imprint who) {
        RollCall.Peer peer = rollCall.peer(who);
        return who.equals(self) ? zone : peer == null || peer.report() == null ? "" : peer.report().zone();
    }

    /**
     * Whether everyone who keeps operation records holds all of them in this view. Voters may change only then:
     * the argument that some voter of the next view has every acknowledged record rests on it.
     */
    private boolean companionSettled(Charter now) {
        for (Imprint member : now.line(tolerated)) {
            RollCall.Peer peer = rollCall.peer(member);
            long settled = member.equals(self) ? custodian.companion().settledView()
                    : peer == null || peer.report() == null ? 0 : peer.report().settledView();
            if (settled < now.number()) {
                return false;
            }
        }
        return true;
    }

    private Imprint candidate(Charter now) {
        TreeSet<Imprint> found = new TreeSet<>();
        for (RollCall.Peer p : rollCall.peers()) {
            if (!now.votes(p.imprint()) && rollCall.goodForMs(p.imprint()) >= STEADY_MS) {
                found.add(p.imprint());
            }
        }
        if (!now.votes(self) && steady(self)) {
            found.add(self);
        }
        return found.isEmpty() ? null : found.first();
    }

    private void reconcile() {
        Moment now = almanac.now();
        if (attempt != null) {
            if (attempt.view <= custodian.charter().number()) {
                attempt = null;
            } else if (now.since(attempt.since) > ATTEMPT_MS) {
                attempt = null;
                quietUntil = now.plus(100 + random.nextInt(400));
                tally.count("archive.views.abandoned");
            } else {
                push();
            }
            return;
        }
        if (custodian.standing() != Custodian.Standing.MEMBER || !selfGood() || now.isBefore(quietUntil)
                || !rollCall.reachesMajority(custodian.charter()) || rollCall.unsettled(RollCall.SILENCE_MS)) {
            wantedSince = null;
            return;
        }
        Wish wish = wish();
        if (wish == null && custodian.frozenMs() > FROZEN_MS) {
            Charter c = custodian.charter();
            wish = new Wish(new Charter(c.number() + 1, c.electorate(), c.chain()), "a view change was not finished", true);
        }
        if (companionSettled(custodian.charter())) {
            unsettledSince = null;
        } else if (unsettledSince == null) {
            unsettledSince = now;
        } else if (wish == null && now.since(unsettledSince) > GATHERING_MS) {
            // Whoever held the records that this view begins with may be gone: the next one begins with what is there.
            Charter c = custodian.charter();
            wish = new Wish(new Charter(c.number() + 1, c.electorate(), c.chain()),
                    "the operation records that it begins with are not to be had", true);
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
        for (Fellow f : custodian.charter().electorate()) {
            if (f.imprint().compareTo(self) < 0 && good(f.imprint()) && hasMemory(f.imprint())) {
                rank++;
            }
        }
        return rank;
    }

    private void propose(Wish wish, Moment now) {
        long round = custodian.promisedBallot().round() + 1;
        unsettledSince = null;
        attempt = new Attempt(wish.charter().number(), new Ballot(round, self), wish.charter(), wish.why(), now);
        wantedSince = null;
        LOG.info("Proposing view {} because {}.", attempt.view, attempt.why);
        tally.count("archive.views.proposed");
        push();
    }

    /** Sends the current phase's message to the voters that have not answered. */
    private void push() {
        for (Fellow f : custodian.charter().electorate()) {
            if (attempt.proposal == null) {
                if (!attempt.promises.containsKey(f.imprint())) {
                    custodian.sendPrepare(f.imprint(), attempt.view, attempt.ballot);
                }
            } else if (attempt.accepted.stream().noneMatch(a -> a.imprint().equals(f.imprint()))) {
                custodian.sendAccept(f.imprint(), attempt.view, attempt.ballot, attempt.proposal);
            }
        }
    }

    /** Whether a vote comes from the newest incarnation known of its voter. */
    private boolean counts(Fellow voter) {
        return custodian.charter().votes(voter.imprint())
                && voter.incarnation() >= custodian.incarnationOf(voter.imprint());
    }

    @Override
    public void promised(long view, Ballot ballot, Custodian.Promise promise) {
        if (attempt == null || attempt.view != view || !attempt.ballot.equals(ballot) || attempt.proposal != null) {
            return;
        }
        attempt.promises.put(promise.voter().imprint(), promise);
        attempt.promises.values().removeIf(p -> !counts(p.voter()));
        if (attempt.promises.size() < custodian.charter().majority()) {
            return;
        }
        attempt.proposal = choose(attempt.promises.values(), attempt.wanted);
        push();
    }

    /**
     * What has to be proposed, given the promises of a majority: what was accepted under the highest ballot if
     * anything was; otherwise what is wanted, starting from the newest state that any of them holds.
     */
    static Proposal choose(Collection<Custodian.Promise> promises, Charter wanted) {
        Ballot best = Ballot.NONE;
        Proposal earlier = null;
        Accession newest = null;
        Bookmark mark = Bookmark.NONE;
        for (Custodian.Promise p : promises) {
            if (p.accepted() != null && p.acceptedBallot().compareTo(best) > 0) {
                best = p.acceptedBallot();
                earlier = p.accepted();
            }
            if (newest == null || p.state().isNewerThan(newest)) {
                newest = p.state();
            }
            if (p.mark().isBeyond(mark)) {
                mark = p.mark();
            }
        }
        return earlier != null ? earlier : new Proposal(wanted.withBase(mark), newest.inView(wanted.number()));
    }

    @Override
    public void accepted(long view, Ballot ballot, Fellow voter) {
        if (attempt == null || attempt.view != view || !attempt.ballot.equals(ballot) || attempt.proposal == null) {
            return;
        }
        attempt.accepted.add(voter);
        attempt.accepted.removeIf(a -> !counts(a));
        if (attempt.accepted.size() >= custodian.charter().majority()) {
            Proposal proposal = attempt.proposal;
            String why = attempt.why;
            attempt = null;
            custodian.decided(proposal, why);
        }
    }

    @Override
    public void refused(long view, Ballot higher) {
        if (attempt != null && attempt.view == view && higher.compareTo(attempt.ballot) > 0) {
            attempt = null;
            quietUntil = almanac.now().plus(150 + random.nextInt(450));
        }
    }
}
