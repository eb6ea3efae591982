package org.umbermount.archive;

import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.umbermount.kernel.Clock;
import org.umbermount.kernel.Edition;
import org.umbermount.kernel.Imprint;
import org.umbermount.kernel.Postbag;
import org.umbermount.kernel.RandomNumbers;
import org.umbermount.kernel.Tally;
import org.umbermount.stacks.StackRoom;

/**
 * One member of the chain that holds the configuration, and one voter on its views: the face of the parts that do the
 * work. Invariant: whatever may change {@link Memory} goes through {@link DurableState#serially}, one at a time.
 */
public final class Replica {
    private static final Logger LOG = LoggerFactory.getLogger("archive");
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
        TAKEN, STALE, NOT_HIGHER, ELSEWHERE
    }

    /** A promise as the proposer sees it. */
    record Promise(Voter voter, ConfigurationState state, Ballot acceptedBallot, Proposal accepted, Bookmark mark) {
    }

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

        void attested(RequestId id, Edition newest);
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
    Replica(Clock clock, Postbag post, StackRoom room, Tally tally, Memory loaded,
            boolean loadedCommitted, View genesis, boolean newcomer, Random random) {
        this.clock = clock;
        Imprint self = post.self();
        StateIncrements increments = new StateIncrements();
        durable = new DurableState(clock, room, tally, increments, initial(loaded, genesis, newcomer, random),
                loaded != null);
        commits = new CommitPoint(room);
        viewMessages = new ViewMessages(clock, post);
        chainMessages = new ChainMessages(clock, post);
        DroppedMessages dropped = new DroppedMessages(tally);
        membership = new Membership(self, durable, commits, viewMessages, dropped);
        acceptor = new Acceptor(durable, membership, viewMessages, dropped);
        confirmation = new ViewConfirmation(self, durable, membership, commits, chainMessages, dropped);
        chain = new ChainReplica(self, clock, durable, membership, commits, confirmation, chainMessages, dropped,
                increments, tally);
        recovery = new Recovery(self, clock, durable, membership, viewMessages, dropped);
        membership.listen(new ViewChange());
        viewMessages.open(new ViewHandler());
        chainMessages.open(new ChainHandler());
        begin(loaded, loadedCommitted, genesis, newcomer);
    }

    private static Memory initial(Memory loaded, View genesis, boolean newcomer, Random random) {
        if (loaded != null) {
            return loaded;
        }
        return Memory.blank(genesis != null || newcomer ? 0 : RandomNumbers.life(random));
    }

    private void begin(Memory loaded, boolean loadedCommitted, View genesis, boolean newcomer) {
        if (loaded != null) {
            membership.resume();
            if (loadedCommitted) {
                commits.restore(loaded.state());
            }
            LOG.info("Read from disk: {}, edition {}.", loaded.view(), loaded.state().edition());
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
    public void accompany(Companion other) {
        membership.accompany(other);
    }

    public Companion companion() {
        return membership.companion();
    }

    /** Whether this daemon may act in the chain of its view now; nothing may follow a promise that is on its way to disk. */
    public boolean acting() {
        return !durable.freezing() && membership.inChain();
    }

    /** Whether what is kept beside the configuration may change: not under a promise, and not without a memory. */
    public boolean mayMove() {
        return !durable.freezing() && standing() == Standing.MEMBER && !durable.memory().frozen();
    }

    /** Whether this voter has promised itself to the next view, or the promise is on its way to disk. */
    boolean promised() {
        return durable.freezing() || durable.memory().frozen();
    }

    /** Runs something once a majority, asked from now on, has confirmed the view; never if it has not. */
    public void whileInForce(Runnable then) {
        confirmation.whileInForce(then);
    }

    /** Asks a registrar that is ahead for its view. */
    public void fetchFrom(Imprint ahead) {
        fetch(ahead);
    }

    /** Told of each committed state, in rising order. */
    public void onCommit(Consumer<ConfigurationState> observer) {
        commits.observe(observer);
    }

    public void onView(Consumer<View> observer) {
        membership.observe(observer);
    }

    /** Sets which registrars beside the voters are told of views and commits. */
    public void audience(List<Imprint> registrars) {
        membership.audience(registrars);
    }

    public Standing standing() {
        return membership.standing();
    }

    public View view() {
        return membership.view();
    }

    public ConfigurationState committed() {
        return commits.committed();
    }

    /** The committed configuration as read, or null before the first. */
    public Regulations regulations() {
        return commits.regulations();
    }

    public long incarnation() {
        return durable.memory().incarnation();
    }

    public Edition newestEdition() {
        return durable.memory().state().edition();
    }

    /** How long this voter has been frozen by a promise; 0 if it is not. */
    public long frozenMs() {
        return durable.frozenMs();
    }

    /** The newest incarnation known of a daemon. */
    long incarnationOf(Imprint who) {
        return membership.incarnationOf(who);
    }

    Ballot promisedBallot() {
        return durable.memory().promised();
    }

    void sendPrepare(Imprint to, long view, Ballot ballot) {
        viewMessages.sendPrepare(to, view, ballot);
    }

    void sendAccept(Imprint to, long view, Ballot ballot, Proposal proposal) {
        viewMessages.sendAccept(to, view, ballot, proposal);
    }

    /** Brings an agreed view into force here and tells everyone. */
    void decided(Proposal proposal, String why) {
        durable.serially(() -> membership.decided(proposal, why));
    }

    /** Tells a registrar of which a later incarnation is known here than the one that runs. */
    void compareIncarnations(FailureDetector.Peer peer) {
        long runs = peer.report().incarnation();
        if (runs < membership.incarnationOf(peer.imprint()) && standing() != Standing.RECOVERING) {
            recovery.tell(peer.imprint(), runs);
        }
    }

    /** Whether this voter holds the memory with which its view counts it: it has lost none since the view came into force. */
    boolean holdsMemoryOfView() {
        Voter own = view().fellow(membership.self());
        return own != null && standing() == Standing.MEMBER && own.incarnation() == durable.memory().incarnation();
    }

    /** Asks a registrar for its view and state. */
    void fetch(Imprint from) {
        membership.fetch(from);
    }

    /** Only the head of that one view may act on it; 0 is any view. */
    void sendSubmission(Imprint to, RequestId id, long onlyIn, Order order, byte[] blob) {
        chainMessages.sendSubmission(to, id, onlyIn, order, blob);
    }

    void sendRead(Imprint to, RequestId id) {
        chainMessages.sendRead(to, id);
    }

    void sendAttest(Imprint to, RequestId id) {
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
        public void prepare(Imprint from, long view, Ballot ballot) {
            durable.serially(() -> acceptor.prepare(from, view, ballot));
        }

        @Override
        public void promise(long view, Ballot ballot, Promise promise, Map<Imprint, Long> incarnations) {
            durable.serially(() -> membership.learnIncarnations(incarnations,
                    () -> ballots.promised(view, ballot, promise)));
        }

        @Override
        public void accept(Imprint from, long view, Ballot ballot, Proposal proposal) {
            durable.serially(() -> acceptor.accept(from, view, ballot, proposal));
        }

        @Override
        public void accepted(long view, Ballot ballot, Voter voter, Map<Imprint, Long> incarnations) {
            durable.serially(() -> membership.learnIncarnations(incarnations,
                    () -> ballots.accepted(view, ballot, voter)));
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
        public void fetch(Imprint from) {
            membership.sendNews(from);
        }

        @Override
        public void recover(Imprint from, long incarnation) {
            durable.serially(() -> recovery.answer(from, incarnation));
        }

        @Override
        public void recovered(Imprint from, long incarnation, Recovery.Reply reply) {
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
        public void write(Imprint from, ConfigurationState state, List<PendingReply> replies) {
            durable.serially(() -> chain.write(from, state, replies));
        }

        @Override
        public void increment(Imprint from, StateIncrement increment, List<PendingReply> replies) {
            durable.serially(() -> chain.increment(from, increment, replies));
        }

        @Override
        public void stateWanted(Imprint from, long view) {
            durable.serially(() -> chain.stateWanted(from, view));
        }

        @Override
        public void committed(Imprint tail, long view, Edition edition, Digest digest) {
            chain.committedElsewhere(tail, view, edition, digest);
        }

        @Override
        public void read(Imprint origin, RequestId id, boolean brief) {
            confirmation.read(origin, id, brief);
        }

        @Override
        public void reading(RequestId id, ConfigurationState committed) {
            origins.reading(id, committed);
        }

        @Override
        public void attested(RequestId id, Edition newest) {
            origins.attested(id, newest);
        }

        @Override
        public void confirm(Imprint from, long nonce, long view) {
            durable.serially(() -> confirmation.attest(from, nonce, view));
        }

        @Override
        public void confirmed(Imprint from, long nonce, long incarnation) {
            confirmation.confirmed(from, nonce, incarnation);
        }
    }
}
