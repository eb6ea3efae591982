package org.umbermount.archive;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.umbermount.kernel.Almanac;
import org.umbermount.kernel.Edition;
import org.umbermount.kernel.FaultException;
import org.umbermount.kernel.Imprint;
import org.umbermount.kernel.Moment;
import org.umbermount.kernel.Postbag;
import org.umbermount.kernel.Script;
import org.umbermount.kernel.Tally;
import org.umbermount.stacks.StackRoom;

/**
 * One member of the chain that holds the configuration, and one voter on its views. Every change of
 * {@link Memory} is on disk before anything is said that rests on it; changes are made one at a time.
 */
public final class Custodian {
    private static final Logger LOG = LoggerFactory.getLogger("archive");
    private static final long RESEND_MS = 200;
    private static final int BACKLOG = 512;
    private static final long REBUILD_MS = 6_000;
    private static final int SUPERSEDED = 8;

    /** How far this daemon's memory can be relied on. */
    public enum Standing {
        /** Without memory; reads others before it votes. */
        RECOVERING,
        /** Not among the voters; follows them. */
        LEARNER,
        /** Votes. */
        MEMBER
    }

    private enum View {
        PREPARE, PROMISE, ACCEPT, ACCEPTED, REFUSAL, NEWS, FETCH, RECOVER, RECOVERED
    }

    private enum Chain {
        SUBMIT, VERDICT, WRITE, COMMITTED, READ, READING, CONFIRM, CONFIRMED, ATTEST, ATTESTED
    }

    /** What became of a submitted configuration. */
    public enum Verdict {
        TAKEN, STALE, NOT_HIGHER, ELSEWHERE
    }

    /** A promise as the proposer sees it. */
    record Promise(Fellow voter, Accession state, Ballot acceptedBallot, Proposal accepted, Bookmark mark) {
    }

    /** Who is still owed an answer for an edition. */
    private record Owed(long id, Imprint origin, Edition edition) {
        void write(Script.Writer out) {
            out.num(id).imprint(origin).num(edition.value());
        }

        static Owed read(Script.Reader in) throws Script.UnreadableException {
            return new Owed(in.num(), in.imprint(), new Edition(in.num()));
        }
    }

    /** Hears what concerns proposals. */
    interface BallotListener {
        void promised(long view, Ballot ballot, Promise promise);

        void accepted(long view, Ballot ballot, Fellow voter);

        void refused(long view, Ballot higher);
    }

    /** Hears what concerns requests that started at this daemon. */
    interface OriginListener {
        void verdict(long id, Verdict verdict);

        void reading(long id, Accession committed);

        void attested(long id, Edition newest);
    }

    private final Almanac almanac;
    private final Postbag post;
    private final StackRoom room;
    private final Tally tally;
    private final ArrayDeque<Runnable> backlog = new ArrayDeque<>();
    private final Map<Long, Owed> owed = new LinkedHashMap<>();
    private final List<Consumer<Accession>> commitObservers = new ArrayList<>();
    private final List<Consumer<Charter>> charterObservers = new ArrayList<>();
    private final Map<Long, Confirmation> confirmations = new HashMap<>();
    private Memory memory;
    private boolean busy;
    private boolean onDisk;
    private Standing standing;
    private Accession committed = Accession.NONE;
    private BallotListener ballots;
    private OriginListener origins;
    private Moment frozenSince;
    private boolean freezing;
    private boolean rebuilding;
    private Companion companion = Companion.NONE;
    private Edition readEdition = Edition.NONE;
    private Regulations regulations;
    private List<Imprint> audience = List.of();
    private long nextNonce;
    private final Map<Imprint, Recovered> recovered = new HashMap<>();
    /** States that a newer one has replaced here before word came that they were committed. */
    private final ArrayDeque<Accession> superseded = new ArrayDeque<>();

    private record Recovered(Charter charter, Accession state, Ballot promised, Ballot acceptedBallot,
            Proposal accepted, Map<Imprint, Long> incarnations, Bookmark mark) {
    }

