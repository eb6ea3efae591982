package org.umbermount.archive;

import org.umbermount.kernel.Almanac;
import org.umbermount.kernel.Moment;
import org.umbermount.kernel.testing.FakeAlmanac;

/** The clock of one process: when it dies, or while it is frozen, none of its tasks run. */
final class MortalAlmanac implements Almanac {
    private final FakeAlmanac shared;
    private boolean dead;

    MortalAlmanac(FakeAlmanac shared) {
        this.shared = shared;
    }

    void die() {
        dead = true;
    }

    @Override
    public Moment now() {
        return shared.now();
    }

    @Override
    public long wallMillis() {
        return shared.wallMillis();
    }

    @Override
    public Cancellable after(long ms, Runnable task) {
        return shared.after(ms, () -> {
            if (!dead) {
                task.run();
            }
        });
    }

    @Override
    public void execute(Runnable task) {
        after(0, task);
    }
}
