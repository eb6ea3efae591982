package org.umbermount.kernel.testing;

import java.util.PriorityQueue;
import org.umbermount.kernel.Clock;
import org.umbermount.kernel.MonotonicTime;

/** A clock that moves only when a test moves it. */
public final class FakeClock implements Clock {
    private static final class Task implements Comparable<Task> {
        long at;
        long order;
        Runnable work;
        boolean cancelled;

        @Override
        public int compareTo(Task o) {
            return at != o.at ? Long.compare(at, o.at) : Long.compare(order, o.order);
        }
    }

    private final PriorityQueue<Task> tasks = new PriorityQueue<>();
    private long now = 1_000;
    private long order;
    private long wallOffset = 1_700_000_000_000L;

    @Override
    public MonotonicTime now() {
        return new MonotonicTime(now);
    }

    @Override
    public long wallMillis() {
        return now + wallOffset;
    }

    public void stepWallClock(long ms) {
        wallOffset += ms;
    }

    @Override
    public Cancellable after(long ms, Runnable work) {
        Task task = new Task();
        task.at = now + Math.max(0, ms);
        task.order = order++;
        task.work = work;
        tasks.add(task);
        return () -> task.cancelled = true;
    }

    @Override
    public void execute(Runnable task) {
        after(0, task);
    }

    /** Runs everything that falls due in the next {@code ms}. */
    public void advance(long ms) {
        long end = now + ms;
        while (!tasks.isEmpty() && tasks.peek().at <= end) {
            Task task = tasks.poll();
            now = Math.max(now, task.at);
            if (!task.cancelled) {
                task.work.run();
            }
        }
        now = end;
    }
}