    private static final class Confirmation {
        final Imprint origin;
        final long id;
        final long view;
        final Accession reading;
        final boolean brief;
        /** What a submission comes to if this view is still in force; null for a read. */
        final Verdict verdict;
        final Set<Imprint> agreed = new HashSet<>();

        Confirmation(Imprint origin, long id, long view, Accession reading, boolean brief, Verdict verdict) {
            this.brief = brief;
            this.verdict = verdict;
            this.origin = origin;
            this.id = id;
            this.view = view;
            this.reading = reading;
        }
    }

    /**
     * @param loaded what the disk held, or null
     * @param loadedCommitted whether the disk also says that the loaded state is committed
     * @param genesis the first view if this is the first start of the whole system and this daemon is in it
     * @param newcomer true on the first start of the whole system outside the first view
     */
    Custodian(Almanac almanac, Postbag post, StackRoom room, Tally tally, Random random, Memory loaded,
            boolean loadedCommitted, Charter genesis, boolean newcomer) {
        this.almanac = almanac;
        this.post = post;
        this.room = room;
        this.tally = tally;
        this.nextNonce = random.nextLong() >>> 1;
        post.subscribe(Postbag.Topic.CHARTER, this::receiveCharter);
        post.subscribe(Postbag.Topic.CUSTODY, this::receiveCustody);
        if (loaded != null) {
            memory = loaded;
            onDisk = true;
            standing = standingIn(loaded);
            if (loadedCommitted) {
                // Committed before the stop; that no later one is, only others can say.
                committed = loaded.state().inView(0);
            }
            LOG.info("Read from disk: {}, edition {}.", loaded.charter(), loaded.state().edition());
        } else if (genesis != null) {
            memory = Memory.blank(0);
            standing = Standing.LEARNER;
            persist(memory.adopt(genesis, Accession.NONE.inView(genesis.number())), () -> adopted("the first start"));
        } else {
            memory = Memory.blank(newcomer ? 0 : almanac.wallMillis());
            standing = newcomer ? Standing.LEARNER : Standing.RECOVERING;
            persist(memory, () -> { });
        }
    }

    void start() {
        almanac.every(RESEND_MS, this::resend);
        resend();
    }

    void listen(BallotListener ballotListener, OriginListener originListener) {
        ballots = ballotListener;
        origins = originListener;
    }

    /** Sets what is kept beside the configuration. */
    public void accompany(Companion other) {
        companion = other;
    }

    public Companion companion() {
        return companion;
    }

    /** Whether this daemon may act in the chain of its view now; nothing may follow a promise that is on its way to disk. */
    public boolean acting() {
        return !freezing && inChain();
    }

    /** Whether what is kept beside the configuration may change: not under a promise, and not without a memory. */
    public boolean mayMove() {
        return !freezing && standing == Standing.MEMBER && !memory.frozen();
    }

    /** Whether this voter has promised itself to the next view, or the promise is on its way to disk. */
    boolean promised() {
        return freezing || memory.frozen();
    }

    /** Asks a registrar that is ahead for its view. */
    public void fetchFrom(Imprint ahead) {
        fetch(ahead);
    }

    /** Told of each committed state, in rising order. */
    public void onCommit(Consumer<Accession> observer) {
        commitObservers.add(observer);
    }

    public void onCharter(Consumer<Charter> observer) {
        charterObservers.add(observer);
    }

    /** Sets which registrars beside the voters are told of views and commits. */
    public void audience(List<Imprint> registrars) {
        audience = List.copyOf(registrars);
    }

    public Standing standing() {
        return standing;
    }

    public Charter charter() {
        return memory.charter();
    }

    public Accession committed() {
        return committed;
    }

    /** The committed configuration as read, or null before the first. */
    public Regulations regulations() {
        if (!committed.edition().equals(readEdition)) {
            try {
                regulations = committed.edition().equals(Edition.NONE) ? null : Regulations.readTaken(committed.blob());
            } catch (FaultException e) {
                LOG.error("Edition {} is committed but cannot be read: {}", committed.edition(), e.getMessage());
            }
            readEdition = committed.edition();
        }
        return regulations;
    }

