package org.umbermount.control;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.umbermount.kernel.Clock;
import org.umbermount.kernel.DaemonAddress;
import org.umbermount.kernel.InstanceId;
import org.umbermount.kernel.MessagePackCodec;
import org.umbermount.kernel.Messenger;
import org.umbermount.kernel.Metrics;
import org.umbermount.kernel.MonotonicTime;
import org.umbermount.kernel.Safeguard;

/**
 * The servers there are: soft state on every controller. Each controller numbers its own changes; the others
 * follow them, and one that has missed some takes a snapshot. The controller that a server's beats reach keeps
 * it, and only its keeper declares it gone for missing beats.
 */
public final class ServerRegistry {
    private static final Logger LOG = LoggerFactory.getLogger("control");
    private static final int LOG_LENGTH = 256;
    private static final long TOMBSTONE_MS = 60_000;
    private static final long LOOP_MS = 300;
    private static final double MISSED_BEATS = 3.2;
    private static final double READY_BEATS = 1.5;
    private static final int DIGEST_PATIENCE = 4;

    private enum Kind {
        CHANGES,
        APPLIED,
        ASK,
        SNAPSHOT
    }

    private static final class Followed {
        long boot;
        long applied = -1;
        int digestOff;
        long askedBoot;
        MonotonicTime asked = MonotonicTime.NEVER;
    }

    private record Change(long seq, InstanceId id) {}

    private static final class Waiting {
        final long seq;
        final Runnable told;

        Waiting(long seq, Runnable told) {
            this.seq = seq;
            this.told = told;
        }
    }

    private final Clock clock;
    private final Messenger messenger;
    private final Metrics metrics;
    private final long heartbeatMs;
    private final long boot;
    private final Map<InstanceId, RegisteredServer> entries = new LinkedHashMap<>();
    private final Map<InstanceId, MonotonicTime> lastBeat = new HashMap<>();
    private final Map<InstanceId, MonotonicTime> goneSince = new HashMap<>();
    private final ArrayDeque<Change> changes = new ArrayDeque<>();
    private final Map<DaemonAddress, Followed> followed = new HashMap<>();
    private final Map<DaemonAddress, Long> acknowledged = new HashMap<>();
    private final List<Waiting> waiting = new ArrayList<>();
    private final List<Runnable> observers = new ArrayList<>();
    private FailureDetector detector;
    private Supplier<View> view = () -> View.NONE;
    private BooleanSupplier listStands = () -> true;
    private BooleanSupplier mayExpire = () -> false;
    /** Under which of this daemon's own changes its news of a server went out last. */
    private final Map<InstanceId, Long> newsAt = new HashMap<>();

    private final MonotonicTime started;
    private boolean ready;
    private long seq;
    private long digest;

    /**
     * Starts an empty registry. {@code heartbeatMs} is the interval at which servers report; {@code boot} tells the
     * changes of this process from those of an earlier one.
     */
    public ServerRegistry(Clock clock, Messenger messenger, Metrics metrics, long heartbeatMs, long boot) {
        this.clock = clock;
        this.messenger = messenger;
        this.metrics = metrics;
        this.heartbeatMs = heartbeatMs;
        this.boot = boot;
        this.started = clock.now();
        messenger.subscribe(Messenger.Topic.CENSUS, this::receive);
    }

    /**
     * Starts following the others; {@code view} says who votes, {@code inTouch} whether news of the others has come without a
     * break, and {@code canJudge} whether silence may be held against servers now.
     */
    public void start(FailureDetector calls, Supplier<View> view, BooleanSupplier inTouch, BooleanSupplier canJudge) {
        detector = calls;
        this.view = view;
        listStands = inTouch;
        mayExpire = canJudge;
        calls.observe(this::compare);
        clock.every(LOOP_MS, this::reconcile);
    }

    /** Takes up what an earlier life of this daemon had noted. */
    void recall(List<RegisteredServer> noted) {
        for (RegisteredServer e : noted) {
            learn(e);
        }
        ready = ready || !noted.isEmpty();
    }

    /** Adds an observer that is called after the registry has changed. */
    public void observe(Runnable observer) {
        observers.add(observer);
    }

    /** All servers, also those that have gone lately. The collection is live. */
    public Collection<RegisteredServer> entries() {
        return Collections.unmodifiableCollection(entries.values());
    }

