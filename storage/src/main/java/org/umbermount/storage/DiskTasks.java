package org.umbermount.storage;

import java.io.IOException;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.umbermount.kernel.Clock;
import org.umbermount.kernel.Safeguard;

/**
 * Hands work from the event loop to the disk's thread and its outcome back. Each task ends with exactly one of its two
 * completions, on the loop, in the order in which the tasks were submitted, whatever the task throws. A task touches
 * only what it was handed and what the disk's thread alone uses; what it found out travels as its result.
 */
public final class DiskTasks {
    private static final Logger LOG = LoggerFactory.getLogger("storage");

    private final Executor thread;
    private final Clock clock;

    /** What the disk's thread does. */
    public interface Task<T> {
        /** Runs on the disk's thread and may wait for the disk. */
        T run() throws IOException;
    }

    /**
     * @param thread runs what it is given one after the other
     * @param clock the clock of the loop that submits
     */
    public DiskTasks(Executor thread, Clock clock) {
        this.thread = thread;
        this.clock = clock;
    }

    /** Submits a task; then {@code succeeded} runs on the loop with its result, or {@code failed} with what it threw. */
    public <T> void submit(Task<T> task, Consumer<T> succeeded, Consumer<Throwable> failed) {
        assert clock.inEventLoop() : "a disk task is submitted beside the event loop";
        thread.execute(() -> tell(outcome(task, succeeded, failed)));
    }

    private void tell(Runnable outcome) {
        try {
            clock.execute(outcome);
        } catch (RejectedExecutionException e) {
            // The loop has ended, and whoever waited for the outcome with it.
            LOG.debug("The outcome of a disk task came after the end of the event loop.");
        }
    }

    private static <T> Runnable outcome(Task<T> task, Consumer<T> succeeded, Consumer<Throwable> failed) {
        T result;
        try {
            result = task.run();
        } catch (IOException e) {
            return () -> failed.accept(e);
        } catch (Throwable e) {
            if (e instanceof Error error && !Safeguard.DISK_ERRORS_REPORTED.holds()) {
                throw error;
            }
            // An error too, as of memory: whoever waits for the outcome would wait for good.
            return () -> {
                LOG.error("A disk task failed.", e);
                failed.accept(e);
            };
        }
        return () -> succeeded.accept(result);
    }
}