    public long incarnation() {
        return memory.incarnation();
    }

    public Edition newestEdition() {
        return memory.state().edition();
    }

    /** How long this voter has been frozen by a promise; 0 if it is not. */
    public long frozenMs() {
        return memory.frozen() && frozenSince != null ? almanac.now().since(frozenSince) : 0;
    }

    /** The newest incarnation known of a daemon. */
    long incarnationOf(Imprint who) {
        return who.equals(post.self()) ? memory.incarnation() : memory.incarnationOf(who);
    }

    Ballot promisedBallot() {
        return memory.promised();
    }

    // ---- memory ----

    private void serially(Runnable change) {
        if (!busy) {
            change.run();
        } else if (backlog.size() < BACKLOG) {
            backlog.add(change);
        } else {
            tally.count("archive.backlog.dropped");
        }
    }

    private void persist(Memory next, Runnable then) {
        if (busy) {
            throw new IllegalStateException("Two changes of memory at once.");
        }
        busy = true;
        Memory old = memory;
        room.write(next.changesSince(onDisk ? old : null), safe -> {
            busy = false;
            freezing = false;
            if (safe) {
                onDisk = true;
                memory = next;
                if (!next.frozen()) {
                    frozenSince = null;
                } else if (frozenSince == null) {
                    frozenSince = almanac.now();
                }
                then.run();
            } else {
                tally.count("archive.writes.refused");
                if (!onDisk && old.charter().number() == 0) {
                    almanac.after(RESEND_MS, () -> serially(() -> persist(next, then)));
                }
            }
            while (!busy && !backlog.isEmpty()) {
                backlog.poll().run();
            }
        });
    }

    private Standing standingIn(Memory m) {
        Fellow me = m.charter().fellow(post.self());
        if (me == null) {
            return m.charter().number() == 0 ? Standing.RECOVERING : Standing.LEARNER;
        }
        return me.incarnation() == m.incarnation() || m.recoveredFor() == m.charter().number()
                ? Standing.MEMBER : Standing.RECOVERING;
    }

    private void adopted(String why) {
        Standing before = standing;
        standing = standingIn(memory);
        if (standing == Standing.RECOVERING && before != Standing.RECOVERING) {
            recovered.clear();
        }
        owed.clear();
        confirmations.clear();
        superseded.clear();
        LOG.info("In force after {}: {}; edition {}; {}.", why, memory.charter(), memory.state().edition(),
                standing.name().toLowerCase(java.util.Locale.ROOT));
        for (Consumer<Charter> o : charterObservers) {
            o.accept(memory.charter());
        }
        companion.adopted(memory.charter());
        // Only the head starts: a tail that took this view from news may hold a state that those before it do not.
        if (post.self().equals(memory.charter().head())) {
            forwardState();
        }
    }

    // ---- views ----

