package org.umbermount.proxy;

import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.umbermount.idempotency.OperationClient;
import org.umbermount.kernel.DaemonAddress;
import org.umbermount.proxy.ProxyFixture.RouteSpec;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * A failure of this daemon's own never bears a server's seal; a server's own failure is passed on with its status, seal and
 * whole body, or not at all. See docs/traffic.md.
 */
class AnswerRulesTest {
    private static final int LONG = 300_000;
    private ProxyFixture proxy;
    private ScriptedServer server;

    @BeforeEach
    void open() throws Exception {
        proxy = new ProxyFixture();
        server = proxy.server("s", 4);
        proxy.routes(
                RouteSpec.safe("/safe/").tries(1),
                RouteSpec.unsafe("/once/").timeout(800),
                new RouteSpec("/pay/", "idempotent", "s", 2, 3_000, 400, 1));
    }

    @AfterEach
    void close() throws Exception {
        proxy.close();
    }

    private static String failure(int status, String body) {
        return "HTTP/1.1 " + status + " Reason\r\nRequest-Attempt: t1\r\nServer-Seal: s7\r\nContent-Length: "
                + body.length() + "\r\n\r\n" + body;
    }

    private static boolean sealed(String answer) {
        return answer.toLowerCase().contains("server-seal");
    }

    @ParameterizedTest
    @ValueSource(ints = {302, 400, 403, 404, 409, 413, 500, 501, 502, 504})
    void failureOfTheServersOwnKeepsItsStatusItsSealAndItsBody(int status) throws Exception {
        server.act(ScriptedServer.raw(failure(status, "why"), true));
        for (String answer : List.of(
                proxy.exchange(ProxyFixture.get("/safe/x")), proxy.exchange(ProxyFixture.messenger("/once/x", "b")))) {
            assertEquals(status, ProxyFixture.status(answer), answer);
            assertTrue(answer.contains("s7") && answer.endsWith("\r\n\r\nwhy"), answer);
        }
    }

    /** More than is held of an answer: it once went out cut short, with a length that made it look whole. */
    @Test
    void longFailureOfTheServersOwnComesWholeOrIsSeenToBeCut() throws Exception {
        String body = "e".repeat(LONG);
        server.act(ScriptedServer.raw(failure(500, body), true));
        String whole = proxy.exchange(ProxyFixture.get("/safe/x"));
        assertTrue(ProxyFixture.status(whole) == 500 && whole.contains("s7"), whole.substring(0, 200));
        assertTrue(whole.endsWith("\r\n\r\n" + body), "length " + whole.length());
        server.act(ScriptedServer.raw(failure(500, body).substring(0, LONG), false));
        String cut = proxy.exchange(ProxyFixture.get("/safe/x"));
        assertTrue(
                cut.toLowerCase().contains("content-length: " + LONG) && cut.length() < LONG + 100,
                "length " + cut.length());
        server.act(ScriptedServer.raw(failure(500, body).replace("Content-Length: " + LONG + "\r\n", ""), false));
        String unframed = proxy.exchange(ProxyFixture.get("/safe/x"));
        assertTrue(ProxyFixture.status(unframed) == 502 && !sealed(unframed), unframed.substring(0, 100));
    }

    @ParameterizedTest
    @CsvSource({"503,false", "429,false", "408,false", "503,true", "429,true", "400,true", "500,true"})
    void answerThatIsNotPassedOnLeavesNoSealOnOurs(int status, boolean notExecuted) throws Exception {
        String text = failure(status, "why");
        server.act(ScriptedServer.raw(
                notExecuted ? text.replace("Server-Seal", "Not-Executed: 1\r\nServer-Seal") : text, true));
        for (String answer : List.of(
                proxy.exchange(ProxyFixture.get("/safe/x")), proxy.exchange(ProxyFixture.messenger("/once/x", "b")))) {
            assertFalse(sealed(answer) || answer.endsWith("why"), answer);
            assertEquals(notExecuted ? status == 400 ? 400 : 503 : 502, ProxyFixture.status(answer), answer);
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "Server-Seal: s7\r\nContent-Length: 90\r\n\r\nshort",
                "Server-Seal: s7\r\n\r\nunframed",
                "Server-Seal: s7\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
                "Server-Seal: s7\r\nContent-Encoding: gzip\r\nContent-Length: 2\r\n\r\nok"
            })
    void successThatIsNotWholeLeavesNoSealOnOurs(String rest) throws Exception {
        server.act(ScriptedServer.raw("HTTP/1.1 200 OK\r\nRequest-Attempt: t1\r\n" + rest, false));
        String answer = proxy.exchange(ProxyFixture.messenger("/once/x", "b"));
        assertTrue(ProxyFixture.status(answer) == 502 && !sealed(answer), answer);
    }

