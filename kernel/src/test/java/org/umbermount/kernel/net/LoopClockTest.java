package org.umbermount.kernel.net;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.umbermount.kernel.Clock;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Timers of the real loop against their owner's closing. */
class LoopClockTest {
    private static final int OWNERS = 2_000;

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final LoopClock clock = new LoopClock(group.next());
    private int late;
    private int runs;
    private int owners;

    @AfterEach
    void stop() throws InterruptedException {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).await(3, TimeUnit.SECONDS);
    }

    private <T> T onLoop(Callable<T> work) throws Exception {
        return clock.loop().submit(work).get(20, TimeUnit.SECONDS);
    }

    /** Something that has timers until it is closed; all of it is the loop's. */
    private final class Owner {
        private final List<Clock.Cancellable> timers = new ArrayList<>();
        private boolean closed;

        Owner(Random random) {
            timers.add(clock.after(random.nextInt(4), this::tick));
            timers.add(clock.every(1 + random.nextInt(3), this::tick));
            // Closed from its own timer, or from another one that falls due about then.
            timers.add(clock.every(1, () -> {
                tick();
                if (random.nextInt(8) == 0) {
                    close();
                }
            }));
            clock.after(random.nextInt(12), this::close);
        }

        private void tick() {
            runs++;
            if (closed) {
                late++;
            }
        }

        private void close() {
            owners += closed ? 0 : 1;
            closed = true;
            timers.forEach(Clock.Cancellable::cancel);
        }
    }

    @Test
    void cancelledTimerNeverRunsAgain() throws Exception {
        Random random = new Random(4);
        for (int i = 0; i < OWNERS; i++) {
            onLoop(() -> new Owner(random));
        }
        while (onLoop(() -> owners) < OWNERS) {
            Thread.sleep(1);
        }
        int before = onLoop(() -> runs);
        assertEquals(0, onLoop(() -> late));
        assertTrue(before > OWNERS);
        Thread.sleep(30);
        assertEquals(before, onLoop(() -> runs));
    }

    /** A timer that fails goes on, and so does the loop. */
    @Test
    void failureOfATimerEndsNeitherItNorTheLoop() throws Exception {
        int[] tries = new int[1];
        Clock.Cancellable timer = onLoop(() -> clock.every(1, () -> {
            tries[0]++;
            if (tries[0] % 2 == 0) {
                throw new IllegalStateException("played by the test");
            }
            throw new NoClassDefFoundError("played by the test");
        }));
        while (onLoop(() -> tries[0]) < 5) {
            Thread.sleep(1);
        }
        onLoop(() -> {
            timer.cancel();
            return null;
        });
    }

    @Test
    void timersOutsideTheLoopAreFoundOut() throws Exception {
        assertThrows(AssertionError.class, () -> clock.after(1, () -> {}));
        Clock.Cancellable timer = onLoop(() -> clock.after(10_000, () -> {}));
        assertThrows(AssertionError.class, timer::cancel);
    }
}
