package org.umbermount.distribution;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.umbermount.kernel.Clock;
import org.umbermount.kernel.ConfigurationRevision;
import org.umbermount.kernel.DaemonAddress;
import org.umbermount.kernel.Messenger;
import org.umbermount.kernel.Metrics;
import org.umbermount.kernel.MonotonicTime;
import org.umbermount.kernel.Safeguard;

/**
 * The sender for one proxy, as in the State Synchronization Protocol: a rolling list of sent states whose first
 * is the one known to have arrived; each difference starts from the newest state that may still be on its way,
 * and from the known one once its timeout has passed.
 */
final class StateSender {
    static final int SENT_STATES = 32;
    static final long HEARTBEAT_MS = 3_000;
    /** Changes within this time travel together. */
    private static final long COLLECT_MS = 8;

    private static final long LAPSED_MS = 50;
    /** How many lives of the proxy that have ended are remembered. */
    private static final int ENDED_LIVES = 16;

    private static final class Sent {
        final long num;
        final RoutingTable table;
        MonotonicTime at;

        Sent(long num, RoutingTable table, MonotonicTime at) {
            this.num = num;
            this.table = table;
            this.at = at;
        }
    }

    private final DaemonAddress proxy;
    private final long epoch;
    private final Clock clock;
    private final Messenger messenger;
    private final Metrics metrics;
    private final List<Sent> sent = new ArrayList<>();
    private final RoundTrip roundTrip = new RoundTrip();
    private final ArrayDeque<Long> ended = new ArrayDeque<>();
    private long life;
    private MonotonicTime metAt;
    private RoutingTable current = RoutingTable.EMPTY;
    private long topNum;
    private MonotonicTime lastSend = MonotonicTime.NEVER;
    private MonotonicTime lastHeard;
    private int unanswered;
    private long echoStamp = -1;
    private MonotonicTime echoAt;
    private Clock.Cancellable timer;
    private boolean closed;
    private TableFreshness vouching = TableFreshness.NONE;
    private long renewMs = HEARTBEAT_MS;
    private BooleanSupplier leased = () -> true;

    StateSender(DaemonAddress proxy, long life, long epoch, Clock clock, Messenger messenger, Metrics metrics) {
        this.proxy = proxy;
        this.life = life;
        this.epoch = epoch;
        this.clock = clock;
        this.messenger = messenger;
        this.metrics = metrics;
        this.lastHeard = clock.now();
        this.metAt = lastHeard;
        sent.add(new Sent(0, RoutingTable.EMPTY, MonotonicTime.NEVER));
    }

    /** Sets what says at each moment whether the lease is held under which this sends. */
    void under(BooleanSupplier lease) {
        leased = lease;
    }

    private boolean mayEmit() {
        return !Safeguard.LEASE_CHECKED_ON_SENDING.holds() || leased.getAsBoolean();
    }

    /** From now on instructions say how fresh the table is known to be, at least as often as this. */
    void vouch(TableFreshness by, long everyMs) {
        vouching = by;
        renewMs = Math.min(HEARTBEAT_MS, everyMs);
    }

    /** The proxy's clock was heard of beside an acknowledgment. */
    void stamped(long forLife, long stamp, MonotonicTime at) {
        if (forLife == life && (echoStamp < 0 || echoAt.isBefore(at))) {
            echoStamp = stamp;
            echoAt = at;
        }
    }

    /** The proxy needs to hear now how fresh its table is. */
    void renew() {
        MonotonicTime now = clock.now();
        if (mayEmit() && now.since(lastSend) >= roundTrip.frame()) {
            sendEmpty(now);
            scheduleNext(now);
        }
    }

    MonotonicTime lastHeard() {
        return lastHeard;
    }

    long life() {
        return life;
    }

    /** The number and edition of the newest state known to have arrived. */
    long knownNum() {
        return sent.get(0).num;
    }

    ConfigurationRevision knownEdition() {
        return sent.get(0).table.edition();
    }

    long assumedNum() {
        return assumed(clock.now()).num;
    }

    double smoothedRtt() {
        return roundTrip.smoothed();
    }

    void close() {
        closed = true;
        if (timer != null) {
            timer.cancel();
        }
    }

    /** The table that the proxy should have. */
    void offer(RoutingTable table) {
        current = table;
        schedule(COLLECT_MS);
    }

    /**
     * The proxy names a life of its own, without saying when. One that has been followed by another is taken for a message that
     * comes late; any other for a later one. If that is wrong, the answer to what is sent next proves it.
     */
    void announced(long thatLife) {
        if (life == 0) {
            life = thatLife;
        } else if (thatLife != life && (!ended.contains(thatLife) || !Safeguard.ENDED_LIFE_NOT_SERVED.holds())) {
            restart(thatLife);
        } else if (thatLife != life) {
            metrics.count("distribution.ended.life");
        }
    }

    /** As {@link #announced}, by an answer: to what was sent since the present life was met, only a life that runs can answer. */
    private void answered(Instruction ack) {
        if (ack.echo() >= metAt.millis() && ack.echo() <= clock.now().millis() && ack.life() != life && life != 0) {
            restart(ack.life());
        } else {
            announced(ack.life());
        }
    }

    /** The proxy has started again with nothing: everything goes out anew, under higher numbers. */
    private void restart(long newLife) {
        ended.remove(newLife);
        ended.add(life);
        if (ended.size() > ENDED_LIVES) {
            ended.poll();
        }
        life = newLife;
        metAt = clock.now();
        sent.clear();
        sent.add(new Sent(0, RoutingTable.EMPTY, MonotonicTime.NEVER));
        unanswered = 0;
        echoStamp = -1;
        lastHeard = clock.now();
        lastSend = MonotonicTime.NEVER;
        schedule(0);
    }

