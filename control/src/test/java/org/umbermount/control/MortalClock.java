package org.umbermount.control;

import java.util.ArrayList;
import java.util.List;
import org.umbermount.kernel.Clock;
import org.umbermount.kernel.MonotonicTime;
import org.umbermount.kernel.testing.FakeClock;

/** The clock of one process: when it dies, or while it is frozen, none of its tasks run. */
public final class MortalClock implements Clock {
    private final FakeClock shared;
    private final List<Runnable> held = new ArrayList<>();
    private boolean dead;
    private boolean frozen;

    /** Follows a clock that all processes of a test share. */
    public MortalClock(FakeClock shared) {
        this.shared = shared;
    }

    /** Ends the process: its timers never run again. */
    public void die() {
        dead = true;
    }

    /** Stops the process, as SIGSTOP does: its timers are held back until {@link #thaw}. */
    public void freeze() {
        frozen = true;
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
        return shared.now();
    }

    @Override
    public long wallMillis() {
        return shared.wallMillis();
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
