package org.umbermount.control;

import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.umbermount.kernel.Clock;
import org.umbermount.kernel.ConfigurationRevision;
import org.umbermount.kernel.DaemonAddress;
import org.umbermount.kernel.Messenger;
import org.umbermount.kernel.Metrics;
import org.umbermount.kernel.RandomNumbers;
import org.umbermount.storage.DiskWriter;

/**
 * One member of the chain that holds the configuration, and one voter on its views: the face of the parts that do the
 * work. Invariant: whatever may change {@link ReplicaStorage} goes through {@link DurableState#serially}, one at a time.
 */
public final class Replica {
    private static final Logger LOG = LoggerFactory.getLogger("control");
    private static final long RESEND_MS = 200;

    /** How far this daemon's memory can be relied on. */
    public enum Standing {
        /** Without memory; reads others before it votes. */
        RECOVERING,
        /** Not among the voters; follows them. */
        LEARNER,
        /** Votes. */
        MEMBER
    }

    /** What became of a submitted configuration. */
    public enum Verdict {
        TAKEN,
        STALE,
        NOT_HIGHER,
        ELSEWHERE
    }

    /** A promise as the proposer sees it. */
    record Promise(
            Voter voter,
            ConfigurationState state,
            Ballot acceptedBallot,
            Proposal accepted,
            OperationLogPosition mark) {}

    /** Hears what concerns proposals. */
    interface BallotListener {
        void promised(long view, Ballot ballot, Promise promise);

        void accepted(long view, Ballot ballot, Voter voter);

        void refused(long view, Ballot higher);
    }

    /** Hears what concerns requests that started at this daemon. */
    interface OriginListener {
        void verdict(RequestId id, Verdict verdict);

        void reading(RequestId id, ConfigurationState committed);

        void attested(RequestId id, ConfigurationRevision newest);
    }

    private final Clock clock;
    private final DurableState durable;
    private final CommitPoint commits;
    private final ViewMessages viewMessages;
    private final ChainMessages chainMessages;
    private final Membership membership;
    private final Acceptor acceptor;
    private final ViewConfirmation confirmation;
    private final ChainReplica chain;
    private final Recovery recovery;
    private BallotListener ballots;
    private OriginListener origins;

    /**
     * @param loaded what the disk held, or null
     * @param loadedCommitted whether the disk also says that the loaded state is committed
     * @param genesis the first view if this is the first start of the whole system and this daemon is in it
     * @param newcomer true on the first start of the whole system outside the first view
     * @param random where the first incarnation comes from that a daemon without its memory asks others with
     */
    Replica(
            Clock clock,
            Messenger messenger,
            DiskWriter room,
            Metrics metrics,
            ReplicaStorage loaded,
            boolean loadedCommitted,
            View genesis,
            boolean newcomer,
            Random random) {
        this.clock = clock;
        DaemonAddress self = messenger.self();
        StateIncrements increments = new StateIncrements();
        durable = new DurableState(
                clock, room, metrics, increments, initial(loaded, genesis, newcomer, random), loaded != null);
        commits = new CommitPoint(room);
        viewMessages = new ViewMessages(clock, messenger);
        chainMessages = new ChainMessages(clock, messenger);
        DroppedMessages dropped = new DroppedMessages(metrics);
        membership = new Membership(self, durable, commits, viewMessages, dropped);
        acceptor = new Acceptor(durable, membership, viewMessages, dropped);
        confirmation = new ViewConfirmation(self, durable, membership, commits, chainMessages, dropped);
        chain = new ChainReplica(
                self, clock, durable, membership, commits, confirmation, chainMessages, dropped, increments, metrics);
        recovery = new Recovery(self, clock, durable, membership, viewMessages, dropped);
        membership.listen(new ViewChange());
        viewMessages.open(new ViewHandler());
        chainMessages.open(new ChainHandler());
        begin(loaded, loadedCommitted, genesis, newcomer);
    }

    private static ReplicaStorage initial(ReplicaStorage loaded, View genesis, boolean newcomer, Random random) {
        if (loaded != null) {
            return loaded;
        }
        return ReplicaStorage.blank(genesis != null || newcomer ? 0 : RandomNumbers.life(random));
    }

