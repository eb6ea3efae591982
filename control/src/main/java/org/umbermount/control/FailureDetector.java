package org.umbermount.control;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.umbermount.kernel.Clock;
import org.umbermount.kernel.DaemonAddress;
import org.umbermount.kernel.MessagePackCodec;
import org.umbermount.kernel.Messenger;
import org.umbermount.kernel.Metrics;
import org.umbermount.kernel.MonotonicTime;
import org.umbermount.kernel.Safeguard;

/** Controllers tell each other at short intervals that they are there, how they are, and whom they hear. */
public final class FailureDetector {
    public static final long INTERVAL_MS = 300;
    /** Silence after which a peer is not relied on. */
    public static final long SILENCE_MS = 1_000;

    private static final long STALL_MS = 700;
    /** How long a peer that was never heard has to show up after this daemon's start. */
    private static final long FIRST_MS = 3_000;

    private static final long FORGET_MS = 60_000;
    private static final int SLOW_ROUNDS = 5;
    /** Pauses of a process that has just started say nothing of how it will go on. */
    private static final long STARTING_MS = 5_000;

    private static final long NO_LIFE = 0;

    /**
     * What a controller tells of itself.
     *
     * @param life the number of this life of the process, drawn at random
     * @param mayMove whether it is a voter with its memory that no promise binds
     * @param inContact whether a majority answers it
     * @param heard whom it hears
     * @param connected whom it hears, and is heard by
     * @param slow whether it stands still again and again, by its own clock or as a majority has told it
     * @param standsBack whether it leaves duties to others, being slow
     * @param slowPeers whose roll calls come to it in long gaps, again and again
     */
    public record Report(
            long incarnation,
            boolean votes,
            boolean mayMove,
            boolean inContact,
            boolean diskGood,
            boolean leaving,
            long view,
            long edition,
            long newestEdition,
            long life,
            long censusSeq,
            long censusDigest,
            boolean censusReady,
            long settledView,
            List<String> duties,
            String zone,
            DaemonAddress control,
            List<DaemonAddress> heard,
            List<DaemonAddress> connected,
            boolean slow,
            boolean standsBack,
            List<DaemonAddress> slowPeers) {
        void write(MessagePackCodec.Writer out) {
            out.num(incarnation)
                    .flag(votes)
                    .flag(mayMove)
                    .flag(inContact)
                    .flag(diskGood)
                    .flag(leaving)
                    .num(view)
                    .num(edition)
                    .num(newestEdition)
                    .num(life)
                    .num(censusSeq)
                    .num(censusDigest)
                    .flag(censusReady)
                    .num(settledView)
                    .list(duties, MessagePackCodec.Writer::text)
                    .text(zone)
                    .daemonAddress(control)
                    .list(heard, MessagePackCodec.Writer::daemonAddress)
                    .list(connected, MessagePackCodec.Writer::daemonAddress)
                    .flag(slow)
                    .flag(standsBack)
                    .list(slowPeers, MessagePackCodec.Writer::daemonAddress);
        }

        static Report read(MessagePackCodec.Reader in) throws MessagePackCodec.UnreadableException {
            return new Report(
                    in.num(),
                    in.flag(),
                    in.flag(),
                    in.flag(),
                    in.flag(),
                    in.flag(),
                    in.num(),
                    in.num(),
                    in.num(),
                    in.num(),
                    in.num(),
                    in.num(),
                    in.flag(),
                    in.num(),
                    in.list(MessagePackCodec.Reader::text),
                    in.text(),
                    in.daemonAddress(),
                    in.list(MessagePackCodec.Reader::daemonAddress),
                    in.list(MessagePackCodec.Reader::daemonAddress),
                    in.flag(),
                    in.flag(),
                    in.list(MessagePackCodec.Reader::daemonAddress));
        }
    }

    /** What is known of another controller. */
    public static final class Peer {
        private final DaemonAddress daemonAddress;
        private Report report;
        private MonotonicTime lastHeard = MonotonicTime.NEVER;
        /** The newest moment of this daemon's clock that the peer has sent back. */
        private MonotonicTime answered = MonotonicTime.NEVER;
        /** The newest stamp of the peer's own clock, in the life that the report is of. */
        private long stamp = -1;

        private MonotonicTime goodSince;
        private MonotonicTime lostSince;
        /** When its roll calls came after a long gap, in this life of it. */
        private PauseHistory gaps;