    private void schedule(long ms) {
        if (closed) {
            return;
        }
        if (timer != null) {
            timer.cancel();
        }
        timer = clock.after(ms, this::tick);
    }

    private Sent newest() {
        return sent.get(sent.size() - 1);
    }

    /**
     * The newest sent state up to which no timeout has passed, or the known one. A state that was not acknowledged in time
     * makes those after it doubtful too: they were built on it, or on one that was built on it.
     */
    private Sent assumed(MonotonicTime now) {
        Sent assumed = sent.get(0);
        for (Sent s : sent) {
            if (s == assumed) {
                continue;
            }
            if (now.since(s.at) >= roundTrip.rto()) {
                break;
            }
            assumed = s;
        }
        return assumed;
    }

    private void tick() {
        timer = null;
        if (!mayEmit()) {
            // As after a stop of this process, before anyone has noticed that the lease ran out.
            schedule(LAPSED_MS);
            return;
        }
        MonotonicTime now = clock.now();
        long frame =
                unanswered > 2 ? Math.min(1_000, roundTrip.rto() << Math.min(5, unanswered - 2)) : roundTrip.frame();
        long wait = frame - now.since(lastSend);
        if (wait > 0) {
            schedule(wait);
            return;
        }
        Sent assumed = assumed(now);
        boolean fresh = !current.sameAs(newest().table);
        boolean overdue = sent.size() > 1 && now.since(newest().at) >= roundTrip.rto();
        if (fresh) {
            Sent next = new Sent(++topNum, current, now);
            sent.add(next);
            if (sent.size() > SENT_STATES) {
                // Keep the known state and the newest; one in the middle can be done without.
                sent.remove(SENT_STATES / 2);
            }
            send(assumed, next, now);
        } else if (overdue) {
            newest().at = now;
            send(assumed, newest(), now);
        } else if (now.since(lastSend) >= renewMs) {
            sendEmpty(now);
        }
        scheduleNext(now);
    }

    private void scheduleNext(MonotonicTime now) {
        long next = renewMs - now.since(lastSend);
        if (sent.size() > 1) {
            next = Math.min(next, roundTrip.rto() - now.since(newest().at) + 1);
        }
        schedule(Math.max(1, next));
    }

    private void send(Sent from, Sent to, MonotonicTime now) {
        emit(
                new Instruction(
                        epoch,
                        life,
                        from.num,
                        to.num,
                        0,
                        knownNum(),
                        now.millis(),
                        echo(now),
                        to.table.since(from.table),
                        vouched(now),
                        vouchAge(now)),
                now);
        unanswered++;
        metrics.count("distribution.sent");
    }

    private void sendEmpty(MonotonicTime now) {
        long num = newest().num;
        emit(
                new Instruction(
                        epoch,
                        life,
                        num,
                        num,
                        0,
                        knownNum(),
                        now.millis(),
                        echo(now),
                        null,
                        vouched(now),
                        vouchAge(now)),
                now);
        metrics.count("distribution.heartbeats");
    }

    private void emit(Instruction dispatch, MonotonicTime now) {
        lastSend = now;
        messenger.send(proxy, Messenger.Topic.DISPATCH, dispatch.pack());
    }

    private long vouched(MonotonicTime now) {
        return echo(now) < 0 || vouching.at() == null ? -1 : vouching.edition().value();
    }

    private long vouchAge(MonotonicTime now) {
        return vouching.at() == null ? 0 : now.since(vouching.at());
    }

    private long echo(MonotonicTime now) {
        return echoStamp < 0 ? -1 : echoStamp + now.since(echoAt);
    }

    /**
     * What was sent no later than the instruction that this answers, and is above what the proxy acknowledges, has not
     * arrived there: it need not be waited for. Tells whether there is such a state.
     */
    private boolean doubt(Instruction ack) {
        boolean any = false;
        for (Sent s : sent) {
            if (s.num > ack.ackNum() && ack.echo() >= 0 && s.at.millis() <= ack.echo()) {
                s.at = MonotonicTime.NEVER;
                any = true;
            }
        }
        return any;
    }

    /** Takes an acknowledgment. */
    void acknowledged(Instruction ack) {
        MonotonicTime now = clock.now();
        if (ack.epoch() < epoch) {
            // It speaks of an earlier sender's numbers, which are not these.
            metrics.count("distribution.earlier.epoch");
            answered(ack);
            return;
        }
        if (ack.life() != life) {
            boolean first = life == 0;
            answered(ack);
            if (!first) {
                return;
            }
        }
        lastHeard = now;
        unanswered = 0;
        if (ack.echo() >= 0 && now.millis() >= ack.echo()) {
            roundTrip.sample(now.millis() - ack.echo());
        }
        echoStamp = ack.stamp();
        echoAt = now;
        boolean held = false;
        for (Sent s : sent) {
            held |= s.num == ack.ackNum();
        }
        if (held) {
            sent.removeIf(s -> s.num < ack.ackNum());
        } else if (ack.ackNum() > topNum) {
            // The proxy holds numbers of an earlier sender under this epoch: go on above them, from nothing.
            metrics.count("distribution.numbers.met");
            topNum = ack.ackNum();
            sent.clear();
            sent.add(new Sent(0, RoutingTable.EMPTY, MonotonicTime.NEVER));
        }
        if (doubt(ack) || !current.sameAs(newest().table)) {
            // A change is waiting for its turn; what is heard meanwhile must not put it off.
            schedule(0);
        } else if (sent.size() > 1) {
            scheduleNext(now);
        }
    }
}
