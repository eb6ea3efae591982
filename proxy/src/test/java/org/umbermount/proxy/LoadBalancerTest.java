package org.umbermount.proxy;

import io.netty.channel.DefaultEventLoop;
import io.netty.channel.EventLoop;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.umbermount.control.Configuration;
import org.umbermount.distribution.Tables;
import org.umbermount.kernel.DaemonAddress;
import org.umbermount.kernel.InstanceId;
import org.umbermount.kernel.Metrics;
import org.umbermount.kernel.MonotonicTime;
import org.umbermount.kernel.Settings;
import org.umbermount.kernel.testing.FakeClock;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

class LoadBalancerTest {
    private final FakeClock clock = new FakeClock();
    private final EventLoop loop = new DefaultEventLoop();
    private final ProxyListener desk = new ProxyListener(
            loop,
            clock,
            new Metrics(),
            new Settings.Bounds(4000, 5000, 3000, 6000, 3000, 0.2, 10_000, 60, 4000),
            "z",
            new Random(1));
    private final UpstreamService upstreamService = new UpstreamService("s", null);
    private final Configuration.Route route = new Configuration.Route(
            "r",
            "h",
            "/p/",
            Configuration.Kind.SAFE,
            false,
            5_000,
            800,
            1,
            2,
            List.of(new Configuration.Share("s", 1)));

    @AfterEach
    void close() {
        loop.shutdownGracefully();
    }

    private UpstreamServer server(String id, String zone) {
        UpstreamServer r = new UpstreamServer(
                desk,
                upstreamService,
                new Tables.Instance(new InstanceId(id), "s", DaemonAddress.parse("10.0.9.9:80"), zone, 3, 0, false),
                zone.equals("z"));
        upstreamService.repositories.add(r);
        (r.local ? upstreamService.local : upstreamService.elsewhere).add(r);
        return r;
    }

    private static void busy(UpstreamServer r, int requests, MonotonicTime now) {
        while (r.inFlight < requests) {
            r.begin(now);
        }
    }

    private Set<UpstreamServer> chosen(UpstreamServer... tried) {
        Set<UpstreamServer> chosen = new HashSet<>();
        for (int i = 0; i < 300; i++) {
            chosen.add(desk.loadBalancer()
                    .choose(upstreamService, route, List.of(tried), clock.now().plus(2_000)));
        }
        return chosen;
    }

    @Test
    void freeSlotHereIsUsedAndTheZoneNotLeft() {
        UpstreamServer full = server("a", "z");
        UpstreamServer free = server("b", "z");
        server("far", "y");
        busy(full, 3, clock.now());
        assertEquals(Set.of(free), chosen());
        assertTrue(chosen(free).contains(full), "the only one left here has room for a queue");
    }

    @Test
    void whereNothingHasRoomHereTheRequestGoesElsewhereAndOtherwiseNowhere() {
        UpstreamServer here = server("a", "z");
        busy(here, 6, clock.now());
        assertNull(desk.loadBalancer()
                .choose(upstreamService, route, List.of(), clock.now().plus(2_000)));
        UpstreamServer far = server("far", "y");
        assertEquals(Set.of(far), chosen());
    }

    @Test
    void serversElsewhereOfWhichNothingIsKnownAreNotTakenForIdle() {
        for (int i = 0; i < 4; i++) {
            busy(server("a" + i, "z"), 4, clock.now());
        }
        UpstreamServer far = server("far", "y");
        clock.advance(3_000);
        assertEquals(3, far.load(clock.now()), 0.01);
    }

    @Test
    void overflowIsSpreadOverTheServersElsewhere() {
        busy(server("a", "z"), 6, clock.now());
        Set<UpstreamServer> far = new HashSet<>();
        for (int i = 0; i < 8; i++) {
            far.add(server("far" + i, "y"));
        }
        assertEquals(far, chosen());
    }
}
