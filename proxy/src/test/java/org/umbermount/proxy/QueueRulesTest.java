package org.umbermount.proxy;

import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.umbermount.kernel.DaemonAddress;
import org.umbermount.kernel.ErrorKind;
import org.umbermount.kernel.MessagePackCodec;
import org.umbermount.kernel.Messenger;
import org.umbermount.proxy.ProxyFixture.RouteSpec;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** The more urgent kind of request comes first where requests wait for servers; see docs/traffic.md. */
class QueueRulesTest {
    private static final int QUEUE = 256;
    private static final int AIM_MS = 20_000;
    private final CountDownLatch release = new CountDownLatch(1);
    private final SumsPost messenger = new SumsPost();
    private ProxyFixture proxy;
    private ScriptedServer server;

    /** Tells what others have at the servers, as the zone's controller does. */
    private static final class SumsPost implements Messenger {
        private Listener listener;

        @Override
        public DaemonAddress self() {
            return DaemonAddress.NONE;
        }

        @Override
        public void send(DaemonAddress to, Topic topic, byte[] body) {
            // What this daemon has is of no interest here.
        }

        @Override
        public void subscribe(Topic topic, Listener l) {
            listener = l;
        }

        void othersHave(int code, int requests) throws MessagePackCodec.UnreadableException {
            listener.receive(
                    DaemonAddress.NONE,
                    MessagePackCodec.write().num(1).num(code).num(requests).done());
        }
    }

    @BeforeEach
    void open() throws Exception {
        proxy = new ProxyFixture();
        server = proxy.server("s", 1);
        proxy.routes(
                RouteSpec.safe("/urgent/").aim(AIM_MS).timeout(10_000).rank(0),
                RouteSpec.safe("/other/").aim(AIM_MS).timeout(6_000).rank(3),
                RouteSpec.unsafe("/hold/").rank(1));
    }

    @AfterEach
    void close() throws Exception {
        release.countDown();
        proxy.close();
    }

    private <T> T onLoop(Callable<T> task) throws Exception {
        return proxy.clock.loop().submit(task).get();
    }

    private void hold(ScriptedServer held, String path) {
        held.act((request, out) -> {
            if (request.head().contains(path)) {
                release.await(5, TimeUnit.SECONDS);
            }
            return ScriptedServer.ok("hello").answer(request, out);
        });
    }