    /**
     * Whether the list can be relied on to be whole: it has been taken from a controller whose list was, or every
     * server has had time to send a beat since this daemon started.
     */
    public boolean ready() {
        return ready;
    }

    /** The number of this process under which its changes are counted. */
    public long boot() {
        return boot;
    }

    /** The number of the last change that this daemon has made. */
    public long seq() {
        return seq;
    }

    /** A checksum over all entries: daemons with equal registries show the same one. */
    public long digest() {
        return digest;
    }

    /**
     * Takes a beat. {@code told} runs once a majority of the voters has the news, or at once if there is none to tell.
     */
    public void beat(RegisteredServer beat, Runnable told) {
        RegisteredServer known = entries.get(beat.id());
        if (known != null && beat.sequence() < known.sequence()) {
            metrics.count("registry.beats.late");
            repeat(known, told);
            return;
        }
        lastBeat.put(beat.id(), clock.now());
        RegisteredServer next = known == null ? beat : known.merge(beat);
        if (next.standing() == RegisteredServer.Standing.MISSED) {
            next = next.with(RegisteredServer.Standing.IN_SERVICE, beat.sequence(), beat.keeper());
        }
        if (!next.standing().isGone()) {
            next = next.with(next.standing(), beat.sequence(), messenger.self());
        }
        if (known != null && known.sameNews(next)) {
            entries.put(next.id(), next);
            repeat(next, told);
            return;
        }
        if (known == null || known.standing() != next.standing()) {
            LOG.info("Server {} of {} at {} is {}.", next.id(), next.upstream(), next.address(), name(next.standing()));
        }
        boolean urgent = known == null
                || known.standing() != next.standing()
                || next.standing() != RegisteredServer.Standing.IN_SERVICE && Safeguard.REPEATED_NEWS_WAITS.holds();
        store(next);
        publish(List.of(next));
        if (urgent) {
            onceKnown(next, told);
        } else {
            told.run();
        }
    }

    /** A server says again what is known here; whether others know it is another matter. */
    private void repeat(RegisteredServer known, Runnable told) {
        if (Safeguard.REPEATED_NEWS_WAITS.holds()) {
            onceKnown(known, told);
        } else {
            told.run();
        }
    }

    /** Runs something once enough others hold what is known here of a server, whoever was told of it first. */
    private void onceKnown(RegisteredServer entry, Runnable told) {
        if (!newsAt.containsKey(entry.id()) && entry.standing() != RegisteredServer.Standing.IN_SERVICE) {
            publish(List.of(entry));
        }
        Long at = newsAt.get(entry.id());
        if (at == null || isKnown(at)) {
            told.run();
        } else {
            waiting.add(new Waiting(at, told));
        }
    }

    /** Whether a majority of the voters has taken a change of this daemon. */
    private boolean isKnown(long change) {
        View view = this.view.get();
        if (view.electorate().isEmpty()) {
            return false;
        }
        int n = 0;
        int others = 0;
        for (Voter f : view.electorate()) {
            boolean self = f.daemonAddress().equals(messenger.self());
            boolean holds = self || acknowledged.getOrDefault(f.daemonAddress(), -1L) >= change;
            n += holds ? 1 : 0;
            others += holds && !self ? 1 : 0;
        }
        return Safeguard.NEWS_WITH_MAJORITY.holds() ? n >= view.majority() : others > 0;
    }

    /** Takes a sign-off. */
    public void signOff(InstanceId id, Runnable told) {
        RegisteredServer known = entries.get(id);
        if (known == null) {
            // Nothing to sign off, if what is known here is whole; otherwise the caller tries again, here or elsewhere.
            if (ready && listStands.getAsBoolean()) {
                told.run();
            }
            return;
        }
        if (known.standing() == RegisteredServer.Standing.SIGNED_OFF) {
            repeat(known, told);
            return;
        }
        RegisteredServer next =
                known.with(RegisteredServer.Standing.SIGNED_OFF, known.sequence() + 1, messenger.self());
        LOG.info("Server {} of {} at {} signed off.", id, known.upstream(), known.address());
        store(next);
        publish(List.of(next));
        onceKnown(next, told);
    }

    private static String name(RegisteredServer.Standing standing) {
        return standing.name().toLowerCase(java.util.Locale.ROOT).replace('_', ' ');
    }

