package org.umbermount.proxy;

import java.net.Socket;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.umbermount.idempotency.OperationClient;
import org.umbermount.kernel.DaemonAddress;
import org.umbermount.proxy.ProxyFixture.RouteSpec;
import org.umbermount.quota.QuotaClient;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** A request is held no longer than its route's {@code timeoutMs}, whatever it waits for; see docs/traffic.md. */
class TimeoutRulesTest {
    private static final int TIMEOUT_MS = 500;
    private static final int LATE_MS = 150;
    private ProxyFixture proxy;
    private ScriptedServer server;

    @BeforeEach
    void open() throws Exception {
        proxy = new ProxyFixture();
        server = proxy.server("s", 1);
        // The first request of a process is slow for its classes being loaded.
        proxy.routes(RouteSpec.unsafe("/warm/"));
        proxy.exchange(ProxyFixture.messenger("/warm/x", "b"));
        assertEquals(404, ProxyFixture.status(proxy.exchange(ProxyFixture.get("/none/"))));
        server.seen.clear();
    }

    @AfterEach
    void close() throws Exception {
        proxy.close();
    }

    private static ScriptedServer.Act silent() {
        return (request, out) -> {
            Thread.sleep(4_000);
            return false;
        };
    }

    /** The answer to what is written, which has to come when the route's time is over and not later. */
    private String answerAtTimeout(String written, int timeoutMs) throws Exception {
        try (Socket socket = proxy.connect()) {
            proxy.resetLag();
            long start = System.nanoTime();
            ScriptedServer.write(socket.getOutputStream(), written);
            String answer = ProxyFixture.readToEnd(socket);
            long took = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start);
            long allowed = timeoutMs + LATE_MS + proxy.worstLagMs();
            assertTrue(took >= timeoutMs - 20 && took < allowed, "answered after " + took + " of " + allowed + " ms");
            return answer;
        }
    }

    private static void assertPromise(String answer) {
        assertEquals(503, ProxyFixture.status(answer), answer);
        assertTrue(answer.toLowerCase().contains("retry-after:"), answer);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "Content-Length: 100\r\n\r\n",
                "Content-Length: 100\r\n\r\npart",
                "Transfer-Encoding: chunked\r\n\r\n",
                "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n"
            })
    void whileTheBodyIsStillBeingRead(String body) throws Exception {
        proxy.routes(RouteSpec.unsafe("/a/").timeout(TIMEOUT_MS));
        String answer = answerAtTimeout(
                "POST /a/x HTTP/1.1\r\nHost: h\r\nRequest-Attempt: t1\r\nDeadline-Ms: 5000\r\n" + body, TIMEOUT_MS);
        assertPromise(answer);
        assertTrue(answer.toLowerCase().contains("connection: close"), answer);
        assertEquals(0, server.seen.size());
    }

    @Test
    void whileALongBodyIsPassedOn() throws Exception {
        proxy.routes(RouteSpec.unsafe("/a/").timeout(TIMEOUT_MS));
        String answer = answerAtTimeout(
                "POST /a/x HTTP/1.1\r\nHost: h\r\nRequest-Attempt: t1\r\nDeadline-Ms: 5000\r\n"
                        + "Content-Length: 900000\r\n\r\n" + "b".repeat(400_000),
                TIMEOUT_MS);
        assertEquals(504, ProxyFixture.status(answer), answer);
    }

    @Test
    void whileTheServerIsSilent() throws Exception {
        server.act(silent());
        proxy.routes(RouteSpec.unsafe("/a/").timeout(TIMEOUT_MS));
        assertEquals(504, ProxyFixture.status(answerAtTimeout(ProxyFixture.messenger("/a/x", "b"), TIMEOUT_MS)));
        assertEquals(1, server.seen.size());
    }

    @Test
    void whileQueuedForAServer() throws Exception {
        server.act(silent());
        proxy.routes(
                RouteSpec.unsafe("/a/").timeout(TIMEOUT_MS).aim(20_000),
                RouteSpec.unsafe("/hold/").timeout(4_000));
        try (Socket holding = proxy.connect()) {
            ScriptedServer.write(holding.getOutputStream(), ProxyFixture.messenger("/hold/x", "b"));
            assertTrue(ProxyFixture.eventually(() -> server.seen.size() == 1));
            assertPromise(answerAtTimeout(ProxyFixture.messenger("/a/x", "b"), TIMEOUT_MS));
            assertEquals(1, server.seen.size());
        }
    }

    /** A server has turned it away and the others are full: it has not run, and the answer once did not say so. */
    @Test
    void whileQueuedAgainAfterARefusal() throws Exception {
        server.act(silent());
        proxy.routes(
                RouteSpec.unsafe("/a/").timeout(TIMEOUT_MS).aim(20_000),
                RouteSpec.unsafe("/hold/").timeout(4_000));
        try (Socket holding = proxy.connect()) {
            ScriptedServer.write(holding.getOutputStream(), ProxyFixture.messenger("/hold/x", "b"));
            assertTrue(ProxyFixture.eventually(() -> server.seen.size() == 1));
            ScriptedServer refusing = proxy.server("s", 1);
            refusing.act(ScriptedServer.raw(
                    "HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nRequest-Attempt: t1\r\n" + "Content-Length: 0\r\n\r\n",
                    true));
            proxy.routes(
                    RouteSpec.unsafe("/a/").timeout(TIMEOUT_MS).aim(20_000),
                    RouteSpec.unsafe("/hold/").timeout(4_000));
            assertPromise(answerAtTimeout(ProxyFixture.messenger("/a/x", "b"), TIMEOUT_MS));
            assertEquals(1, refusing.seen.size());
        }
    }

    @Test
    void whileAClaimOrAPermitIsWaitedFor() throws Exception {
        int timeout = 120;
        OperationClient claims = new OperationClient(
                proxy.clock, new FakeCounterPost(proxy.clock, in -> null), proxy.metrics, new Random(4), List::of);
        claims.head(DaemonAddress.parse("10.0.0.1:7000"));
        proxy.routes(new RouteSpec("/pay/", "idempotent", "s", 2, timeout, 4_000, 1));
        proxy.clock
                .loop()
                .submit(() -> proxy.desk.share(claims, null, () -> Long.MAX_VALUE))
                .get();
        assertPromise(answerAtTimeout(
                ProxyFixture.messenger("/pay/x", "b").replace("Deadline-Ms", "Operation-Key: k\r\nDeadline-Ms"),
                timeout));
        QuotaClient permits = new QuotaClient(
                proxy.clock, new FakeCounterPost(proxy.clock, in -> null), proxy.metrics, 1_000, List::of);
        proxy.tenants("{\"label\":\"mill\",\"apiKeys\":[\"k1\"],\"priority\":0,\"ratePerS\":50,\"burst\":50}");
        proxy.routes(RouteSpec.safe("/a/").timeout(timeout).aim(4_000));
        proxy.clock
                .loop()
                .submit(() -> proxy.desk.share(null, permits, () -> Long.MAX_VALUE))
                .get();
        assertPromise(answerAtTimeout(
                ProxyFixture.get("/a/x").replace("Deadline-Ms", "Authorization: Token k1\r\nDeadline-Ms"), timeout));
        assertEquals(0, server.seen.size());
    }

    /** A failure of the server's own is there, and a second server that was asked as well says nothing. */
    @Test
    void failureThatIsThereIsPassedOnAtTheTimeout() throws Exception {
        ScriptedServer second = proxy.server("s", 1);
        ScriptedServer.Act act = (request, out) -> {
            if (server.seen.size() + second.seen.size() == 1) {
                Thread.sleep(600);
                return ScriptedServer.raw(
                                "HTTP/1.1 500 Oops\r\nRequest-Attempt: t1\r\nServer-Seal: s7\r\n"
                                        + "Content-Length: 4\r\n\r\noops",
                                true)
                        .answer(request, out);
            }
            return silent().answer(request, out);
        };
        server.act(act);
        second.act(act);
        proxy.routes(RouteSpec.safe("/a/").timeout(900).aim(100));
        String answer = answerAtTimeout(ProxyFixture.get("/a/x"), 900);
        assertTrue(ProxyFixture.status(answer) == 500 && answer.contains("s7") && answer.endsWith("oops"), answer);
        assertEquals(2, server.seen.size() + second.seen.size());
    }

    @Test
    void requestWithTooLittleTimeForAnAnswerIsNotSent() throws Exception {
        // Nothing is known yet of how long this service takes.
        server = proxy.server("later", 1);
        server.act(silent());
        proxy.routes(RouteSpec.unsafe("/a/").at("later").aim(400));
        assertPromise(
                proxy.exchange(ProxyFixture.messenger("/a/x", "b").replace("Deadline-Ms: 5000", "Deadline-Ms: 30")));
        assertEquals(0, server.seen.size());
    }
}
