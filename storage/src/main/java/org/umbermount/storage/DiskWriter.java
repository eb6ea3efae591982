package org.umbermount.storage;

import java.util.ArrayDeque;
import java.util.List;
import java.util.concurrent.Executor;
import org.umbermount.kernel.Clock;
import org.umbermount.kernel.MonotonicTime;

/**
 * Writes to a stack on a thread of its own and reports back on the loop. Says how long the disk has kept a
 * write waiting, so that others can act on a full, hung or slow disk.
 */
public final class DiskWriter {
    private static final long PROBE_MS = 1_000;
    private static final byte PROBE_KEY = 127;

    private final AppendOnlyFile stack;
    private final DiskTasks disk;
    private final Clock clock;
    private final ArrayDeque<MonotonicTime> pending = new ArrayDeque<>();
    private boolean refusing;
    private MonotonicTime lastRefusal = MonotonicTime.NEVER;
    private long slowestMs;

    /** Told whether a write is safe. */
    public interface Outcome {
        /** Called once, on the event loop: {@code safe} is false if the write failed and may or may not be on disk. */
        void done(boolean safe);
    }

    /**
     * Starts to write to the file on the disk's thread, and to try again once a second while the disk refuses writes.
     */
    public DiskWriter(AppendOnlyFile stack, Executor thread, Clock clock) {
        this.stack = stack;
        this.disk = new DiskTasks(thread, clock);
        this.clock = clock;
        clock.every(PROBE_MS, this::probe);
    }

    /** Writes; {@code outcome} runs on the loop. */
    public void write(List<LogRecord> folios, Outcome outcome) {
        MonotonicTime start = clock.now();
        pending.add(start);
        disk.submit(
                () -> {
                    stack.put(folios);
                    return null;
                },
                written -> settled(start, true, outcome),
                failure -> settled(start, false, outcome));
    }

    private void settled(MonotonicTime start, boolean safe, Outcome outcome) {
        pending.poll();
        refusing = !safe;
        if (!safe) {
            lastRefusal = clock.now();
        }
        slowestMs = Math.max(slowestMs / 2, clock.now().since(start));
        outcome.done(safe);
    }

    private void probe() {
        if (refusing && pending.isEmpty()) {
            write(List.of(new LogRecord(PROBE_KEY, new byte[64])), safe -> {});
        }
    }

    /** How long the oldest unfinished write has waited. */
    public long stuckMs() {
        return pending.isEmpty() ? 0 : clock.now().since(pending.peek());
    }

    /** Whether the last write was refused. */
    public boolean refusing() {
        return refusing;
    }

    /** Whether the disk can be relied on now. */
    public boolean healthy(long patienceMs) {
        return !refusing && stuckMs() < patienceMs;
    }

    /** The longest recent write in milliseconds; an old maximum fades by half with each write. */
    public long slowestMs() {
        return slowestMs;
    }

    /** When a write was refused last; {@link MonotonicTime#NEVER} if none was. */
    public MonotonicTime lastRefusal() {
        return lastRefusal;
    }
}