    @Test
    void sealedPartOfAnAnswerAtTheTimeoutLeavesNoSealOnOurs() throws Exception {
        server.act((request, out) -> {
            ScriptedServer.write(
                    out, failure(500, "why").substring(0, failure(500, "why").length() - 1));
            Thread.sleep(2_000);
            return false;
        });
        String answer = proxy.exchange(ProxyFixture.messenger("/once/x", "b"));
        assertTrue(ProxyFixture.status(answer) == 504 && !sealed(answer), answer);
    }

    /** A long answer that stops for good is cut when the time is over, and does not look whole; one that goes on is not cut. */
    @Test
    void longAnswerIsCutOnlyIfNothingMoreOfItComesAfterTheTimeout() throws Exception {
        String head =
                "HTTP/1.1 200 OK\r\nRequest-Attempt: t1\r\nServer-Seal: s7\r\nContent-Length: " + LONG + "\r\n\r\n";
        server.act((request, out) -> {
            ScriptedServer.write(out, head + "a".repeat(LONG / 2));
            Thread.sleep(2_500);
            return false;
        });
        long start = System.nanoTime();
        proxy.resetLag();
        String cut = proxy.exchange(ProxyFixture.messenger("/once/x", "b"));
        long took = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start);
        assertTrue(took >= 780 && took < 1_000 + proxy.worstLagMs(), "cut after " + took + " ms");
        assertTrue(sealed(cut) && cut.length() < LONG, "length " + cut.length());
        server.act((request, out) -> {
            ScriptedServer.write(out, head);
            for (int i = 0; i < 30; i++) {
                ScriptedServer.write(out, "a".repeat(LONG / 30));
                Thread.sleep(40);
            }
            return true;
        });
        assertTrue(proxy.exchange(ProxyFixture.messenger("/once/x", "b")).endsWith("\r\n\r\n" + "a".repeat(LONG)));
    }

    /** The first answer of an operation is repeated as it was, a failure too; one that was not whole is never repeated. */
    @Test
    void answersKeptForRepeatsKeepTheirStatusAndSeal() throws Exception {
        FakeRegister register = new FakeRegister();
        OperationClient claims = new OperationClient(
                proxy.clock,
                new FakeCounterPost(proxy.clock, register::answer),
                proxy.metrics,
                new Random(4),
                List::of);
        claims.head(DaemonAddress.parse("10.0.0.1:7000"));
        proxy.clock
                .loop()
                .submit(() -> proxy.desk.share(claims, null, () -> Long.MAX_VALUE))
                .get();
        server.act(ScriptedServer.raw(failure(500, "why"), true));
        String first = proxy.exchange(operation("k1"));
        server.act(ScriptedServer.raw(failure(500, "e".repeat(LONG)), true));
        String second = proxy.exchange(operation("k2"));
        assertTrue(ProxyFixture.eventually(() -> claims.closing() == 0));
        server.act(ScriptedServer.ok("hello"));
        for (String answer : List.of(first, proxy.exchange(operation("k1")))) {
            assertTrue(
                    ProxyFixture.status(answer) == 500 && answer.contains("s7") && answer.endsWith("\r\n\r\nwhy"),
                    answer);
        }
        String unknown = proxy.exchange(operation("k2"));
        assertTrue(
                ProxyFixture.status(second) == 500 && ProxyFixture.status(unknown) == 502 && !sealed(unknown), unknown);
        assertEquals(2, server.seen.size());
    }

    /** Only a request that was offered to a server may end with a 502 or a 504 of ours. */
    @Test
    void requestThatReachedNoServerEndsWithThePromise() throws Exception {
        server.close();
        for (String answer : List.of(
                proxy.exchange(ProxyFixture.get("/safe/x")), proxy.exchange(ProxyFixture.messenger("/once/x", "b")))) {
            assertTrue(
                    ProxyFixture.status(answer) == 503 && answer.toLowerCase().contains("retry-after:"), answer);
        }
    }

    private static String operation(String key) {
        return ProxyFixture.messenger("/pay/x", "b")
                .replace("Deadline-Ms", "Operation-Key: " + key + "\r\nDeadline-Ms");
    }
}
