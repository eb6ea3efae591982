package org.umbermount.control;

import java.util.ArrayList;
import java.util.List;
import java.util.function.LongSupplier;
import org.umbermount.kernel.Clock;
import org.umbermount.kernel.MonotonicTime;
import org.umbermount.kernel.testing.FakeClock;

/** The clock of one process: when it dies, or while it is frozen, none of its tasks run. */
public final class MortalClock implements Clock {
    private final FakeClock shared;
    private final List<Runnable> held = new ArrayList<>();
    private final LongSupplier wallOffset;
    private boolean dead;
    private boolean frozen;
    /** When this clock stopped with the process; null while it runs. */
    private MonotonicTime stoppedAt;

    private long behindMs;

    /** Follows a clock that all processes of a test share. */
    public MortalClock(FakeClock shared) {
        this(shared, () -> 0);
    }

    /**
     * @param wallOffset how far the machine's time of day is off
     */
    public MortalClock(FakeClock shared, LongSupplier wallOffset) {
        this.shared = shared;
        this.wallOffset = wallOffset;
    }

    /** Ends the process: its timers never run again. */
    public void die() {
        dead = true;
    }

    /** Stops the process, as SIGSTOP does: its timers are held back until {@link #thaw}. */
    public void freeze() {
        frozen = true;
    }

    /** The clock itself stands still too, as on a machine that is suspended. */
    void suspend() {
        stoppedAt = now();
        freeze();
    }

    /** The clock goes on from where it stopped, if it did. */
    void resume() {
        if (stoppedAt != null) {
            behindMs = shared.now().since(stoppedAt);
            stoppedAt = null;
        }
    }

    /** What fell due meanwhile runs now, in order. */
    public void thaw() {
        frozen = false;
        List<Runnable> due = new ArrayList<>(held);
        held.clear();
        due.forEach(this::execute);
    }

    @Override
    public MonotonicTime now() {
        return stoppedAt != null ? stoppedAt : shared.now().plus(-behindMs);
    }

    @Override
    public long wallMillis() {
        return shared.wallMillis() + wallOffset.getAsLong();
    }

    @Override
    public Cancellable after(long ms, Runnable task) {
        return shared.after(ms, () -> {
            if (frozen) {
                held.add(task);
            } else if (!dead) {
                task.run();
            }
        });
    }

    @Override
    public void execute(Runnable task) {
        after(0, task);
    }
}
