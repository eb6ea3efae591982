package org.umbermount.proxy;

import io.netty.channel.DefaultEventLoop;
import io.netty.channel.EventLoop;
import java.util.Random;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.umbermount.distribution.Tables;
import org.umbermount.kernel.DaemonAddress;
import org.umbermount.kernel.InstanceId;
import org.umbermount.kernel.Metrics;
import org.umbermount.kernel.Settings;
import org.umbermount.kernel.testing.FakeClock;
import org.umbermount.kernel.testing.FakeMessenger;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class OccupancyTest {
    private final FakeClock clock = new FakeClock();
    private final FakeMessenger messenger = new FakeMessenger(clock, 5);
    private final DaemonAddress controller = DaemonAddress.parse("10.0.0.1:7540");
    private final EventLoop loop = new DefaultEventLoop();

    /** A proxy with one server, seen through the occupancy of its zone. */
    private final class Proxy {
        final ProxyListener desk = new ProxyListener(
                loop,
                clock,
                new Metrics(),
                new Settings.Bounds(4000, 5000, 3000, 6000, 3000, 0.2, 10_000, 60, 4000),
                "z",
                new Random(1));
        final UpstreamServer server;

        Proxy(String address, String zone) {
            desk.watch(new Occupancy(clock, messenger.bag(DaemonAddress.parse(address)), zone, () -> controller));
            server = new UpstreamServer(
                    desk,
                    new UpstreamService("s", null),
                    new Tables.Instance(
                            new InstanceId("i-1"), "s", DaemonAddress.parse("10.0.9.9:80"), zone, 3, 0, false),
                    true);
        }

        double load() {
            return server.load(clock.now());
        }
    }

    @AfterEach
    void close() {
        loop.shutdownGracefully();
    }

    private void startController() {
        new OccupancyBoard(clock, messenger.bag(controller), new Metrics());
    }

    @Test
    void proxiesOfAZoneSeeWhatTheOthersHaveAndNobodyElseDoes() {
        startController();
        Proxy a = new Proxy("10.0.0.2:7541", "z");
        Proxy b = new Proxy("10.0.0.3:7541", "z");
        Proxy elsewhere = new Proxy("10.0.0.4:7541", "y");
        a.server.begin(clock.now());
        a.server.begin(clock.now());
        b.server.begin(clock.now());
        elsewhere.server.begin(clock.now());
        clock.advance(400);
        assertEquals(3, a.load());
        assertEquals(3, b.load());
        assertEquals(1, elsewhere.load());
        // Its own requests count at once, those of others within some tenths of a second.
        b.server.begin(clock.now());
        assertEquals(4, b.load());
        a.server.end();
        a.server.end();
        clock.advance(400);
        assertEquals(2, b.load());
    }

    @Test
    void silentProxyIsForgottenAndOldSumsAreNotUsed() {
        startController();
        Proxy a = new Proxy("10.0.0.2:7541", "z");
        Proxy b = new Proxy("10.0.0.3:7541", "z");
        a.server.begin(clock.now());
        b.server.begin(clock.now());
        clock.advance(400);
        assertEquals(2, b.load());
        messenger.down(DaemonAddress.parse("10.0.0.2:7541"));
        clock.advance(700);
        assertEquals(1, b.load());
        messenger.down(controller);
        clock.advance(Occupancy.FRESH_MS + 100);
        assertFalse(b.desk.occupancy().fresh(clock.now()));
        startController();
        clock.advance(300);
        assertTrue(b.desk.occupancy().fresh(clock.now()));
    }

    @Test
    void nothingIsSaidWhileNothingIsUnderway() {
        startController();
        Proxy a = new Proxy("10.0.0.2:7541", "z");
        clock.advance(5_000);
        assertEquals(0, messenger.sent);
        a.server.begin(clock.now());
        clock.advance(1_000);
        assertTrue(messenger.sent > 10);
        a.server.end();
        clock.advance(2_500);
        long before = messenger.sent;
        clock.advance(5_000);
        assertEquals(before, messenger.sent);
    }
}
