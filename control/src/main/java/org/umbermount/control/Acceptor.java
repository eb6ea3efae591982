package org.umbermount.control;

import org.umbermount.kernel.DaemonAddress;

/**
 * A voter on the next view: the acceptor of single-decree Paxos. Invariant: only a voter with its memory votes, and only
 * on the view right after its own; once it has promised a ballot it neither promises nor accepts a lower one, and each
 * promise and acceptance is on disk before it is sent.
 */
final class Acceptor {
    private final DurableState durable;
    private final Membership membership;
    private final ViewMessages messages;
    private final DroppedMessages dropped;

    Acceptor(DurableState durable, Membership membership, ViewMessages messages, DroppedMessages dropped) {
        this.durable = durable;
        this.membership = membership;
        this.messages = messages;
        this.dropped = dropped;
    }

    void prepare(DaemonAddress from, long view, Ballot ballot) {
        if (!mayVote(from, view)) {
            return;
        }
        ReplicaStorage memory = durable.memory();
        if (ballot.compareTo(memory.promised()) < 0) {
            refuse(from, view);
        } else if (ballot.equals(memory.promised())) {
            promise(from, view, ballot);
        } else {
            durable.persistPromise(memory.promise(ballot), () -> promise(from, view, ballot));
        }
    }

    void accept(DaemonAddress from, long view, Ballot ballot, Proposal proposal) {
        if (!mayVote(from, view)) {
            return;
        }
        ReplicaStorage memory = durable.memory();
        if (ballot.compareTo(memory.promised()) < 0) {
            refuse(from, view);
        } else if (ballot.equals(memory.acceptedBallot())) {
            accepted(from, view, ballot);
        } else {
            durable.persist(memory.accept(ballot, proposal), () -> accepted(from, view, ballot));
        }
    }

    /** A proposer that is behind is told the view; one that is ahead is asked for it. */
    private boolean mayVote(DaemonAddress proposer, long view) {
        if (membership.standing() != Replica.Standing.MEMBER) {
            return false;
        }
        long number = durable.memory().view().number();
        if (number >= view) {
            dropped.count(DroppedMessages.Reason.OLD_VIEW);
            membership.sendNews(proposer);
            return false;
        }
        if (number < view - 1) {
            membership.fetch(proposer);
            return false;
        }
        return true;
    }

    private void refuse(DaemonAddress to, long view) {
        messages.sendRefusal(to, view, durable.memory().promised());
    }

    private void promise(DaemonAddress to, long view, Ballot ballot) {
        messages.sendPromise(
                to, view, ballot, durable.memory(), membership.companion().mark());
    }

    private void accepted(DaemonAddress to, long view, Ballot ballot) {
        messages.sendAccepted(to, view, ballot, durable.memory());
    }
}
