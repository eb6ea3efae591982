package org.umbermount.app;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.umbermount.app.SignalRelay.Request;
import org.umbermount.kernel.Mutation;
import org.umbermount.kernel.Safeguard;
import org.umbermount.kernel.net.LoopClock;
import sun.misc.Signal;
import sun.misc.SignalHandler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Signals on their way to the loop, before it runs, meanwhile and at once with its start. */
class SignalRelayTest {
    private static List<Request> servedAfterEarly(Request... requests) {
        SignalRelay relay = new SignalRelay();
        for (Request request : requests) {
            relay.deliver(request);
        }
        List<Request> served = new ArrayList<>();
        relay.connect(served::add);
        return served;
    }

    @Test
    void earlySignalsAreServedOnceEachAndAReloadBeforeAStop() {
        assertEquals(List.of(), servedAfterEarly());
        assertEquals(List.of(Request.STOP), servedAfterEarly(Request.STOP, Request.STOP));
        assertEquals(
                List.of(Request.RELOAD, Request.STOP), servedAfterEarly(Request.STOP, Request.RELOAD, Request.RELOAD));
    }

    @Test
    void withoutTheSafeguardAnEarlySignalIsLost() throws Exception {
        assertEquals(List.of(), Mutation.without(Safeguard.EARLY_SIGNALS_KEPT, () -> servedAfterEarly(Request.STOP)));
    }

    /** Signal threads of their own deliver while the loop is connected: none is lost, none is served beside the loop. */
    @Test
    void signalsThatMeetTheStartOfTheLoopAreAllServedOnIt() throws Exception {
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        try {
            LoopClock clock = new LoopClock(group.next());
            for (int round = 0; round < 300; round++) {
                playRound(clock);
            }
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS).await(3, TimeUnit.SECONDS);
        }
    }

    private static void playRound(LoopClock clock) throws Exception {
        SignalRelay relay = new SignalRelay();
        AtomicInteger beside = new AtomicInteger();
        int[] served = new int[Request.values().length];
        CountDownLatch go = new CountDownLatch(1);
        List<Thread> signalThreads = new ArrayList<>();
        for (Request request : Request.values()) {
            Thread thread = new Thread(
                    () -> {
                        awaitQuietly(go);
                        relay.deliver(request);
                    },
                    "signal");
            thread.start();
            signalThreads.add(thread);
        }
        go.countDown();
        relay.connect(request -> clock.execute(() -> {
            if (!clock.inEventLoop()) {
                beside.incrementAndGet();
            }
            served[request.ordinal()]++;
        }));
        for (Thread thread : signalThreads) {
            thread.join();
        }
        int[] seen = clock.loop().submit(() -> served.clone()).get(10, TimeUnit.SECONDS);
        assertEquals(0, beside.get());
        assertEquals(1, seen[Request.RELOAD.ordinal()]);
        assertEquals(1, seen[Request.STOP.ordinal()]);
    }

    private static void awaitQuietly(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** The JVM's own signals, in this process: without a handler each of them would end it. */
    @Test
    void installedHandlersTakeRealSignals() throws Exception {
        Map<Signal, SignalHandler> before = new HashMap<>();
        for (String name : List.of("HUP", "TERM", "INT")) {
            Signal signal = new Signal(name);
            before.put(signal, Signal.handle(signal, SignalHandler.SIG_DFL));
        }
        try {
            SignalRelay relay = new SignalRelay();
            relay.install();
            Signal.raise(new Signal("TERM"));
            CountDownLatch stops = new CountDownLatch(1);
            // SIGHUP is not raised: a process that was started with it ignored, as in some shells, cannot take it.
            relay.connect(request -> {
                if (request == Request.STOP) {
                    stops.countDown();
                }
            });
            assertTrue(stops.await(10, TimeUnit.SECONDS));
        } finally {
            before.forEach(Signal::handle);
        }
    }
}