    private void begin(ReplicaStorage loaded, boolean loadedCommitted, View genesis, boolean newcomer) {
        if (loaded != null) {
            membership.resume();
            if (loadedCommitted) {
                commits.restore(loaded.state());
            }
            LOG.info(
                    "Read from disk: {}, edition {}.",
                    loaded.view(),
                    loaded.state().edition());
        } else if (genesis != null) {
            membership.establish(genesis);
        } else {
            membership.startBlank(newcomer);
        }
    }

    void start() {
        clock.every(RESEND_MS, this::resend);
        resend();
    }

    private void resend() {
        if (membership.standing() == Standing.RECOVERING) {
            durable.serially(recovery::ask);
        } else {
            chain.resend();
        }
    }

    void listen(BallotListener ballotListener, OriginListener originListener) {
        ballots = ballotListener;
        origins = originListener;
    }

    /** Sets what is kept beside the configuration. */
    public void accompany(CompanionState other) {
        membership.accompany(other);
    }

    /** The state kept beside the configuration under the same views: the operation records. */
    public CompanionState companion() {
        return membership.companion();
    }

    /** Whether this daemon may act in the chain of its view now; nothing may follow a promise that is on its way to disk. */
    public boolean acting() {
        return !durable.freezing() && membership.inChain();
    }

    /** Whether what is kept beside the configuration may change: not under a promise, and not without a memory. */
    public boolean mayMove() {
        return !durable.freezing()
                && standing() == Standing.MEMBER
                && !durable.memory().frozen();
    }

    /** Whether this voter has promised itself to the next view, or the promise is on its way to disk. */
    boolean promised() {
        return durable.freezing() || durable.memory().frozen();
    }

    /** Runs something once a majority, asked from now on, has confirmed the view; never if it has not. */
    public void whileInForce(Runnable then) {
        confirmation.whileInForce(then);
    }

    /** Asks a controller that is ahead for its view. */
    public void fetchFrom(DaemonAddress ahead) {
        fetch(ahead);
    }

    /** Told of each committed state, in rising order. */
    public void onCommit(Consumer<ConfigurationState> observer) {
        commits.observe(observer);
    }

    /** Adds an observer of each new view in force here. */
    public void onView(Consumer<View> observer) {
        membership.observe(observer);
    }

    /** Sets which controllers beside the voters are told of views and commits. */
    public void audience(List<DaemonAddress> controllers) {
        membership.audience(controllers);
    }

    /** The part that this daemon plays in its view. */
    public Standing standing() {
        return membership.standing();
    }

    /** The view in force here. */
    public View view() {
        return membership.view();
    }

    /** The newest state that is known here to be committed. */
    public ConfigurationState committed() {
        return commits.committed();
    }

    /** The committed configuration as read, or null before the first. */
    public Configuration regulations() {
        return commits.regulations();
    }

    /** The incarnation of this daemon's durable state: it rises when that has been lost. */
    public long incarnation() {
        return durable.memory().incarnation();
    }

    /** The newest revision on this daemon's disk, which need not be committed. */
    public ConfigurationRevision newestEdition() {
        return durable.memory().state().edition();
    }

    /** How long this voter has been frozen by a promise; 0 if it is not. */
    public long frozenMs() {
        return durable.frozenMs();
    }

    /** The newest incarnation known of a daemon. */
    long incarnationOf(DaemonAddress who) {
        return membership.incarnationOf(who);
    }

    Ballot promisedBallot() {
        return durable.memory().promised();
    }

    void sendPrepare(DaemonAddress to, long view, Ballot ballot) {
        viewMessages.sendPrepare(to, view, ballot);
    }

    void sendAccept(DaemonAddress to, long view, Ballot ballot, Proposal proposal) {
        viewMessages.sendAccept(to, view, ballot, proposal);
    }

    /** Brings an agreed view into force here and tells everyone. */
    void decided(Proposal proposal, String why) {
        durable.serially(() -> membership.decided(proposal, why));
    }

    /** Tells a controller of which a later incarnation is known here than the one that runs. */
    void compareIncarnations(FailureDetector.Peer peer) {
        long runs = peer.report().incarnation();
        if (runs < membership.incarnationOf(peer.daemonAddress()) && standing() != Standing.RECOVERING) {
            recovery.tell(peer.daemonAddress(), runs);
        }
    }

    /** Whether this voter holds the memory with which its view counts it: it has lost none since the view came into force. */
    boolean holdsMemoryOfView() {
        Voter own = view().fellow(membership.self());
        return own != null
                && standing() == Standing.MEMBER
                && own.incarnation() == durable.memory().incarnation();
    }