    private void store(RegisteredServer next) {
        RegisteredServer old = entries.put(next.id(), next);
        digest += next.digest() - (old == null ? 0 : old.digest());
        if (next.standing().isGone()) {
            goneSince.putIfAbsent(next.id(), clock.now());
            lastBeat.remove(next.id());
        } else {
            goneSince.remove(next.id());
        }
        for (Runnable o : observers) {
            o.run();
        }
    }

    private void publish(List<RegisteredServer> changed) {
        long from = seq;
        for (RegisteredServer e : changed) {
            changes.add(new Change(++seq, e.id()));
            newsAt.put(e.id(), seq);
            if (changes.size() > LOG_LENGTH) {
                changes.poll();
            }
        }
        byte[] body = encode(Kind.CHANGES, from, changed);
        if (detector != null) {
            for (FailureDetector.Peer p : detector.peers()) {
                if (detector.connected(p.daemonAddress())) {
                    messenger.send(p.daemonAddress(), Messenger.Topic.CENSUS, body);
                }
            }
        }
    }

    private byte[] encode(Kind kind, long from, Collection<RegisteredServer> which) {
        return MessagePackCodec.write()
                .num(kind.ordinal())
                .num(boot)
                .num(from)
                .num(seq)
                .list(which, (o, e) -> e.write(o))
                .done();
    }

    private void receive(DaemonAddress from, byte[] body) throws MessagePackCodec.UnreadableException {
        MessagePackCodec.Reader in = MessagePackCodec.read(body);
        int kind = (int) in.num();
        if (kind < 0 || kind >= Kind.values().length) {
            throw new MessagePackCodec.UnreadableException("an unknown message about servers", null);
        }
        switch (Kind.values()[kind]) {
            case CHANGES, SNAPSHOT -> {
                long theirBoot = in.num();
                long since = in.num();
                long until = in.num();
                List<RegisteredServer> news = in.list(RegisteredServer::read);
                apply(from, Kind.values()[kind] == Kind.SNAPSHOT, theirBoot, since, until, news);
            }
            case APPLIED -> {
                if (in.num() == boot) {
                    acknowledged.merge(from, in.num(), Math::max);
                    settle();
                } else {
                    metrics.count("registry.messages.dropped.earlier_life");
                }
            }
            case ASK -> {
                long theirBoot = in.num();
                answerAsk(from, theirBoot, in.num());
            }
            default -> throw new IllegalStateException();
        }
    }

    private void apply(
            DaemonAddress from, boolean snapshot, long theirBoot, long since, long until, List<RegisteredServer> news) {
        Followed f = followed.computeIfAbsent(from, k -> new Followed());
        for (RegisteredServer e : news) {
            learn(e);
        }
        boolean follows = theirBoot == f.boot && f.applied >= 0 && since <= f.applied;
        // What is said of servers is joined by the servers' own numbers; a list that is whole is one of the sender's
        // present life.
        boolean whole = snapshot && isPresentLife(from, theirBoot);
        if (whole && detector != null && detector.peer(from).report().censusReady()) {
            becomeReady();
        }
        if (whole || follows) {
            if (theirBoot != f.boot) {
                f.boot = theirBoot;
                f.applied = -1;
            }
            f.applied = Math.max(f.applied, until);
            messenger.send(
                    from,
                    Messenger.Topic.CENSUS,
                    MessagePackCodec.write()
                            .num(Kind.APPLIED.ordinal())
                            .num(theirBoot)
                            .num(until)
                            .done());
        } else {
            ask(from, f);
        }
    }

    private boolean isPresentLife(DaemonAddress from, long life) {
        FailureDetector.Peer peer = detector == null ? null : detector.peer(from);
        return detector == null
                || peer != null && peer.report() != null && peer.report().life() == life;
    }

    private void learn(RegisteredServer e) {
        RegisteredServer known = entries.get(e.id());
        RegisteredServer next = known == null ? e : known.merge(e);
        if (known == null || !known.equals(next)) {
            if (known == null || !known.sameNews(next)) {
                if (!next.standing().isGone()) {
                    lastBeat.put(next.id(), clock.now());
                }
                store(next);
            } else {
                entries.put(next.id(), next);
            }
        }
    }

    private void ask(DaemonAddress from, Followed f) {
        MonotonicTime now = clock.now();
        if (now.since(f.asked) < LOOP_MS) {
            return;
        }
        f.asked = now;
        messenger.send(
                from,
                Messenger.Topic.CENSUS,
                MessagePackCodec.write()
                        .num(Kind.ASK.ordinal())
                        .num(f.boot)
                        .num(f.applied)
                        .done());
    }