    private void receiveCharter(Imprint from, byte[] body) throws Script.UnreadableException {
        Script.Reader in = Script.read(body);
        int kind = (int) in.num();
        if (kind < 0 || kind >= View.values().length) {
            throw new Script.UnreadableException("an unknown message about views", null);
        }
        switch (View.values()[kind]) {
            case PREPARE -> {
                long view = in.num();
                Ballot ballot = Ballot.read(in);
                serially(() -> prepare(from, view, ballot));
            }
            case PROMISE -> {
                long view = in.num();
                Ballot ballot = Ballot.read(in);
                Fellow voter = new Fellow(from, in.num());
                Accession state = Accession.read(in);
                Ballot acceptedBallot = Ballot.read(in);
                Proposal accepted = in.flag() ? Proposal.read(in) : null;
                Map<Imprint, Long> crashes = Memory.readIncarnations(in);
                Bookmark mark = Bookmark.read(in);
                serially(() -> learnIncarnations(crashes,
                        () -> ballots.promised(view, ballot, new Promise(voter, state, acceptedBallot, accepted, mark))));
            }
            case ACCEPT -> {
                long view = in.num();
                Ballot ballot = Ballot.read(in);
                Proposal proposal = Proposal.read(in);
                serially(() -> accept(from, view, ballot, proposal));
            }
            case ACCEPTED -> {
                long view = in.num();
                Ballot ballot = Ballot.read(in);
                Fellow voter = new Fellow(from, in.num());
                Map<Imprint, Long> crashes = Memory.readIncarnations(in);
                serially(() -> learnIncarnations(crashes, () -> ballots.accepted(view, ballot, voter)));
            }
            case REFUSAL -> ballots.refused(in.num(), Ballot.read(in));
            case NEWS -> {
                Charter charter = Charter.read(in);
                Accession state = Accession.read(in);
                boolean isCommitted = in.flag();
                // What others have committed counts at once, also where this daemon's own disk hangs or refuses.
                noteCommitted(isCommitted ? state : Accession.read(in));
                serially(() -> news(charter, state, isCommitted));
            }
            case FETCH -> sendNews(from);
            case RECOVER -> {
                long incarnation = in.num();
                serially(() -> recover(from, incarnation));
            }
            case RECOVERED -> {
                long incarnation = in.num();
                Recovered reply = new Recovered(Charter.read(in), Accession.read(in), Ballot.read(in),
                        Ballot.read(in), in.flag() ? Proposal.read(in) : null, Memory.readIncarnations(in),
                        Bookmark.read(in));
                serially(() -> recoveredReply(from, incarnation, reply));
            }
            default -> throw new IllegalStateException();
        }
    }

    private static Script.Writer view(View kind) {
        return Script.write().num(kind.ordinal());
    }

    private void sendView(Imprint to, Script.Writer out) {
        byte[] body = out.done();
        if (to.equals(post.self())) {
            almanac.execute(() -> {
                try {
                    receiveCharter(to, body);
                } catch (Script.UnreadableException e) {
                    throw new IllegalStateException(e);
                }
            });
        } else {
            post.send(to, Postbag.Topic.CHARTER, body);
        }
    }

    void sendPrepare(Imprint to, long view, Ballot ballot) {
        Script.Writer out = view(View.PREPARE).num(view);
        ballot.write(out);
        sendView(to, out);
    }

    void sendAccept(Imprint to, long view, Ballot ballot, Proposal proposal) {
        Script.Writer out = view(View.ACCEPT).num(view);
        ballot.write(out);
        proposal.write(out);
        sendView(to, out);
    }

    /** Brings an agreed view into force here and tells everyone. */
    void decided(Proposal proposal, String why) {
        serially(() -> {
            if (proposal.charter().number() <= memory.charter().number()) {
                return;
            }
            persist(memory.adopt(proposal.charter(), proposal.base()), () -> {
                adopted(why);
                broadcastNews(proposal);
            });
        });
    }

    private void broadcastNews(Proposal proposal) {
        Set<Imprint> targets = new HashSet<>(audience);
        for (Fellow f : proposal.charter().electorate()) {
            targets.add(f.imprint());
        }
        for (Imprint target : targets) {
            if (!target.equals(post.self())) {
                sendNews(target);
            }
        }
    }

    private void sendNews(Imprint to) {
        if (memory.charter().number() == 0) {
            return;
        }
        Script.Writer out = view(View.NEWS);
        memory.charter().write(out);
        // Outside the chain only what is committed may be passed on as such.
        boolean isCommitted = committed.edition().equals(memory.state().edition());
        memory.state().write(out);
        out.flag(isCommitted);
        if (!isCommitted) {
            committed.write(out);
        }
        sendView(to, out);
    }

    /** Asks a registrar for its view and state. */
    void fetch(Imprint from) {
        sendView(from, view(View.FETCH));
    }

    private boolean mayVote(Imprint proposer, long view) {
        if (standing != Standing.MEMBER) {
            return false;
        }
        if (memory.charter().number() >= view) {
            sendNews(proposer);
            return false;
        }
        if (memory.charter().number() < view - 1) {
            fetch(proposer);
            return false;
        }
        return true;
    }

