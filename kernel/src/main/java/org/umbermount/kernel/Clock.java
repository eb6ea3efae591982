package org.umbermount.kernel;

/** The clocks and timers of a process. All tasks run on the process's one loop. */
public interface Clock {
    /** The time on a clock that never goes back and is not comparable between processes. */
    MonotonicTime now();

    /** Time of day in milliseconds; close to true time but may step. */
    long wallMillis();

    /** Runs the task once on the event loop, after so many milliseconds. */
    Cancellable after(long ms, Runnable task);

    /** Runs the task again and again with {@code ms} between the runs. */
    default Cancellable every(long ms, Runnable task) {
        final Cancellable[] current = new Cancellable[1];
        final boolean[] stopped = new boolean[1];
        Runnable step = new Runnable() {
            @Override
            public void run() {
                if (stopped[0]) {
                    return;
                }
                try {
                    task.run();
                } finally {
                    if (!stopped[0]) {
                        current[0] = after(ms, this);
                    }
                }
            }
        };
        current[0] = after(ms, step);
        return () -> {
            stopped[0] = true;
            current[0].cancel();
        };
    }

    /** Runs the task on the loop soon, from any thread. */
    void execute(Runnable task);

    /** A pending task that can be taken back. */
    interface Cancellable {
        /** Keeps the task from running again; does nothing if it has run already. */
        void cancel();
    }
}