    /** Has a request taken in, as if a client had just sent it; to be called on the loop. */
    private RequestExchange arrive(String path) {
        HttpRequest request = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, path);
        request.headers().set("Host", "h").set("Request-Attempt", "t1");
        RequestExchange taken = proxy.desk.receive(new ClientConnection(proxy.desk, 8_192), request, 10_000);
        taken.bodyWhole();
        taken.start();
        return taken;
    }

    private List<String> order() {
        List<String> paths = new ArrayList<>();
        for (ScriptedServer.Request r : server.seen) {
            paths.add(r.head().substring(4, r.head().indexOf(" HTTP")));
        }
        return paths;
    }

    private void othersFill(int requests) throws Exception {
        onLoop(() -> {
            messenger.othersHave("i0".hashCode(), requests);
            return null;
        });
    }

    private void watchOthers() throws Exception {
        onLoop(() -> {
            proxy.desk.watch(new Occupancy(proxy.clock, messenger, "z", () -> null));
            return null;
        });
    }

    @Test
    void slotThatIsFreedGoesToTheMostUrgentThatWaits() throws Exception {
        hold(server, "/hold/");
        try (Socket holding = proxy.connect()) {
            ScriptedServer.write(holding.getOutputStream(), ProxyFixture.messenger("/hold/x", "b"));
            assertTrue(ProxyFixture.eventually(() -> server.seen.size() == 1));
            server.seen.clear();
            onLoop(() -> List.of(arrive("/other/1"), arrive("/other/2"), arrive("/urgent/3")));
            release.countDown();
            assertTrue(ProxyFixture.eventually(() -> server.seen.size() == 3));
            assertEquals(List.of("/urgent/3", "/other/1", "/other/2"), order());
        }
    }

    /** Room has come up, and before those that wait are looked at another request arrives. */
    @Test
    void whoComesNowTakesNoSlotThatAMoreUrgentRequestWaitsFor() throws Exception {
        watchOthers();
        othersFill(1);
        List<RequestExchange> taken = onLoop(() -> {
            RequestExchange waits = arrive("/urgent/1");
            messenger.othersHave("i0".hashCode(), 0);
            return List.of(waits, arrive("/other/2"));
        });
        assertTrue(ProxyFixture.eventually(() -> server.seen.size() == 2));
        assertEquals(List.of("/urgent/1", "/other/2"), order());
        assertEquals(2, taken.size());
    }

    /** Nothing of this daemon's own is at the server, so nothing of its own tells when there is room. */
    @Test
    void roomThatOthersHaveMadeIsNoticedSoon() throws Exception {
        watchOthers();
        othersFill(1);
        onLoop(() -> arrive("/urgent/1"));
        Thread.sleep(50);
        assertEquals(0, server.seen.size());
        proxy.resetLag();
        long start = System.nanoTime();
        othersFill(0);
        assertTrue(ProxyFixture.eventually(() -> !server.seen.isEmpty()));
        long took = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start);
        assertTrue(took < 200 + proxy.worstLagMs(), "noticed after " + took + " ms");
    }

    @Test
    void fullQueueGivesTheUrgentRequestThePlaceOfTheLastInRank() throws Exception {
        watchOthers();
        othersFill(1);
        List<RequestExchange> waiting = onLoop(() -> {
            List<RequestExchange> all = new ArrayList<>();
            for (int i = 0; i < QUEUE; i++) {
                all.add(arrive("/other/" + i));
            }
            return all;
        });
        RequestExchange urgent = onLoop(() -> arrive("/urgent/x"));
        assertFalse(onLoop(urgent::isAnswered));
        int refused = 0;
        for (RequestExchange other : waiting) {
            boolean over = onLoop(other::isAnswered);
            assertTrue(!over || other.erratum() == ErrorKind.OVERLOADED);
            refused += over ? 1 : 0;
        }
        assertEquals(1, refused);
        assertEquals(ErrorKind.OVERLOADED, onLoop(() -> arrive("/other/y").erratum()));
    }

    /** The first in rank has been refused by the server that has room: whoever is behind it goes there. */
    @Test
    void requestThatCannotUseAFreeSlotKeepsNobodyElseFromIt() throws Exception {
        server.act((request, out) -> {
            if (request.head().contains("/urgent/")) {
                return ScriptedServer.raw(
                                "HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nRequest-Attempt: t1\r\n"
                                        + "Content-Length: 0\r\n\r\n",
                                true)
                        .answer(request, out);
            }
            return ScriptedServer.ok("hello").answer(request, out);
        });
        ScriptedServer held = proxy.server("s", 1);
        hold(held, "/");
        proxy.unlist(server);
        proxy.routes(
                RouteSpec.unsafe("/hold/").timeout(6_000),
                RouteSpec.safe("/urgent/").aim(AIM_MS).rank(0),
                RouteSpec.safe("/other/").aim(AIM_MS).rank(3));
        try (Socket holding = proxy.connect()) {
            ScriptedServer.write(holding.getOutputStream(), ProxyFixture.messenger("/hold/x", "b"));
            assertTrue(ProxyFixture.eventually(() -> held.seen.size() == 1));
            proxy.relist(server);
            proxy.routes(
                    RouteSpec.unsafe("/hold/").timeout(6_000),
                    RouteSpec.safe("/urgent/").aim(AIM_MS).rank(0),
                    RouteSpec.safe("/other/").aim(AIM_MS).rank(3));
            onLoop(() -> arrive("/urgent/1"));
            assertTrue(ProxyFixture.eventually(() -> server.seen.size() == 1));
            onLoop(() -> arrive("/other/2"));
            assertTrue(ProxyFixture.eventually(() -> server.seen.size() == 2));
            assertEquals(List.of("/urgent/1", "/other/2"), order());
            assertEquals(1, held.seen.size());
        }
    }
}