    private void answerAsk(DaemonAddress from, long theirBoot, long applied) {
        long oldest = changes.isEmpty() ? seq : changes.peek().seq() - 1;
        if (theirBoot == boot && applied >= oldest && applied <= seq) {
            Map<InstanceId, RegisteredServer> missed = new LinkedHashMap<>();
            for (Change c : changes) {
                RegisteredServer e = entries.get(c.id());
                if (c.seq() > applied && e != null) {
                    missed.put(c.id(), e);
                }
            }
            messenger.send(from, Messenger.Topic.CENSUS, encode(Kind.CHANGES, applied, missed.values()));
        } else {
            metrics.count("registry.snapshots");
            messenger.send(from, Messenger.Topic.CENSUS, encode(Kind.SNAPSHOT, 0, entries.values()));
        }
    }

    /** Compares what a peer says of itself with what has been applied of it. */
    private void compare(FailureDetector.Peer peer) {
        FailureDetector.Report r = peer.report();
        Followed f = followed.computeIfAbsent(peer.daemonAddress(), k -> new Followed());
        if (f.boot != r.life() || f.applied < r.censusSeq()) {
            ask(peer.daemonAddress(), f);
            f.digestOff = 0;
        } else if (r.censusDigest() != digest) {
            if (++f.digestOff >= DIGEST_PATIENCE) {
                f.digestOff = 0;
                f.applied = -1;
                ask(peer.daemonAddress(), f);
            }
        } else {
            f.digestOff = 0;
        }
    }

    private void settle() {
        Iterator<Waiting> it = waiting.iterator();
        List<Runnable> told = new ArrayList<>();
        while (it.hasNext()) {
            Waiting w = it.next();
            if (isKnown(w.seq)) {
                it.remove();
                told.add(w.told);
            }
        }
        told.forEach(Runnable::run);
    }

    private void becomeReady() {
        if (!ready) {
            ready = true;
            observers.forEach(Runnable::run);
        }
    }

    private void reconcile() {
        MonotonicTime now = clock.now();
        if (now.since(started) > READY_BEATS * heartbeatMs) {
            becomeReady();
        }
        if (waiting.size() > 1_000) {
            waiting.subList(0, 500).clear();
        }
        goneSince.entrySet().removeIf(e -> {
            if (now.since(e.getValue()) <= TOMBSTONE_MS) {
                return false;
            }
            newsAt.remove(e.getKey());
            RegisteredServer old = entries.remove(e.getKey());
            if (old != null) {
                digest -= old.digest();
            }
            return true;
        });
        if (!mayExpire.getAsBoolean()) {
            // Silence that this daemon may itself be the cause of is not counted.
            lastBeat.replaceAll((id, at) -> now);
            return;
        }
        List<RegisteredServer> missed = new ArrayList<>();
        for (RegisteredServer e : entries.values()) {
            if (e.standing().isGone()) {
                continue;
            }
            boolean mine = e.keeper().equals(messenger.self());
            if (!mine && (detector.connected(e.keeper()) || !heir(e.keeper()))) {
                lastBeat.put(e.id(), now);
                continue;
            }
            MonotonicTime last = lastBeat.computeIfAbsent(e.id(), k -> now);
            if (now.since(last) > MISSED_BEATS * heartbeatMs) {
                missed.add(e);
            }
        }
        if (missed.isEmpty()) {
            return;
        }
        List<RegisteredServer> gone = new ArrayList<>();
        for (RegisteredServer e : missed) {
            LOG.info("Server {} of {} at {} is gone: its beats stopped.", e.id(), e.upstream(), e.address());
            RegisteredServer next = e.with(RegisteredServer.Standing.MISSED, e.sequence(), messenger.self());
            store(next);
            gone.add(next);
        }
        metrics.counter("registry.missed").increment(gone.size());
        publish(gone);
    }

    /** Whether this controller is the first of those left to look after another's servers. */
    private boolean heir(DaemonAddress lost) {
        for (FailureDetector.Peer p : detector.peers()) {
            if (!p.daemonAddress().equals(lost)
                    && p.daemonAddress().compareTo(messenger.self()) < 0
                    && detector.connected(p.daemonAddress())) {
                return false;
            }
        }
        return true;
    }
}