    private void prepare(Imprint from, long view, Ballot ballot) {
        if (!mayVote(from, view)) {
            return;
        }
        if (ballot.compareTo(memory.promised()) < 0) {
            refuse(from, view);
        } else if (ballot.equals(memory.promised())) {
            promise(from, view, ballot);
        } else {
            freezing = true;
            persist(memory.promise(ballot), () -> promise(from, view, ballot));
        }
    }

    private void refuse(Imprint to, long view) {
        Script.Writer out = view(View.REFUSAL).num(view);
        memory.promised().write(out);
        sendView(to, out);
    }

    private void promise(Imprint to, long view, Ballot ballot) {
        Script.Writer out = view(View.PROMISE).num(view);
        ballot.write(out);
        out.num(memory.incarnation());
        memory.state().write(out);
        memory.writeAccepted(out);
        memory.writeIncarnations(out);
        companion.mark().write(out);
        sendView(to, out);
    }

    private void accept(Imprint from, long view, Ballot ballot, Proposal proposal) {
        if (!mayVote(from, view)) {
            return;
        }
        if (ballot.compareTo(memory.promised()) < 0) {
            refuse(from, view);
            return;
        }
        Runnable answer = () -> {
            Script.Writer out = view(View.ACCEPTED).num(view);
            ballot.write(out);
            out.num(memory.incarnation());
            memory.writeIncarnations(out);
            sendView(from, out);
        };
        if (ballot.equals(memory.acceptedBallot())) {
            answer.run();
        } else {
            persist(memory.accept(ballot, proposal), answer);
        }
    }

    private void news(Charter charter, Accession state, boolean isCommitted) {
        if (charter.number() < memory.charter().number() || state.view() != charter.number()) {
            return;
        }
        if (charter.number() > memory.charter().number()) {
            persist(memory.adopt(charter, state), () -> adopted("news of a newer view"));
        } else if (isCommitted && state.isNewerThan(memory.state()) && !charter.chains(post.self())) {
            // A follower keeps what the chain has committed. Chain members change only by writes of the chain.
            persist(memory.withState(state), () -> { });
        }
    }

    private void learnIncarnations(Map<Imprint, Long> crashes, Runnable then) {
        Memory next = memory.withIncarnations(crashes);
        if (next.incarnations().equals(memory.incarnations())) {
            then.run();
        } else {
            persist(next, then);
        }
    }

    // ---- a voter without memory ----

    private void askForRecovery() {
        Set<Imprint> targets = new HashSet<>(audience);
        for (Fellow f : memory.charter().electorate()) {
            targets.add(f.imprint());
        }
        targets.remove(post.self());
        for (Imprint target : targets) {
            sendView(target, view(View.RECOVER).num(memory.incarnation()));
        }
    }

    private void recover(Imprint who, long incarnation) {
        if (standing == Standing.RECOVERING || memory.charter().number() == 0) {
            return;
        }
        Runnable answer = () -> {
            Script.Writer out = view(View.RECOVERED).num(incarnation);
            memory.charter().write(out);
            memory.state().write(out);
            memory.promised().write(out);
            memory.writeAccepted(out);
            memory.writeIncarnations(out);
            companion.mark().write(out);
            sendView(who, out);
        };
        if (memory.incarnationOf(who) >= incarnation) {
            answer.run();
        } else {
            persist(memory.withIncarnation(who, incarnation), answer);
        }
    }

    private void recoveredReply(Imprint from, long incarnation, Recovered reply) {
        if (standing != Standing.RECOVERING || incarnation != memory.incarnation() || rebuilding) {
            return;
        }
        long known = Math.max(reply.incarnations().getOrDefault(post.self(), 0L),
                reply.charter().votes(post.self()) ? reply.charter().fellow(post.self()).incarnation() : 0L);
        if (known > memory.incarnation()) {
            // Someone has met a later life of this daemon: choose a number above it and read again.
            recovered.clear();
            Memory m = memory;
            persist(new Memory(known + 1, 0, m.charter(), m.state(), m.promised(), m.acceptedBallot(), m.accepted(),
                    m.incarnations()), this::askForRecovery);
            return;
        }
        recovered.put(from, reply);
        Charter newest = Charter.NONE;
        for (Recovered r : recovered.values()) {
            if (r.charter().number() > newest.number()) {
                newest = r.charter();
            }
        }
        if (newest.number() < memory.charter().number()) {
            return;
        }
        int reads = 0;
        for (Imprint who : recovered.keySet()) {
            if (newest.votes(who)) {
                reads++;
            }
        }
        if (reads < newest.recoveryReads()) {
            return;
        }
        finishRecovery(newest);
    }