    /** Asks a controller for its view and state. */
    void fetch(DaemonAddress from) {
        membership.fetch(from);
    }

    /** Only the head of that one view may act on it; 0 is any view. */
    void sendSubmission(DaemonAddress to, RequestId id, long onlyIn, Order order, byte[] blob) {
        chainMessages.sendSubmission(to, id, onlyIn, order, blob);
    }

    void sendRead(DaemonAddress to, RequestId id) {
        chainMessages.sendRead(to, id);
    }

    void sendAttest(DaemonAddress to, RequestId id) {
        chainMessages.sendAttest(to, id);
    }

    /** What a change of views means for the parts. */
    private final class ViewChange implements Membership.Listener {
        @Override
        public void reset() {
            recovery.reset();
            chain.viewAdopted();
            confirmation.viewAdopted();
            commits.viewAdopted();
        }

        @Override
        public void inForce() {
            chain.begin();
        }
    }

    private final class ViewHandler implements ViewMessages.Handler {
        @Override
        public void prepare(DaemonAddress from, long view, Ballot ballot) {
            durable.serially(() -> acceptor.prepare(from, view, ballot));
        }

        @Override
        public void promise(long view, Ballot ballot, Promise promise, Map<DaemonAddress, Long> incarnations) {
            durable.serially(
                    () -> membership.learnIncarnations(incarnations, () -> ballots.promised(view, ballot, promise)));
        }

        @Override
        public void accept(DaemonAddress from, long view, Ballot ballot, Proposal proposal) {
            durable.serially(() -> acceptor.accept(from, view, ballot, proposal));
        }

        @Override
        public void accepted(long view, Ballot ballot, Voter voter, Map<DaemonAddress, Long> incarnations) {
            durable.serially(
                    () -> membership.learnIncarnations(incarnations, () -> ballots.accepted(view, ballot, voter)));
        }

        @Override
        public void refusal(long view, Ballot higher) {
            ballots.refused(view, higher);
        }

        @Override
        public void news(View view, ConfigurationState state, boolean isCommitted, ConfigurationState committed) {
            // What others have committed counts at once, also where this daemon's own disk hangs or refuses.
            commits.advance(committed);
            durable.serially(() -> membership.news(view, state, isCommitted));
        }

        @Override
        public void fetch(DaemonAddress from) {
            membership.sendNews(from);
        }

        @Override
        public void recover(DaemonAddress from, long incarnation) {
            durable.serially(() -> recovery.answer(from, incarnation));
        }

        @Override
        public void recovered(DaemonAddress from, long incarnation, Recovery.Reply reply) {
            durable.serially(() -> recovery.recovered(from, incarnation, reply));
        }
    }

    private final class ChainHandler implements ChainMessages.Handler {
        @Override
        public void submit(ChainReplica.Submission submission) {
            durable.serially(() -> chain.submit(submission));
        }

        @Override
        public void verdict(RequestId id, Verdict verdict) {
            origins.verdict(id, verdict);
        }

        @Override
        public void write(DaemonAddress from, ConfigurationState state, List<PendingReply> replies) {
            durable.serially(() -> chain.write(from, state, replies));
        }

        @Override
        public void increment(DaemonAddress from, StateIncrement increment, List<PendingReply> replies) {
            durable.serially(() -> chain.increment(from, increment, replies));
        }

        @Override
        public void stateWanted(DaemonAddress from, long view) {
            durable.serially(() -> chain.stateWanted(from, view));
        }

        @Override
        public void committed(DaemonAddress tail, long view, ConfigurationRevision edition, Digest digest) {
            chain.committedElsewhere(tail, view, edition, digest);
        }

        @Override
        public void read(DaemonAddress origin, RequestId id, boolean brief) {
            confirmation.read(origin, id, brief);
        }

        @Override
        public void reading(RequestId id, ConfigurationState committed) {
            origins.reading(id, committed);
        }

        @Override
        public void attested(RequestId id, ConfigurationRevision newest) {
            origins.attested(id, newest);
        }

        @Override
        public void confirm(DaemonAddress from, long nonce, long view) {
            durable.serially(() -> confirmation.attest(from, nonce, view));
        }

        @Override
        public void confirmed(DaemonAddress from, long nonce, long incarnation) {
            confirmation.confirmed(from, nonce, incarnation);
        }
    }
}