        Peer(DaemonAddress daemonAddress, MonotonicTime now) {
            this.daemonAddress = daemonAddress;
            this.lostSince = now;
        }

        /** The controller's datagram address. */
        public DaemonAddress daemonAddress() {
            return daemonAddress;
        }

        /** The newest report, or null before the first. */
        public Report report() {
            return report;
        }

        /** When its last heartbeat arrived; {@link MonotonicTime#NEVER} before the first. */
        public MonotonicTime lastHeard() {
            return lastHeard;
        }

        /** When that was sent which the newest report answers. */
        public MonotonicTime answered() {
            return answered;
        }
    }

    /** Gives the own report; the lists of those heard, heard in both directions, and found slow are filled in here. */
    public interface Reporter {
        /**
         * The state of this daemon now, with the peers that it hears, those connected in both directions, and those found
         * slow.
         */
        Report report(List<DaemonAddress> heard, List<DaemonAddress> connected, List<DaemonAddress> slowPeers);
    }

    private final Clock clock;
    private final Messenger messenger;
    private final Reporter reporter;
    private final Map<DaemonAddress, Peer> peers = new TreeMap<>();
    private final List<Consumer<Peer>> observers = new ArrayList<>();
    private final MonotonicTime started;
    /** Tells this life of the process from all others; stamps count the milliseconds since its start. */
    private final long life;

    private final Metrics metrics;
    private Runnable keeper = () -> {};
    private MonotonicTime lastTick;
    private MonotonicTime stalledUntil;
    private final PauseHistory pauses;
    /** The tick before the last pause that was counted. */
    private MonotonicTime pausedAfter = MonotonicTime.NEVER;

    private boolean leaving;
    private int rounds;

    /**
     * Starts without peers; heartbeats begin with {@link #start}.
     *
     * @param life the number of this life of the process, which the reporter gives as well
     */
    public FailureDetector(Clock clock, Messenger messenger, Metrics metrics, long life, Reporter reporter) {
        this.clock = clock;
        this.messenger = messenger;
        this.reporter = reporter;
        this.started = clock.now();
        this.life = life;
        this.metrics = metrics;
        this.lastTick = started;
        this.stalledUntil = started;
        this.pauses = new PauseHistory(started.plus(STARTING_MS));
        messenger.subscribe(Messenger.Topic.ROLL_CALL, this::receive);
    }

    /** Sends the first heartbeat at once, and then one every {@link #INTERVAL_MS}. */
    public void start() {
        tick();
        clock.every(INTERVAL_MS, this::tick);
    }

    /** Adds a controller to those that are called. */
    public void enlist(DaemonAddress daemonAddress) {
        if (!daemonAddress.equals(messenger.self())) {
            peers.computeIfAbsent(daemonAddress, i -> new Peer(i, clock.now()));
        }
    }

    /** Adds an observer that is called with each peer whose heartbeat has arrived. */
    public void observe(Consumer<Peer> observer) {
        observers.add(observer);
    }

    /** Sets what looks after each roll call that is sent, and before and after each that comes. */
    void keep(Runnable look) {
        keeper = look;
    }

    boolean isSelf(DaemonAddress daemonAddress) {
        return daemonAddress.equals(messenger.self());
    }

    /** When that was sent which a controller has answered last; now for this one. */
    MonotonicTime answered(DaemonAddress daemonAddress) {
        Peer p = peers.get(daemonAddress);
        return isSelf(daemonAddress) ? clock.now() : p == null ? MonotonicTime.NEVER : p.answered;
    }

    /** All peers, also those that are silent now. The collection is live. */
    public Collection<Peer> peers() {
        return Collections.unmodifiableCollection(peers.values());
    }

    /** The peer at an address, or null if it is unknown. */
    public Peer peer(DaemonAddress daemonAddress) {
        return peers.get(daemonAddress);
    }

    /** Says once more, and at once, how this daemon is. */
    public void callNow() {
        send(false);
    }

    /** Tells all peers at once that this daemon is about to stop, so that they need not wait for its silence. */
    public void leaving() {
        leaving = true;
        send(true);
    }

    public boolean isLeaving() {
        return leaving;
    }