    private void finishRecovery(Charter newest) {
        Accession state = Accession.NONE;
        Ballot promised = Ballot.NONE;
        Ballot acceptedBallot = Ballot.NONE;
        Proposal accepted = null;
        Memory next = memory;
        for (Recovered r : recovered.values()) {
            next = next.withIncarnations(r.incarnations());
            if (r.charter().number() != newest.number()) {
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
        Bookmark furthest = Bookmark.NONE;
        for (Recovered r : recovered.values()) {
            if (r.mark().isBeyond(furthest)) {
                furthest = r.mark();
            }
        }
        Memory whole = next.adopt(newest, state).recovered(newest.number()).withAcceptor(promised, acceptedBallot, accepted);
        int reads = recovered.size();
        rebuilding = true;
        boolean[] over = new boolean[1];
        almanac.after(REBUILD_MS, () -> {
            if (!over[0]) {
                // The one that was asked is lost itself: read the others again.
                over[0] = true;
                rebuilding = false;
                recovered.clear();
            }
        });
        companion.rebuild(furthest, () -> {
            if (over[0]) {
                return;
            }
            over[0] = true;
            serially(() -> persist(whole, () -> {
                rebuilding = false;
                recovered.clear();
                LOG.info("Memory rebuilt as incarnation {} from {} others.", memory.incarnation(), reads);
                adopted("reading others");
            }));
        });
    }

    // ---- the chain ----

    private void receiveCustody(Imprint from, byte[] body) throws Script.UnreadableException {
        Script.Reader in = Script.read(body);
        int kind = (int) in.num();
        if (kind < 0 || kind >= Chain.values().length) {
            throw new Script.UnreadableException("an unknown message of the chain", null);
        }
        switch (Chain.values()[kind]) {
            case SUBMIT -> {
                long id = in.num();
                Edition match = new Edition(in.num());
                Edition edition = new Edition(in.num());
                long hash = in.num();
                byte[] blob = in.bytes();
                serially(() -> submit(from, id, match, edition, hash, blob));
            }
            case VERDICT -> {
                long id = in.num();
                int verdict = (int) in.num();
                if (verdict < 0 || verdict >= Verdict.values().length) {
                    throw new Script.UnreadableException("an unknown verdict", null);
                }
                origins.verdict(id, Verdict.values()[verdict]);
            }
            case WRITE -> {
                Accession state = Accession.read(in);
                List<Owed> debts = in.list(Owed::read);
                serially(() -> write(from, state, debts));
            }
            case COMMITTED -> {
                long view = in.num();
                Edition edition = new Edition(in.num());
                committedElsewhere(from, view, edition, in.num());
            }
            case READ -> read(from, in.num(), false);
            case ATTEST -> read(from, in.num(), true);
            case ATTESTED -> origins.attested(in.num(), new Edition(in.num()));
            case READING -> origins.reading(in.num(), Accession.read(in));
            case CONFIRM -> {
                long nonce = in.num();
                long view = in.num();
                serially(() -> {
                    if (standing == Standing.MEMBER && memory.charter().number() == view && !memory.frozen()) {
                        sendChain(from, chain(Chain.CONFIRMED).num(nonce).num(memory.incarnation()));
                    }
                });
            }
            case CONFIRMED -> confirmed(from, in.num(), in.num());
            default -> throw new IllegalStateException();
        }
    }

    private static Script.Writer chain(Chain kind) {
        return Script.write().num(kind.ordinal());
    }

    private void sendChain(Imprint to, Script.Writer out) {
        byte[] body = out.done();
        if (to.equals(post.self())) {
            almanac.execute(() -> {
                try {
                    receiveCustody(to, body);
                } catch (Script.UnreadableException e) {
                    throw new IllegalStateException(e);
                }
            });
        } else {
            post.send(to, Postbag.Topic.CUSTODY, body);
        }
    }

    void sendSubmission(Imprint to, long id, Edition match, Edition edition, long hash, byte[] blob) {
        sendChain(to, chain(Chain.SUBMIT).num(id).num(match.value()).num(edition.value()).num(hash).bytes(blob));
    }

    void sendRead(Imprint to, long id) {
        sendChain(to, chain(Chain.READ).num(id));
    }

    void sendAttest(Imprint to, long id) {
        sendChain(to, chain(Chain.ATTEST).num(id));
    }

    /** Whether the chain may be acted in: this voter is in it, not frozen, and no member lost its memory since. */
    private boolean inChain() {
        if (standing != Standing.MEMBER || memory.frozen() || !memory.charter().chains(post.self())) {
            return false;
        }
        for (Imprint member : memory.charter().chain()) {
            if (memory.charter().fellow(member).incarnation() < incarnationOf(member)) {
                return false;
            }
        }
        return true;
    }

    private void submit(Imprint origin, long id, Edition match, Edition edition, long hash, byte[] blob) {
        if (!inChain() || !post.self().equals(memory.charter().head())) {
            answer(origin, id, Verdict.ELSEWHERE);
            return;
        }
        Accession state = memory.state();
        boolean settled = committed.edition().equals(state.edition());
        if (committed.hasTaken(edition, hash)) {
            answer(origin, id, Verdict.TAKEN);
        } else if (state.hasTaken(edition, hash)) {
            owed.put(id, new Owed(id, origin, edition));
            forwardState();
        } else if (!match.equals(state.edition())) {
            if (settled) {
                confirm(new Confirmation(origin, id, memory.charter().number(), committed, false, Verdict.STALE));
            }
        } else if (!edition.isAfter(state.edition())) {
            if (settled) {
                confirm(new Confirmation(origin, id, memory.charter().number(), committed, false, Verdict.NOT_HIGHER));
            }
        } else if (blob.length == 0) {
            // A question only: its sender knows no version to build on.
            answer(origin, id, Verdict.ELSEWHERE);
        } else {
            replaceState(state.take(edition, blob, hash), () -> {
                owed.put(id, new Owed(id, origin, edition));
                forwardState();
            });
        }
    }

    private void answer(Imprint origin, long id, Verdict verdict) {
        sendChain(origin, chain(Chain.VERDICT).num(id).num(verdict.ordinal()));
    }

    /** Takes a newer state of the same view; the one before may be committed all the same. */
    private void replaceState(Accession next, Runnable then) {
        Accession before = memory.state();
        persist(memory.withState(next), () -> {
            if (before.edition().isAfter(committed.edition())) {
                superseded.add(before);
                if (superseded.size() > SUPERSEDED) {
                    superseded.poll();
                }
            }
            then.run();
        });
    }

    /** Passes the newest state on, or commits it at the tail. */
    private void forwardState() {
        if (!inChain() || memory.state().edition().equals(Edition.NONE)) {
            return;
        }
        Imprint next = memory.charter().successor(post.self());
        if (next == null) {
            commitHere();
            return;
        }
        Script.Writer out = chain(Chain.WRITE);
        memory.state().write(out);
        out.list(owed.values(), (o, d) -> d.write(o));
        sendChain(next, out);
    }

    private void write(Imprint from, Accession state, List<Owed> debts) {
        if (state.view() > memory.charter().number()) {
            fetch(from);
            return;
        }
        if (!inChain() || state.view() != memory.charter().number()
                || !post.self().equals(memory.charter().successor(from))) {
            return;
        }
        Runnable pass = () -> {
            owed.clear();
            for (Owed debt : debts) {
                owed.put(debt.id(), debt);
            }
            forwardState();
        };
        if (state.isNewerThan(memory.state())) {
            replaceState(state, pass);
        } else if (state.edition().equals(memory.state().edition())) {
            pass.run();
        }
    }

    private void commitHere() {
        Accession state = memory.state();
        long hash = state.newestHash();
        Set<Imprint> targets = new HashSet<>(audience);
        targets.addAll(memory.charter().chain());
        targets.remove(post.self());
        for (Owed debt : owed.values()) {
            answer(debt.origin(), debt.id(), Verdict.TAKEN);
        }
        owed.clear();
        for (Imprint target : targets) {
            sendChain(target, chain(Chain.COMMITTED).num(state.view()).num(state.edition().value()).num(hash));
        }
        noteCommitted(state);
    }

    /** This waits for no disk: what has been committed may be handed out, whatever happens to it here. */
    private void committedElsewhere(Imprint tail, long view, Edition edition, long hash) {
        Accession meant = memory.state();
        for (Accession earlier : superseded) {
            if (earlier.edition().equals(edition)) {
                meant = earlier;
            }
        }
        if (meant.view() == view && meant.edition().equals(edition) && meant.hasTaken(edition, hash)) {
            noteCommitted(meant);
            owed.values().removeIf(debt -> !debt.edition().isAfter(edition));
        } else if (edition.isAfter(committed.edition())) {
            fetch(tail);
        }
    }

    private void noteCommitted(Accession state) {
        if (state.edition().isAfter(committed.edition())) {
            superseded.removeIf(s -> !s.edition().isAfter(state.edition()));
            LOG.info("Edition {} is committed in view {}.", state.edition(), state.view());
            committed = state;
            room.write(List.of(Memory.committedNote(state)), safe -> { });
            for (Consumer<Accession> o : commitObservers) {
                o.accept(state);
            }
        } else if (state.edition().equals(committed.edition()) && state.view() > committed.view()) {
            committed = state;
        }
    }

    private void resend() {
        if (standing == Standing.RECOVERING) {
            serially(this::askForRecovery);
            return;
        }
        boolean unsettled = committed.view() < memory.charter().number()
                || memory.state().edition().isAfter(committed.edition()) || !owed.isEmpty();
        if (post.self().equals(memory.charter().head()) && unsettled) {
            serially(this::forwardState);
        }
    }

    private void read(Imprint origin, long id, boolean brief) {
        boolean known = memory.state().edition().equals(Edition.NONE)
                || committed.view() == memory.charter().number();
        if (!inChain() || !known || !post.self().equals(memory.charter().tail())) {
            return;
        }
        confirm(new Confirmation(origin, id, memory.charter().number(), committed, brief, null));
    }

    /**
     * Asks a majority whether the view is still in force. A head that a newer view has left behind must not refuse: what it
     * takes for stale may be on top of the newest version, and be taken by the head of that view.
     */
    private void confirm(Confirmation c) {
        if (confirmations.size() > 256) {
            confirmations.clear();
        }
        long nonce = nextNonce++;
        confirmations.put(nonce, c);
        for (Fellow f : memory.charter().electorate()) {
            sendChain(f.imprint(), chain(Chain.CONFIRM).num(nonce).num(c.view));
        }
    }

    private void confirmed(Imprint from, long nonce, long incarnation) {
        Confirmation c = confirmations.get(nonce);
        if (c == null || c.view != memory.charter().number() || incarnation < incarnationOf(from)
                || !memory.charter().votes(from)) {
            return;
        }
        c.agreed.add(from);
        if (c.agreed.size() >= memory.charter().majority()) {
            confirmations.remove(nonce);
            if (c.verdict != null) {
                answer(c.origin, c.id, c.verdict);
                return;
            }
            Script.Writer out = chain(c.brief ? Chain.ATTESTED : Chain.READING).num(c.id);
            if (c.brief) {
                out.num(c.reading.edition().value());
            } else {
                c.reading.write(out);
            }
            sendChain(c.origin, out);
        }
    }
}
