package org.umbermount.control;

import java.util.ArrayDeque;
import org.umbermount.kernel.Clock;
import org.umbermount.kernel.Metrics;
import org.umbermount.kernel.MonotonicTime;
import org.umbermount.storage.DiskWriter;

/**
 * The one place where {@link ReplicaStorage} changes. Invariant: changes are made one at a time, and each is on disk before
 * {@link #memory()} shows it and before anything runs that rests on it. A refused change never shows.
 */
final class DurableState {
    private static final int BACKLOG = 512;
    private static final long RETRY_MS = 200;

    private final Clock clock;
    private final DiskWriter room;
    private final Metrics metrics;
    private final StateJournal journal;
    private final ArrayDeque<Runnable> backlog = new ArrayDeque<>();
    private ReplicaStorage memory;
    private boolean busy;
    private boolean onDisk;
    private boolean freezing;
    private MonotonicTime frozenSince;

    /**
     * @param memory what the disk held, or a blank memory to start from
     * @param onDisk whether the disk held it
     */
    DurableState(
            Clock clock,
            DiskWriter room,
            Metrics metrics,
            StateIncrements increments,
            ReplicaStorage memory,
            boolean onDisk) {
        this.clock = clock;
        this.room = room;
        this.metrics = metrics;
        this.journal = new StateJournal(increments);
        this.memory = memory;
        this.onDisk = onDisk;
        // A promise of before a restart freezes as well: whoever finds it unfinished has to be able to tell for how
        // long.
        this.frozenSince = memory.frozen() ? clock.now() : null;
    }

    /** The newest memory that is on disk; before the first write the one to start from. */
    ReplicaStorage memory() {
        return memory;
    }

    /** Whether a promise is on its way to disk. */
    boolean freezing() {
        return freezing;
    }

    /** How long a promise has frozen this voter; 0 if none does. */
    long frozenMs() {
        return memory.frozen() && frozenSince != null ? clock.now().since(frozenSince) : 0;
    }

    /** Runs a change now, or once the changes before it are done. */
    void serially(Runnable change) {
        if (!busy) {
            change.run();
        } else if (backlog.size() < BACKLOG) {
            backlog.add(change);
        } else {
            metrics.count("control.backlog.dropped");
        }
    }

    /** Writes a memory that holds a new promise; {@link #freezing()} holds from now until the disk has answered. */
    void persistPromise(ReplicaStorage next, Runnable then) {
        freezing = true;
        persist(next, then);
    }

    /** Writes the next memory; {@code then} runs once it is on disk, and never if the disk refuses it. */
    void persist(ReplicaStorage next, Runnable then) {
        if (busy) {
            throw new IllegalStateException("Two changes of memory at once.");
        }
        busy = true;
        ReplicaStorage old = memory;
        StateIncrement increment = onDisk ? journal.next(old.state(), next.state()) : null;
        room.write(next.changesSince(onDisk ? old : null, increment), safe -> {
            busy = false;
            freezing = false;
            if (safe) {
                noteWritten(old, next, increment);
                take(next);
                then.run();
            } else {
                refused(old, next, then);
            }
            while (!busy && !backlog.isEmpty()) {
                backlog.poll().run();
            }
        });
    }

    private void noteWritten(ReplicaStorage old, ReplicaStorage next, StateIncrement increment) {
        if (increment != null) {
            journal.incrementWritten(increment);
        } else if (!onDisk || old.state() != next.state()) {
            journal.stateWritten();
        }
    }

    private void take(ReplicaStorage next) {
        onDisk = true;
        memory = next;
        if (!next.frozen()) {
            frozenSince = null;
        } else if (frozenSince == null) {
            frozenSince = clock.now();
        }
    }

    /** Only the very first write is tried again by itself: nothing else would ask for it. */
    private void refused(ReplicaStorage old, ReplicaStorage next, Runnable then) {
        metrics.count("control.writes.refused");
        if (!onDisk && old.view().number() == 0) {
            clock.after(RETRY_MS, () -> serially(() -> persist(next, then)));
        }
    }
}
