package org.umbermount.kernel;

/** The clocks and timers of a process. All tasks run on the process's one loop. */
public interface Clock {
    /** The time on a clock that never goes back and is not comparable between processes. */
    MonotonicTime now();

    /**
     * Time of day in milliseconds, for people to read. It may step by hours, back as well as ahead: nothing is decided by it, and
     * no number that must differ from others, or rise, is made of it.
     */
    long wallMillis();

    /** Runs the task once on the event loop, after so many milliseconds; timers are set and cancelled on the loop alone. */
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

    /**
     * Whether the calling thread is the loop's. Objects that are confined to the loop assert it where other threads
     * could come in; assertions are on in tests only.
     */
    default boolean inEventLoop() {
        return true;
    }

    /** A pending task that can be taken back. */
    interface Cancellable {
        /** Keeps the task from running again; does nothing if it has run already. */
        void cancel();
    }
}
