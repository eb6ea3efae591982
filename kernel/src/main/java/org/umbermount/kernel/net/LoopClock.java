package org.umbermount.kernel.net;

import io.netty.channel.EventLoop;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.umbermount.kernel.Clock;
import org.umbermount.kernel.MonotonicTime;

/** The real clocks, with timers on a Netty event loop. */
public final class LoopClock implements Clock {
    private static final Logger LOG = LoggerFactory.getLogger("kernel");
    private final EventLoop loop;

    /** Makes a clock whose tasks run on the given event loop. */
    public LoopClock(EventLoop loop) {
        this.loop = loop;
    }

    /** The event loop on which all tasks run. */
    public EventLoop loop() {
        return loop;
    }

    @Override
    public MonotonicTime now() {
        return new MonotonicTime(System.nanoTime() / 1_000_000);
    }

    @Override
    public long wallMillis() {
        return System.currentTimeMillis();
    }

    @Override
    public Cancellable after(long ms, Runnable task) {
        assert loop.inEventLoop() : "a timer is set beside the event loop";
        Future<?> future = loop.schedule(() -> guard(task), ms, TimeUnit.MILLISECONDS);
        return () -> {
            assert loop.inEventLoop() : "a timer is cancelled beside the event loop";
            future.cancel(false);
        };
    }

    @Override
    public void execute(Runnable task) {
        loop.execute(() -> guard(task));
    }

    @Override
    public boolean inEventLoop() {
        return loop.inEventLoop();
    }

    private static void guard(Runnable task) {
        try {
            task.run();
        } catch (Throwable e) {
            // An error of a timer would otherwise be kept by its future, which nobody asks.
            LOG.error("A task failed.", e);
        }
    }
}
