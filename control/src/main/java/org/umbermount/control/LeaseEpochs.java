package org.umbermount.control;

import java.util.ArrayList;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.umbermount.kernel.MessagePackCodec;
import org.umbermount.kernel.Safeguard;
import org.umbermount.storage.AppendOnlyFile;
import org.umbermount.storage.DiskWriter;
import org.umbermount.storage.LogRecord;

/**
 * The epochs of leases as one voter grants them: the number of a view and a counter that rises in and over all views. What was
 * granted is remembered only while the process runs, so a bound on the counter is on disk before anything is granted under it,
 * and after a restart nothing is granted at or below the bound of before.
 */
final class LeaseEpochs {
    private static final Logger LOG = LoggerFactory.getLogger("control");
    /** The entry in the file of the chain and the views; {@link ReplicaStorage} has those before it. */
    private static final byte BOUND = 7;

    private static final int COUNTER_BITS = 36;
    private static final long COUNTER_MASK = (1L << COUNTER_BITS) - 1;
    /** How far a bound reaches beyond what is asked for, so that it is seldom written. */
    private static final long RESERVE = 1_024;
    /** How many wait for the disk at most; those beyond ask again. */
    private static final int MOST_WAITING = 512;

    private final DiskWriter room;
    private final long floor;
    private final List<Waiting> waiting = new ArrayList<>();
    private long bound;
    private boolean writing;

    private record Waiting(long counter, Runnable then) {}

    /**
     * @param room writes to the file
     * @param memory the file of the chain and the views, as it was found
     */
    LeaseEpochs(DiskWriter room, AppendOnlyFile memory) {
        this.room = room;
        this.floor = Safeguard.EPOCHS_RISE_OVER_RESTARTS.holds() ? read(memory) : 0;
        this.bound = floor;
    }

    private static long read(AppendOnlyFile memory) {
        byte[] noted = memory.get(BOUND);
        if (noted == null) {
            return 0;
        }
        try {
            return MessagePackCodec.read(noted).num();
        } catch (MessagePackCodec.UnreadableException e) {
            LOG.warn("The bound of the lease epochs cannot be read: {}.", e.getMessage());
            return 0;
        }
    }

    static long of(long view, long counter) {
        return (view << COUNTER_BITS) + counter;
    }

    static long counter(long epoch) {
        return epoch & COUNTER_MASK;
    }

    /** The least epoch that is no lower than either in view or counter. */
    static long join(long one, long other) {
        return of(Math.max(one >>> COUNTER_BITS, other >>> COUNTER_BITS), Math.max(counter(one), counter(other)));
    }

    /** Writes a first bound, while nobody needs it yet. */
    void start() {
        whenCovered(of(0, floor + 1), () -> {});
    }

    /** No counter above it was granted here before this start. */
    long floor() {
        return floor;
    }

    /** From where a daemon that has just started asks: probably above the others' floors as well, and below their bounds. */
    long first() {
        return floor + RESERVE / 2;
    }

    /** Runs something once the bound on disk covers an epoch; never if the disk refuses it. */
    void whenCovered(long epoch, Runnable then) {
        if (counter(epoch) <= bound) {
            then.run();
            return;
        }
        if (waiting.size() < MOST_WAITING) {
            waiting.add(new Waiting(counter(epoch), then));
        }
        if (!writing) {
            write(counter(epoch) + RESERVE);
        }
    }

    private void write(long next) {
        writing = true;
        room.write(
                List.of(new LogRecord(BOUND, MessagePackCodec.write().num(next).done())), safe -> {
                    writing = false;
                    List<Waiting> these = new ArrayList<>(waiting);
                    waiting.clear();
                    if (safe) {
                        bound = next;
                        these.forEach(w -> whenCovered(w.counter(), w.then()));
                    }
                });
    }
}
