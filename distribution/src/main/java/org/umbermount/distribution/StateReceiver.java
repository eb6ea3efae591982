package org.umbermount.distribution;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.umbermount.kernel.Clock;
import org.umbermount.kernel.ConfigurationRevision;
import org.umbermount.kernel.DaemonAddress;
import org.umbermount.kernel.Messenger;
import org.umbermount.kernel.Metrics;
import org.umbermount.kernel.MonotonicTime;
import org.umbermount.kernel.Safeguard;

/** The receiver in a proxy: numbered states of one sender at a time, fenced by epoch. */
public final class StateReceiver {
    private static final Logger LOG = LoggerFactory.getLogger("distribution");
    private static final int HELD_STATES = 64;

    private final Clock clock;
    private final Messenger messenger;
    private final Metrics metrics;
    private final long life;
    private final TreeMap<Long, RoutingTable> held = new TreeMap<>();
    private final List<Consumer<RoutingTable>> observers = new ArrayList<>();
    private long epoch;
    private DaemonAddress sender;
    private MonotonicTime lastHeard = MonotonicTime.NEVER;
    private RoutingTable inForce = RoutingTable.EMPTY;
    private long keepMs = -1;
    private MonotonicTime goodUntil = MonotonicTime.NEVER;

    StateReceiver(Clock clock, Messenger messenger, Metrics metrics, long life) {
        this.clock = clock;
        this.messenger = messenger;
        this.metrics = metrics;
        this.life = life;
        held.put(0L, RoutingTable.EMPTY);
        messenger.subscribe(Messenger.Topic.DISPATCH, (from, body) -> receive(from, Instruction.unpack(body)));
    }

    /** From now on a table counts only for so long after a majority was asked about it; see docs/quotas.md. */
    void countFor(long ms) {
        keepMs = ms;
    }

    /** How much longer the table in force counts for requests that carry a key. */
    public long goodForMs() {
        return keepMs < 0 ? Long.MAX_VALUE : goodUntil.since(clock.now());
    }

    /**
     * Takes word that no newer edition than one held here had been taken when a majority was asked. The moment is
     * put on this daemon's own clock by the echo of its own stamp, which is never later than now: whatever time the
     * word spent on its way, or this process standing still, is counted against it.
     */
    private void vouched(Instruction d) {
        long now = clock.now().millis();
        if (keepMs < 0
                || d.vouched() < 0
                || d.echo() < 0
                || d.echo() > now
                || d.life() != life
                || inForce.isEmpty()
                || inForce.edition().value() < d.vouched()) {
            return;
        }
        MonotonicTime until = new MonotonicTime(d.echo() - d.vouchAge() + keepMs);
        if (goodUntil.isBefore(until)) {
            goodUntil = until;
        }
    }

    /** Told of each table that comes into force. */
    public void observe(Consumer<RoutingTable> observer) {
        observers.add(observer);
    }

    public RoutingTable inForce() {
        return inForce;
    }

    public long life() {
        return life;
    }

    public long epoch() {
        return epoch;
    }

    public DaemonAddress sender() {
        return sender;
    }

    public MonotonicTime lastHeard() {
        return lastHeard;
    }

    private void receive(DaemonAddress from, Instruction d) {
        if (d.life() != 0 && d.life() != life) {
            // Meant for an earlier life of this daemon. The answer tells the sender of this one.
            metrics.count("distribution.earlier.life");
            acknowledge(from, d, 0);
            return;
        }
        if (d.epoch() == 0) {
            if (inForce.isEmpty() && epoch == 0 && d.difference() != null && d.oldNum() == 0) {
                bringIntoForce(RoutingTable.EMPTY.with(d.difference()), from);
            }
            vouched(d);
            return;
        }
        if (d.epoch() < epoch && Safeguard.FENCED_BY_EPOCH.holds()) {
            metrics.count("distribution.stale.epoch");
            acknowledge(from, d, 0);
            return;
        }
        if (d.epoch() > epoch) {
            LOG.info("Sender {} with epoch {} replaces epoch {}.", from, d.epoch(), epoch);
            epoch = d.epoch();
            sender = from;
            held.clear();
            held.put(0L, RoutingTable.EMPTY);
        }
        lastHeard = clock.now();
        if (d.difference() != null && !held.containsKey(d.newNum())) {
            // State 0 is the empty table and is always known, whatever has been trimmed.
            RoutingTable base = d.oldNum() == 0 ? RoutingTable.EMPTY : held.get(d.oldNum());
            if (base == null) {
                metrics.count("distribution.unknown.base");
            } else {
                RoutingTable table = base.with(d.difference());
                if (inForce.edition().isAfter(table.edition()) && Safeguard.NO_WAY_BACK.holds()) {
                    metrics.count("distribution.older.edition");
                    return;
                }
                boolean newest = d.newNum() > held.lastKey();
                held.put(d.newNum(), table);
                if (newest) {
                    bringIntoForce(table, from);
                }
            }
        }
        vouched(d);
        trim(d.throwawayNum());
        acknowledge(from, d, held.lastKey());
    }

    private void trim(long throwaway) {
        held.headMap(throwaway, false).clear();
        Iterator<Long> it = held.keySet().iterator();
        while (held.size() > HELD_STATES && it.hasNext()) {
            it.next();
            it.remove();
        }
        if (held.isEmpty()) {
            held.put(0L, RoutingTable.EMPTY);
        }
    }

    private void bringIntoForce(RoutingTable table, DaemonAddress from) {
        ConfigurationRevision before = inForce.edition();
        inForce = table;
        if (!before.equals(table.edition())) {
            LOG.info("Edition {} is in force, from {}.", table.edition(), from);
        }
        metrics.count("distribution.tables");
        for (Consumer<RoutingTable> o : observers) {
            o.accept(table);
        }
    }

    private void acknowledge(DaemonAddress to, Instruction d, long num) {
        messenger.send(
                to,
                Messenger.Topic.DISPATCH,
                new Instruction(epoch, life, 0, 0, num, 0, clock.now().millis(), d.stamp(), null).pack());
    }
}