    private void tick() {
        MonotonicTime now = clock.now();
        rounds++;
        lookForPause(now);
        if (now.since(lastTick) > STALL_MS) {
            // This process stood still: the silence was its own. Give everyone time to be heard again.
            stalledUntil = now.plus(SILENCE_MS);
            for (Peer p : peers.values()) {
                if (lastTick.since(p.lastHeard) <= SILENCE_MS) {
                    p.lastHeard = now;
                }
            }
        }
        lastTick = now;
        keeper.run();
        send(rounds % SLOW_ROUNDS == 0 || now.since(started) < FIRST_MS);
        for (Peer p : peers.values()) {
            judge(p, now);
        }
    }

    private byte[] ownReport(MonotonicTime now) {
        return ownReport(now, null);
    }

    /** The own report; {@code asWell} is said to be heard, too. */
    private byte[] ownReport(MonotonicTime now, Peer asWell) {
        List<DaemonAddress> heard = new ArrayList<>();
        List<DaemonAddress> both = new ArrayList<>();
        List<DaemonAddress> slowPeers = new ArrayList<>();
        for (Peer p : peers.values()) {
            if (now.since(p.lastHeard) <= SILENCE_MS || p == asWell) {
                heard.add(p.daemonAddress);
            }
            if (isConnected(p, now)) {
                both.add(p.daemonAddress);
            }
            if (p.gaps != null && p.gaps.isSlow(now)) {
                slowPeers.add(p.daemonAddress);
            }
        }
        MessagePackCodec.Writer out = MessagePackCodec.write();
        reporter.report(heard, both, slowPeers).write(out);
        return out.done();
    }

    private void send(boolean everyone) {
        MonotonicTime now = clock.now();
        byte[] report = ownReport(now);
        for (Peer p : peers.values()) {
            if (everyone || now.since(p.lastHeard) < 10 * SILENCE_MS && now.since(p.lastHeard) < FORGET_MS) {
                send(p, report);
            }
        }
    }

    private void send(Peer to, byte[] report) {
        send(to, report, to.report == null ? NO_LIFE : to.report.life(), to.stamp);
    }

    /** A report, the moment at which it was sent, which life of the other it is for, and the newest such moment of that life. */
    private void send(Peer to, byte[] report, long addressee, long echo) {
        byte[] stamps = MessagePackCodec.write()
                .num(clock.now().since(started))
                .num(addressee)
                .num(echo)
                .done();
        byte[] body = Arrays.copyOf(report, report.length + stamps.length);
        System.arraycopy(stamps, 0, body, report.length, stamps.length);
        messenger.send(to.daemonAddress, Messenger.Topic.ROLL_CALL, body);
    }

    private void receive(DaemonAddress from, byte[] body) throws MessagePackCodec.UnreadableException {
        MessagePackCodec.Reader in = MessagePackCodec.read(body);
        Report report = Report.read(in);
        long stamp = in.num();
        long addressee = in.num();
        long echo = in.num();
        keeper.run();
        boolean unknown = !peers.containsKey(from);
        Peer peer = peers.computeIfAbsent(from, i -> new Peer(i, clock.now()));
        MonotonicTime now = clock.now();
        boolean wasSilent = now.since(peer.lastHeard) > SILENCE_MS;
        if (addressee == NO_LIFE || addressee != life && Safeguard.ROLL_CALL_NAMES_LIFE.holds()) {
            introduce(peer, report.life(), stamp, now);
            return;
        }
        boolean anew = peer.report == null || peer.report.life() != report.life();
        MonotonicTime answered = started.plus(echo);
        boolean isAnswer = echo >= 0 && !now.isBefore(answered) && peer.answered.isBefore(answered);
        if (anew ? !isAnswer && Safeguard.LATER_LIFE_ANSWERS_LATER.holds() : stamp < peer.stamp) {
            // Of a life that has ended, or overtaken on its way by a newer one.
            metrics.count("rollcall.late");
            return;
        }
        if (anew || peer.gaps == null) {
            peer.gaps = new PauseHistory(now.plus(STARTING_MS));
        } else if (lastTick.since(peer.lastHeard) > STALL_MS) {
            // Counted up to the last tick, so that a pause of this process is not taken for one of the peer's.
            peer.gaps.paused(now);
        }
        peer.report = report;
        peer.lastHeard = now;
        peer.stamp = stamp;
        if (isAnswer) {
            peer.answered = answered;
        }
        judge(peer, now);
        keeper.run();
        if (unknown || wasSilent || anew) {
            // Answer at once so that the other sees both directions without waiting for the next round.
            send(peer, ownReport(now));
        }
        for (Consumer<Peer> o : observers) {
            o.accept(peer);
        }
    }

