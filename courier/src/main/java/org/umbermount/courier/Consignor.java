package org.umbermount.courier;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.umbermount.kernel.Clock;
import org.umbermount.kernel.Edition;
import org.umbermount.kernel.Imprint;
import org.umbermount.kernel.Moment;
import org.umbermount.kernel.Postbag;
import org.umbermount.kernel.Safeguard;
import org.umbermount.kernel.Tally;

/**
 * The sender for one proxy, as in the State Synchronization Protocol: a rolling list of sent states whose first
 * is the one known to have arrived; each difference starts from the newest state that may still be on its way,
 * and from the known one once its timeout has passed.
 */
final class Consignor {
    static final int SENT_STATES = 32;
    static final long HEARTBEAT_MS = 3_000;
    /** Changes within this time travel together. */
    private static final long COLLECT_MS = 8;
    private static final long LAPSED_MS = 50;
    /** How many lives of the proxy that have ended are remembered. */
    private static final int ENDED_LIVES = 16;

    private static final class Sent {
        final long num;
        final Inventory table;
        Moment at;

        Sent(long num, Inventory table, Moment at) {
            this.num = num;
            this.table = table;
            this.at = at;
        }
    }

    private final Imprint proxy;
    private final long epoch;
    private final Clock clock;
    private final Postbag post;
    private final Tally tally;
    private final List<Sent> sent = new ArrayList<>();
    private final RoundTrip roundTrip = new RoundTrip();
    private final ArrayDeque<Long> ended = new ArrayDeque<>();
    private long life;
    private Moment metAt;
    private Inventory current = Inventory.EMPTY;
    private long topNum;
    private Moment lastSend = Moment.NEVER;
    private Moment lastHeard;
    private int unanswered;
    private long echoStamp = -1;
    private Moment echoAt;
    private Clock.Cancellable timer;
    private boolean closed;
    private Vouching vouching = Vouching.NONE;
    private long renewMs = HEARTBEAT_MS;
    private BooleanSupplier leased = () -> true;

    Consignor(Imprint proxy, long life, long epoch, Clock clock, Postbag post, Tally tally) {
        this.proxy = proxy;
        this.life = life;
        this.epoch = epoch;
        this.clock = clock;
        this.post = post;
        this.tally = tally;
        this.lastHeard = clock.now();
        this.metAt = lastHeard;
        sent.add(new Sent(0, Inventory.EMPTY, Moment.NEVER));
    }

    /** Sets what says at each moment whether the lease is held under which this sends. */
    void under(BooleanSupplier lease) {
        leased = lease;
    }

    private boolean mayEmit() {
        return !Safeguard.LEASE_CHECKED_ON_SENDING.holds() || leased.getAsBoolean();
    }

    /** From now on instructions say how fresh the table is known to be, at least as often as this. */
    void vouch(Vouching by, long everyMs) {
        vouching = by;
        renewMs = Math.min(HEARTBEAT_MS, everyMs);
    }

    /** The proxy's clock was heard of beside an acknowledgment. */
    void stamped(long forLife, long stamp, Moment at) {
        if (forLife == life && (echoStamp < 0 || echoAt.isBefore(at))) {
            echoStamp = stamp;
            echoAt = at;
        }
    }

    /** The proxy needs to hear now how fresh its table is. */
    void renew() {
        Moment now = clock.now();
        if (mayEmit() && now.since(lastSend) >= roundTrip.frame()) {
            sendEmpty(now);
            scheduleNext(now);
        }
    }

    Moment lastHeard() {
        return lastHeard;
    }

    long life() {
        return life;
    }

    /** The number and edition of the newest state known to have arrived. */
    long knownNum() {
        return sent.get(0).num;
    }

    Edition knownEdition() {
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
    void offer(Inventory table) {
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
            tally.count("courier.ended.life");
        }
    }

    /** As {@link #announced}, by an answer: to what was sent since the present life was met, only a life that runs can answer. */
    private void answered(Dispatch ack) {
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
        sent.add(new Sent(0, Inventory.EMPTY, Moment.NEVER));
        unanswered = 0;
        echoStamp = -1;
        lastHeard = clock.now();
        lastSend = Moment.NEVER;
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
    private Sent assumed(Moment now) {
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
        Moment now = clock.now();
        long frame = unanswered > 2 ? Math.min(1_000, roundTrip.rto() << Math.min(5, unanswered - 2)) : roundTrip.frame();
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

    private void scheduleNext(Moment now) {
        long next = renewMs - now.since(lastSend);
        if (sent.size() > 1) {
            next = Math.min(next, roundTrip.rto() - now.since(newest().at) + 1);
        }
        schedule(Math.max(1, next));
    }

    private void send(Sent from, Sent to, Moment now) {
        emit(new Dispatch(epoch, life, from.num, to.num, 0, knownNum(), now.millis(), echo(now),
                to.table.since(from.table), vouched(now), vouchAge(now)), now);
        unanswered++;
        tally.count("courier.sent");
    }

    private void sendEmpty(Moment now) {
        long num = newest().num;
        emit(new Dispatch(epoch, life, num, num, 0, knownNum(), now.millis(), echo(now), null,
                vouched(now), vouchAge(now)), now);
        tally.count("courier.heartbeats");
    }

    private void emit(Dispatch dispatch, Moment now) {
        lastSend = now;
        post.send(proxy, Postbag.Topic.DISPATCH, dispatch.pack());
    }

    private long vouched(Moment now) {
        return echo(now) < 0 || vouching.at() == null ? -1 : vouching.edition().value();
    }

    private long vouchAge(Moment now) {
        return vouching.at() == null ? 0 : now.since(vouching.at());
    }

    private long echo(Moment now) {
        return echoStamp < 0 ? -1 : echoStamp + now.since(echoAt);
    }

    /**
     * What was sent no later than the instruction that this answers, and is above what the proxy acknowledges, has not
     * arrived there: it need not be waited for. Tells whether there is such a state.
     */
    private boolean doubt(Dispatch ack) {
        boolean any = false;
        for (Sent s : sent) {
            if (s.num > ack.ackNum() && ack.echo() >= 0 && s.at.millis() <= ack.echo()) {
                s.at = Moment.NEVER;
                any = true;
            }
        }
        return any;
    }

    /** Takes an acknowledgment. */
    void acknowledged(Dispatch ack) {
        Moment now = clock.now();
        if (ack.epoch() < epoch) {
            // It speaks of an earlier sender's numbers, which are not these.
            tally.count("courier.earlier.epoch");
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
            tally.count("courier.numbers.met");
            topNum = ack.ackNum();
            sent.clear();
            sent.add(new Sent(0, Inventory.EMPTY, Moment.NEVER));
        }
        if (doubt(ack) || !current.sameAs(newest().table)) {
            // A change is waiting for its turn; what is heard meanwhile must not put it off.
            schedule(0);
        } else if (sent.size() > 1) {
            scheduleNext(now);
        }
    }
}