    /**
     * Answers a report that is not for this life of the daemon. It may be of a life of the sender that has ended, so nothing of
     * it is taken: a life that runs comes back with the stamp of this answer, which names it.
     */
    private void introduce(Peer peer, long theirLife, long theirStamp, MonotonicTime now) {
        metrics.count("rollcall.unacquainted");
        send(peer, ownReport(now, peer), theirLife, theirStamp);
    }

    private void judge(Peer p, MonotonicTime now) {
        boolean good = isConnected(p, now) && p.report.diskGood() && !p.report.leaving();
        if (!good) {
            p.goodSince = null;
            if (p.lostSince == null) {
                p.lostSince = now;
            }
        } else if (p.goodSince == null) {
            p.goodSince = now;
            p.lostSince = null;
        }
    }

    private boolean isConnected(Peer p, MonotonicTime now) {
        return p.report != null
                && now.since(p.lastHeard) <= SILENCE_MS
                && p.report.heard().contains(messenger.self());
    }

    /** Heard of lately, and hears this daemon. */
    public boolean connected(DaemonAddress daemonAddress) {
        if (daemonAddress.equals(messenger.self())) {
            return true;
        }
        Peer p = peers.get(daemonAddress);
        return p != null && isConnected(p, clock.now());
    }

    /** How long a peer has been connected with a working disk; -1 if it is not. */
    public long goodForMs(DaemonAddress daemonAddress) {
        Peer p = peers.get(daemonAddress);
        if (p == null) {
            return -1;
        }
        MonotonicTime now = clock.now();
        judge(p, now);
        return p.goodSince == null ? -1 : now.since(p.goodSince);
    }

    /** Whether a peer may still be on its way: this daemon has just started and has not heard of it. */
    public boolean expected(DaemonAddress daemonAddress) {
        Peer p = peers.get(daemonAddress);
        return p != null && p.report == null && clock.now().since(started) < FIRST_MS;
    }

    /** How long a peer has not been usable; 0 if it is. */
    public long lostForMs(DaemonAddress daemonAddress) {
        Peer p = peers.get(daemonAddress);
        if (p == null) {
            return 0;
        }
        MonotonicTime now = clock.now();
        judge(p, now);
        return p.lostSince == null ? 0 : now.since(p.lostSince);
    }

    /** Whether a peer is connected and has said how it is in answer to something sent later than a moment. */
    public boolean answeredSince(DaemonAddress daemonAddress, MonotonicTime moment) {
        Peer p = peers.get(daemonAddress);
        return p != null && isConnected(p, clock.now()) && moment.isBefore(p.answered);
    }

    private void lookForPause(MonotonicTime now) {
        if (now.since(lastTick) > STALL_MS && !lastTick.equals(pausedAfter)) {
            pausedAfter = lastTick;
            pauses.paused(now);
        }
    }

    /** Notes a sign that this daemon stood still, other than its own timers. */
    void pauseNoticed() {
        pauses.paused(clock.now());
    }

    /**
     * Whether this daemon stands still again and again: by its own clock, or because most of the voters that it is connected
     * with, and two at least, find its roll calls late. The second holds also where the clock stands still with the process.
     */
    public boolean isSlow(View view) {
        MonotonicTime now = clock.now();
        lookForPause(now);
        int connected = 0;
        int complaints = 0;
        for (Voter f : view.electorate()) {
            Peer p = peers.get(f.daemonAddress());
            if (p != null && isConnected(p, now)) {
                connected++;
                complaints += p.report.slowPeers().contains(messenger.self()) ? 1 : 0;
            }
        }
        return pauses.isSlow(now) || complaints >= 2 && 2 * complaints > connected;
    }

    /** Whether this daemon itself stood still a moment ago or has just started. */
    public boolean unsettled(long ms) {
        MonotonicTime now = clock.now();
        return now.since(lastTick) > STALL_MS || now.since(started) < ms || now.isBefore(stalledUntil.plus(ms));
    }

    /** Whether this daemon and those it is connected with are a majority of the voters. */
    public boolean reachesMajority(View view) {
        int n = 0;
        for (Voter f : view.electorate()) {
            if (connected(f.daemonAddress())) {
                n++;
            }
        }
        return !view.electorate().isEmpty() && n >= view.majority();
    }
}
