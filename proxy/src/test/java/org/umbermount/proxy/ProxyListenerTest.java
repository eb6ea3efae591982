package org.umbermount.proxy;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.channels.ServerSocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.umbermount.control.Configuration;
import org.umbermount.control.RegisteredServer;
import org.umbermount.distribution.RoutingTable;
import org.umbermount.distribution.Tables;
import org.umbermount.idempotency.OperationClient;
import org.umbermount.kernel.DaemonAddress;
import org.umbermount.kernel.InstanceId;
import org.umbermount.kernel.MessagePackCodec;
import org.umbermount.kernel.Metrics;
import org.umbermount.kernel.Mutation;
import org.umbermount.kernel.Safeguard;
import org.umbermount.kernel.Settings;
import org.umbermount.kernel.net.LoopClock;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

class ProxyListenerTest {
    private static final String SEALED = "HTTP/1.1 200 OK\r\nRequest-Attempt: t1\r\nServer-Seal: s\r\n";
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final LoopClock clock = new LoopClock(group.next());
    private final Metrics metrics = new Metrics(clock::inEventLoop);
    private ProxyListener desk;
    private int port;
    private ScriptedServer first;
    private ScriptedServer second;

    @BeforeEach
    void open() throws Exception {
        first = new ScriptedServer(ScriptedServer.ok("hello"));
        second = new ScriptedServer(ScriptedServer.ok("hello"));
        try (ServerSocket probe = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            port = probe.getLocalPort();
        }
        // A budget with plenty in it: the burst stands at once, since the daemon is taken to be old.
        Settings.Bounds bounds = new Settings.Bounds(4000, 5000, 3000, 6000, 3000, 0.2, 1, 100, 4000);
        desk = clock.loop()
                .submit(() -> new ProxyListener(clock.loop(), clock, metrics, bounds, "z", new Random(1)))
                .get();
        desk.bind(DaemonAddress.parse("127.0.0.1:" + port)).sync();
        Thread.sleep(5);
    }

    @AfterEach
    void close() throws Exception {
        first.close();
        second.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).await(3, TimeUnit.SECONDS);
    }

    private void table(ScriptedServer... servers) throws Exception {
        table("{\"maxHeaderBytes\":2048,\"maxBodyBytes\":1000000}", servers);
    }

    private void table(String limits, ScriptedServer... servers) throws Exception {
        Configuration r = Configuration.parse(("{\"revision\":1,\"routeTable\":["
                        + "{\"label\":\"a\",\"virtualHost\":\"h\",\"pathPrefix\":\"/safe/\",\"routeType\":\"safe\",\"timeoutMs\":3000,"
                        + "\"targetLatencyMs\":400,\"upstream\":\"s\",\"maxTries\":2},"
                        + "{\"label\":\"b\",\"virtualHost\":\"h\",\"pathPrefix\":\"/once/\",\"routeType\":\"unsafe\",\"timeoutMs\":3000,"
                        + "\"targetLatencyMs\":400,\"upstream\":\"s\",\"maxTries\":2}],\"upstreams\":[{\"label\":\"s\"}],"
                        + "\"limits\":" + limits + "}")
                .getBytes());
        Map<String, byte[]> entries = new HashMap<>(Tables.packConfiguration(r));
        int n = 0;
        for (ScriptedServer s : servers) {
            String id = "i" + n++;
            entries.put(
                    RoutingTable.INSTANCE + id,
                    Tables.packInstance(new RegisteredServer(
                            new InstanceId(id),
                            "s",
                            "127.0.0.1:" + s.port(),
                            "z",
                            "v",
                            4,
                            0,
                            RegisteredServer.Standing.IN_SERVICE,
                            1,
                            DaemonAddress.NONE)));
        }
        RoutingTable table = RoutingTable.of(entries);
        clock.loop().submit(() -> desk.apply(table)).get();
    }

    private String exchange(String request) throws IOException {
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.setSoTimeout(5_000);
            ScriptedServer.write(socket.getOutputStream(), request);
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
        }
    }

    private static String get(String path) {
        return "GET " + path
                + " HTTP/1.1\r\nHost: h\r\nRequest-Attempt: t1\r\nDeadline-Ms: 2000\r\nConnection: close\r\n\r\n";
    }

    private static String messenger(String path, String body) {
        return "POST " + path
                + " HTTP/1.1\r\nHost: h\r\nRequest-Attempt: t1\r\nDeadline-Ms: 2000\r\nConnection: close\r\n"
                + "Content-Length: " + body.length() + "\r\n\r\n" + body;
    }

    private static int status(String answer) {
        return answer.length() < 12 ? 0 : Integer.parseInt(answer.substring(9, 12));
    }

    @Test
    void requestReachesItsServerUnchanged() throws Exception {
        table(first);
        String answer =
                exchange("POST /once/a%20b?x=1&y HTTP/1.1\r\nHost: h\r\nRequest-Attempt: t1\r\nDeadline-Ms: 2000\r\n"
                        + "X-Other: kept\r\nConnection: close, X-Hop\r\nX-Hop: gone\r\nTransfer-Encoding: chunked\r\n\r\n"
                        + "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
        assertEquals(200, status(answer));
        assertTrue(answer.endsWith("\r\n\r\nhello") && answer.contains("s1"), answer);
        ScriptedServer.Request r = first.seen.get(0);
        assertTrue(r.head().startsWith("POST /once/a%20b?x=1&y HTTP/1.1\r\n"), r.head());
        assertEquals("abcde", new String(r.body()));
        assertEquals("t1", r.header("Request-Attempt"));
        assertEquals("i0", r.header("Target-Instance"));
        assertEquals("kept", r.header("X-Other"));
        assertEquals(null, r.header("X-Hop"));
        int left = Integer.parseInt(r.header("Deadline-Ms"));
        assertTrue(left > 1_000 && left <= 2_000, "left " + left);
    }

    /** Limits once held for a connection's whole life, as they were when it was opened. */
    @Test
    void changedLimitsHoldForConnectionsThatAreThereAlready() throws Exception {
        table(first);
        String keep = "GET /safe/x HTTP/1.1\r\nHost: h\r\nRequest-Attempt: t1\r\nDeadline-Ms: 2000\r\n\r\n";
        try (Socket idle = new Socket("127.0.0.1", port);
                Socket busy = new Socket("127.0.0.1", port)) {
            for (Socket s : new Socket[] {idle, busy}) {
                s.setSoTimeout(5_000);
                ScriptedServer.write(s.getOutputStream(), keep);
                assertFalse(answerOn(s).toLowerCase().contains("connection: close"));
            }
            table("{\"maxHeaderBytes\":4096,\"maxBodyBytes\":10,\"idleTimeoutMs\":300}", first);
            ScriptedServer.write(busy.getOutputStream(), keep);
            assertTrue(answerOn(busy).toLowerCase().contains("connection: close"), "its decoder has the old limit");
            assertEquals(-1, idle.getInputStream().read(), "ended by the new time");
        }
        assertEquals(413, status(exchange(messenger("/once/x", "more than ten bytes"))));
    }

    private static String answerOn(Socket socket) throws IOException {
        StringBuilder out = new StringBuilder();
        while (!out.toString().endsWith("hello")) {
            int b = socket.getInputStream().read();
            if (b < 0) {
                break;
            }
            out.append((char) b);
        }
        return out.toString();
    }

    @Test
    void withoutTableRouteOrServerNothingIsPromisedThatIsNotTrue() throws Exception {
        String none = exchange(get("/safe/x"));
        assertEquals(503, status(none));
        assertTrue(none.toLowerCase().contains("retry-after:"), none);
        table();
        assertEquals(404, status(exchange(get("/other/x"))));
        assertEquals(503, status(exchange(get("/safe/x"))));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "both|POST /once/x HTTP/1.1\\r\\nHost: h\\r\\nContent-Length: 3\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\n0\\r\\n\\r\\n|400",
                "lengths|POST /once/x HTTP/1.1\\r\\nHost: h\\r\\nContent-Length: 3\\r\\nContent-Length: 4\\r\\n\\r\\nabcd|400",
                "chunk|POST /once/x HTTP/1.1\\r\\nHost: h\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\nzz\\r\\nabc\\r\\n0\\r\\n\\r\\n|400",
                "hosts|GET /safe/x HTTP/1.1\\r\\nHost: h\\r\\nHost: g\\r\\n\\r\\n|400",
                "no host|GET /safe/x HTTP/1.1\\r\\n\\r\\n|400",
                "line|GARBAGE\\r\\n\\r\\n|400",
                "encoding|POST /once/x HTTP/1.1\\r\\nHost: h\\r\\nTransfer-Encoding: gzip, chunked\\r\\n\\r\\n0\\r\\n\\r\\n|400",
                "space|GET /safe/x HTTP/1.1\\r\\nHost: h\\r\\nContent-Length : 3\\r\\n\\r\\nabc|400",
                "body|POST /once/x HTTP/1.1\\r\\nHost: h\\r\\nContent-Length: 1000001\\r\\n\\r\\nabc|413"
            })
    void whatCanBeReadInTwoWaysIsRefusedAndReachesNobody(String name, String request, int expected) throws Exception {
        table(first);
        String answer = exchange(request.replace("\\r", "\r").replace("\\n", "\n"));
        assertEquals(expected, status(answer), answer);
        assertTrue(answer.toLowerCase().contains("connection: close"), answer);
        assertEquals(0, first.seen.size());
    }

    @Test
    void headersOverTheLimitAreRefused() throws Exception {
        table(first);
        assertEquals(431, status(exchange("GET /safe/x HTTP/1.1\r\nHost: h\r\nX: " + "y".repeat(3_000) + "\r\n\r\n")));
        assertEquals(0, first.seen.size());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "unsealed|HTTP/1.1 200 OK\\r\\nRequest-Attempt: t1\\r\\nContent-Length: 2\\r\\n\\r\\nok",
                "short|SEALEDContent-Length: 90\\r\\n\\r\\nok",
                "another's|HTTP/1.1 200 OK\\r\\nRequest-Attempt: t9\\r\\nServer-Seal: s\\r\\nContent-Length: 2\\r\\n\\r\\nok",
                "no framing|SEALED\\r\\nok",
                "encoded|SEALEDContent-Encoding: gzip\\r\\nContent-Length: 2\\r\\n\\r\\nok",
                "noise|\\u0001\\u0002 what is this\\r\\n\\r\\n",
                "cut chunks|SEALEDTransfer-Encoding: chunked\\r\\n\\r\\n5\\r\\nab",
                "nothing|''",
                "false promise|HTTP/1.1 503 Busy\\r\\nRequest-Attempt: t1\\r\\nContent-Length: 0\\r\\n\\r\\n"
            })
    void brokenAnswerIsNeverASuccessNorAPromiseAndAnUnsafeRequestIsSentOnce(String name, String text) throws Exception {
        table(first, second);
        String raw = text.replace("SEALED", SEALED).replace("\\r", "\r").replace("\\n", "\n");
        first.act(ScriptedServer.raw(raw, false));
        second.act(ScriptedServer.raw(raw, false));
        String answer = exchange(messenger("/once/x", "body"));
        assertEquals(502, status(answer), answer);
        assertEquals(1, first.seen.size() + second.seen.size());
        first.act(ScriptedServer.ok("hello"));
        // A safe request is tried once more, and both may be broken.
        String again = exchange(get("/safe/x"));
        assertTrue(status(again) == 200 && again.endsWith("hello") || status(again) == 502, again);
    }

    @Test
    void safeRequestIsTriedElsewhereAfterACut() throws Exception {
        table(first, second);
        first.act(ScriptedServer.raw("", false));
        for (int i = 0; i < 6; i++) {
            assertEquals(200, status(exchange(get("/safe/x"))));
        }
        assertTrue(first.seen.size() >= 1 && second.seen.size() == 6, first.seen.size() + " " + second.seen.size());
    }

    @Test
    void errorOfTheServersOwnIsPassedOnAndNotTriedElsewhere() throws Exception {
        table(first, second);
        String error = "HTTP/1.1 500 Oops\r\nRequest-Attempt: t1\r\nServer-Seal: s\r\nContent-Length: 4\r\n\r\noops";
        first.act(ScriptedServer.raw(error, true));
        second.act(ScriptedServer.raw(error, true));
        String answer = exchange(get("/safe/x"));
        assertEquals(500, status(answer));
        assertTrue(answer.endsWith("oops"), answer);
        assertEquals(1, first.seen.size() + second.seen.size());
    }

    @Test
    void refusalThatSaysNotExecutedIsTriedElsewhereEvenIfUnsafe() throws Exception {
        table(first, second);
        String shed = "HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nRequest-Attempt: t1\r\nContent-Length: 0\r\n\r\n";
        first.act(ScriptedServer.raw(shed, true));
        for (int i = 0; i < 4; i++) {
            assertEquals(200, status(exchange(messenger("/once/x", "b"))));
        }
        second.act(ScriptedServer.raw(shed, true));
        String answer = exchange(messenger("/once/x", "b"));
        assertEquals(503, status(answer));
        assertTrue(answer.toLowerCase().contains("retry-after:"), answer);
    }

    @Test
    void serverThatIsAnotherIsNotAskedAgain() throws Exception {
        table(first, second);
        first.act(ScriptedServer.raw("HTTP/1.1 421 Other\r\nInstance-Id: i9\r\nContent-Length: 0\r\n\r\n", true));
        for (int i = 0; i < 6; i++) {
            assertEquals(200, status(exchange(messenger("/once/x", "b"))));
        }
        assertTrue(first.seen.size() <= 1, "asked " + first.seen.size());
    }

    @Test
    void bytesBehindAnAnswerRetireTheConnection() throws Exception {
        table(first);
        first.act(ScriptedServer.raw(
                SEALED + "Content-Length: 2\r\n\r\nok" + SEALED + "Content-Length: 4\r\n\r\nevil", true));
        for (int i = 0; i < 3; i++) {
            String answer = exchange(get("/safe/x"));
            assertTrue(answer.endsWith("\r\n\r\nok"), answer);
        }
        assertEquals(3, first.connections.get());
    }

    /** A surplus answer that comes late, in the next one's place, is nobody's, and nothing on its connection counts. */
    @Test
    void lateSurplusAnswerGoesToNobodyAndRetiresTheConnection() throws Exception {
        table(first);
        first.act((request, out) -> {
            String id = request.header("Request-Attempt");
            ScriptedServer.write(
                    out,
                    "HTTP/1.1 200 OK\r\nRequest-Attempt: " + id + "\r\nServer-Seal: s\r\nContent-Length: 2\r\n\r\n"
                            + id);
            return true;
        });
        assertTrue(exchange(get("/safe/x")).endsWith("t1"));
        first.act((request, out) -> {
            ScriptedServer.write(
                    out, "HTTP/1.1 200 OK\r\nRequest-Attempt: t1\r\nServer-Seal: s\r\nContent-Length: 2\r\n\r\nt1");
            return true;
        });
        String answer = exchange(messenger("/once/x", "b").replace("t1", "t2"));
        assertEquals(502, status(answer), answer);
        int before = first.connections.get();
        first.act(ScriptedServer.ok("hello"));
        assertEquals(200, status(exchange(get("/safe/x"))));
        assertEquals(before + 1, first.connections.get());
    }

    @Test
    void pipelinedAnswersComeInOrder() throws Exception {
        table(first);
        first.act((request, out) -> {
            if (request.head().contains("/slow")) {
                Thread.sleep(200);
            }
            String body = request.head().substring(4, request.head().indexOf(" HTTP"));
            ScriptedServer.write(out, SEALED + "Content-Length: " + body.length() + "\r\n\r\n" + body);
            return true;
        });
        String request = get("/safe/slow").replace("Connection: close\r\n", "")
                + get("/safe/fast").replace("Connection: close\r\n", "")
                + get("/safe/last");
        String answer = exchange(request);
        int a = answer.indexOf("/safe/slow");
        int b = answer.indexOf("/safe/fast");
        int c = answer.indexOf("/safe/last");
        assertTrue(a > 0 && b > a && c > b, answer);
    }

    @Test
    void longAnswerIsStreamedAndACutOneNeverLooksWhole() throws Exception {
        table(first);
        String long1 = "x".repeat(400_000);
        first.act(ScriptedServer.raw(SEALED + "Content-Length: 400000\r\n\r\n" + long1, true));
        assertTrue(exchange(get("/safe/x")).endsWith("\r\n\r\n" + long1));
        first.act(ScriptedServer.raw(SEALED + "Content-Length: 400000\r\n\r\n" + long1.substring(9), false));
        String cut = exchange(get("/safe/x"));
        int body = cut.indexOf("\r\n\r\n") + 4;
        assertTrue(cut.toLowerCase().contains("content-length: 400000") && cut.length() - body < 400_000);
        first.act(ScriptedServer.raw(SEALED + "Transfer-Encoding: chunked\r\n\r\n61A80\r\n" + long1 + "\r\n", false));
        assertFalse(exchange(get("/safe/x")).endsWith("0\r\n\r\n"));
    }

    @Test
    void longRequestBodyIsPassedOnWhole() throws Exception {
        table(first);
        String body = "b".repeat(700_000);
        assertEquals(200, status(exchange(messenger("/once/x", body))));
        assertEquals(body, new String(first.seen.get(0).body()));
        assertEquals(1, first.seen.size());
    }

    @Test
    void deadlineEndsARequestThatASilentServerHolds() throws Exception {
        table(first);
        first.act((request, out) -> {
            Thread.sleep(5_000);
            return false;
        });
        long start = System.nanoTime();
        String answer = exchange(messenger("/once/x", "b").replace("Deadline-Ms: 2000", "Deadline-Ms: 300"));
        assertEquals(504, status(answer));
        assertTrue(System.nanoTime() - start < TimeUnit.SECONDS.toNanos(2));
    }

    @Test
    void leavingDaemonAnswersAndEndsTheConnection() throws Exception {
        table(first);
        clock.loop().submit(desk::beginClosing).get();
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.setSoTimeout(3_000);
            ScriptedServer.write(socket.getOutputStream(), get("/safe/x").replace("Connection: close\r\n", ""));
            InputStream in = socket.getInputStream();
            String answer = new String(in.readAllBytes(), StandardCharsets.ISO_8859_1);
            assertEquals(200, status(answer));
            assertTrue(answer.toLowerCase().contains("connection: close"));
        }
    }

    /** Clients that came while the program was still starting were refused; now they wait in the queue. */
    @Test
    void connectionMadeBeforeTheDeskIsOpenIsServed() throws Exception {
        table(first);
        ServerSocketChannel early = ServerSocketChannel.open();
        early.bind(new InetSocketAddress("127.0.0.1", 0), 16);
        try (Socket socket = new Socket("127.0.0.1", early.socket().getLocalPort())) {
            socket.setSoTimeout(3_000);
            ScriptedServer.write(socket.getOutputStream(), get("/safe/x"));
            desk.adopt(early).sync();
            assertEquals(200, status(new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1)));
        }
    }

    @Test
    void drainingServerGetsNothingNew() throws Exception {
        table(first, second);
        RegisteredServer draining = new RegisteredServer(
                new InstanceId("i0"),
                "s",
                "127.0.0.1:" + first.port(),
                "z",
                "v",
                4,
                0,
                RegisteredServer.Standing.DRAINING,
                2,
                DaemonAddress.NONE);
        table(first, second);
        Map<String, byte[]> entries = new HashMap<>();
        clock.loop()
                .submit(() -> {
                    entries.putAll(desk.table().entries());
                    entries.put(RoutingTable.INSTANCE + "i0", Tables.packInstance(draining));
                    desk.apply(RoutingTable.of(entries));
                })
                .get();
        for (int i = 0; i < 6; i++) {
            assertEquals(200, status(exchange(get("/safe/x"))));
        }
        assertEquals(0, first.seen.size());
        assertNotNull(second.seen.get(5));
    }

    // ---- each answer to its own request ----

    /** What the client's side had taken was not noticed once all of the answer was here: the rest of it never came. */
    @Test
    void longAnswerBehindASlowOneComesWhole() throws Exception {
        table(first);
        String long1 = "z".repeat(300_000);
        first.act((request, out) -> {
            if (request.head().contains("/safe/long")) {
                ScriptedServer.write(out, SEALED + "Content-Length: 300000\r\n\r\n" + long1);
                return true;
            }
            return slowOn("/safe/slow", 150).answer(request, out);
        });
        String answers = exchange(more(get("/safe/slow")) + get("/safe/long"));
        assertTrue(answers.endsWith("\r\n\r\n" + long1));
    }

    private static String more(String request) {
        return request.replace("Connection: close\r\n", "");
    }

    /** An unreadable request once threw out the one before it, which waited for its turn, and its refusal took that place. */
    private String answersAroundAnUnreadableRequest() throws Exception {
        table(first);
        first.act(slowOn("/once/a", 150));
        return exchange(more(messenger("/once/a", "x"))
                + more(messenger("/once/b", "x")).replace("t1", "t2")
                + "GET /safe/c HTTP/1.1\r\nHost: h\r\nHost: g\r\nRequest-Attempt: t3\r\n\r\n");
    }

    @Test
    void refusalOfAnUnreadableRequestTakesNoOthersPlace() throws Exception {
        String answers = answersAroundAnUnreadableRequest();
        int second = answers.indexOf("HTTP/1.1 ", 9);
        int third = answers.indexOf("HTTP/1.1 ", second + 9);
        assertTrue(status(answers) == 200 && third > 0, answers);
        assertTrue(
                status(answers.substring(second)) == 200
                        && answers.substring(second, third).contains("t2"),
                answers);
        assertEquals(400, status(answers.substring(third)));
        String mixed = Mutation.without(Safeguard.REFUSAL_IN_ITS_PLACE, this::answersAroundAnUnreadableRequest);
        assertEquals(400, status(mixed.substring(mixed.indexOf("HTTP/1.1 ", 9))), mixed);
    }

    @Test
    void bodyThatCannotBeReadBehindAnEarlyAnswerGetsNoSecondAnswer() throws Exception {
        table(first);
        String answers = exchange("POST /other/x HTTP/1.1\r\nHost: h\r\nRequest-Attempt: t1\r\n"
                + "Transfer-Encoding: chunked\r\n\r\nzz\r\n");
        assertEquals(404, status(answers));
        assertEquals(0, answers.lastIndexOf("HTTP/1.1 "), answers);
    }

    /** What comes of an unsafe request whose server has forgotten the idle connection that is at hand. */
    private int afterForgottenConnection() throws Exception {
        table(first);
        first.act(ScriptedServer.ok("hello"));
        assertEquals(200, status(exchange(get("/safe/x"))));
        int before = first.connections.get();
        first.act((request, out) ->
                first.connections.get() > before && ScriptedServer.ok("hello").answer(request, out));
        Thread.sleep(300);
        return status(exchange(messenger("/once/x", "b")));
    }

    @Test
    void unsafeRequestUsesNoConnectionThatMayBeForgotten() throws Exception {
        assertEquals(200, afterForgottenConnection());
        assertEquals(502, Mutation.without(Safeguard.CONNECTION_RESTED_TOO_LONG, this::afterForgottenConnection));
    }

    /** What comes of an unsafe request after an answer behind which a part of another one came. */
    private int afterAPartOfAnotherAnswer() throws Exception {
        // The server before, of the same name, is gone with its connections.
        table();
        table(first);
        first.act(ScriptedServer.raw(SEALED + "Content-Length: 2\r\n\r\nokHTTP/1.1 500 Oops\r\nContent-Le", true));
        assertEquals(200, status(exchange(get("/safe/x"))));
        first.act((request, out) -> {
            ScriptedServer.write(out, first.connections.get() > 1 ? "" : "ngth: 0\r\n\r\n");
            return ScriptedServer.ok("hello").answer(request, out);
        });
        return status(exchange(messenger("/once/x", "b")));
    }

    @Test
    void partOfAnotherAnswerBehindOneRetiresTheConnection() throws Exception {
        assertEquals(200, afterAPartOfAnotherAnswer());
        first.close();
        first = new ScriptedServer(ScriptedServer.ok("hello"));
        assertEquals(502, Mutation.without(Safeguard.SURPLUS_RETIRES_CONNECTION, this::afterAPartOfAnotherAnswer));
    }

    /** A late answer to a HEAD names a length without a body: the next answer was taken for it, and the request held. */
    @Test
    void lateSurplusAnswerToAHeadHoldsNobodyUp() throws Exception {
        table(first);
        assertEquals(200, status(exchange(get("/safe/x").replace("GET", "HEAD"))));
        first.act((request, out) -> {
            ScriptedServer.write(out, SEALED + "Content-Length: 900\r\n\r\n");
            return ScriptedServer.ok("hello").answer(request, out);
        });
        String answer = exchange(messenger("/once/x", "b").replace("t1", "t2"));
        assertEquals(502, status(answer), answer);
        assertEquals(0, clock.loop().submit(desk::atServers).get());
    }

    /** A surplus refusal without a name, late in the next request's place, is no promise for that one. */
    @Test
    void namelessRefusalOnAUsedConnectionPromisesNothing() throws Exception {
        table(first);
        assertEquals(200, status(exchange(get("/safe/x"))));
        first.act(ScriptedServer.raw("HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", false));
        assertEquals(502, status(exchange(messenger("/once/x", "b"))));
        assertEquals(2, first.seen.size());
    }

    /** Whether an answer that said at its head that the connection ends was followed by another one on it. */
    private boolean answersBehindAnEnd() throws Exception {
        table(first);
        int old = port;
        String half = "y".repeat(200_000);
        CountDownLatch pipelined = new CountDownLatch(1);
        first.act((request, out) -> {
            if (request.head().contains("/safe/long")) {
                ScriptedServer.write(out, SEALED + "Content-Length: 400000\r\n\r\n" + half);
                pipelined.await(3, TimeUnit.SECONDS);
                ScriptedServer.write(out, half);
                return true;
            }
            return slowOn("/safe/b", 400).answer(request, out);
        });
        try (Socket socket = new Socket("127.0.0.1", old)) {
            socket.setSoTimeout(5_000);
            ScriptedServer.write(socket.getOutputStream(), more(get("/safe/a")));
            answerOn(socket);
            // The limits change: the next answer ends the connection, as long as nothing behind it is underway.
            table("{\"maxHeaderBytes\":" + (4_096 + first.seen.size()) + ",\"maxBodyBytes\":1000000}", first);
            ScriptedServer.write(socket.getOutputStream(), more(get("/safe/long")));
            StringBuilder head = new StringBuilder();
            while (head.indexOf("\r\n\r\n") < 0) {
                head.append((char) socket.getInputStream().read());
            }
            assertTrue(head.toString().toLowerCase().contains("connection: close"), head.toString());
            int seen = first.seen.size();
            ScriptedServer.write(socket.getOutputStream(), more(get("/safe/b")) + more(messenger("/once/c", "x")));
            // Only without the safeguard is anything passed on: waiting longer would outlast the long answer's time.
            long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(500);
            while (first.seen.size() == seen && System.nanoTime() < until) {
                Thread.sleep(5);
            }
            pipelined.countDown();
            String rest = new String(readToEnd(socket), StandardCharsets.ISO_8859_1);
            assertTrue(rest.startsWith(half + half));
            return rest.length() > 400_000
                    || first.seen.stream()
                            .anyMatch(r ->
                                    r.head().contains("/once/c") || r.head().contains("/safe/b"));
        }
    }

    private static byte[] readToEnd(Socket socket) throws IOException {
        java.io.ByteArrayOutputStream all = new java.io.ByteArrayOutputStream();
        byte[] piece = new byte[65_536];
        try {
            for (int n = socket.getInputStream().read(piece);
                    n > 0;
                    n = socket.getInputStream().read(piece)) {
                all.write(piece, 0, n);
                if (all.size() > 400_000
                        && new String(all.toByteArray(), StandardCharsets.ISO_8859_1).endsWith("hello")) {
                    break;
                }
            }
        } catch (java.net.SocketTimeoutException e) {
            // Whatever has come is what there is.
        }
        return all.toByteArray();
    }

    @Test
    void nothingFollowsAnAnswerThatSaysItIsTheLast() throws Exception {
        assertFalse(answersBehindAnEnd());
        first.seen.clear();
        assertTrue(Mutation.without(Safeguard.CLOSE_AS_TOLD, this::answersBehindAnEnd));
    }

    // ---- keys and operations ----

    private void keyedTable(ScriptedServer... servers) throws Exception {
        table(servers);
        Configuration r = Configuration.parse(("{\"revision\":2,\"routeTable\":["
                        + "{\"label\":\"a\",\"virtualHost\":\"h\",\"pathPrefix\":\"/safe/\",\"routeType\":\"safe\",\"timeoutMs\":3000,"
                        + "\"targetLatencyMs\":400,\"upstream\":\"s\",\"maxTries\":2},"
                        + "{\"label\":\"o\",\"virtualHost\":\"h\",\"pathPrefix\":\"/open/\",\"routeType\":\"safe\",\"timeoutMs\":3000,"
                        + "\"targetLatencyMs\":400,\"upstream\":\"s\",\"maxTries\":2,\"anonymous\":true},"
                        + "{\"label\":\"b\",\"virtualHost\":\"h\",\"pathPrefix\":\"/pay/\",\"routeType\":\"idempotent\",\"timeoutMs\":3000,"
                        + "\"targetLatencyMs\":400,\"upstream\":\"s\",\"maxTries\":2}],\"upstreams\":[{\"label\":\"s\"}],"
                        + "\"tenants\":[{\"label\":\"mill\",\"apiKeys\":[\"k1\",\"k2\"]},{\"label\":\"shop\",\"apiKeys\":[\"k3\"]}]}")
                .getBytes());
        clock.loop()
                .submit(() -> {
                    Map<String, byte[]> entries = new HashMap<>(desk.table().entries());
                    entries.keySet().removeIf(k -> k.startsWith(RoutingTable.ROUTE));
                    entries.putAll(Tables.packConfiguration(r));
                    desk.apply(RoutingTable.of(entries));
                })
                .get();
    }

    private static String keyed(String path, String headers) {
        return get(path).replace("Deadline-Ms", headers + "Deadline-Ms");
    }

    @Test
    void serverIsToldTheTenantOfTheKeyAndNeverTheKey() throws Exception {
        keyedTable(first);
        assertEquals(200, status(exchange(keyed("/safe/x", "Authorization: Token k3\r\nTenant: mill\r\n"))));
        assertEquals("shop", first.seen.get(0).header("Tenant"));
        assertEquals(null, first.seen.get(0).header("Authorization"));
        assertEquals(200, status(exchange(keyed("/open/x", "Tenant: mill\r\n"))));
        assertEquals(null, first.seen.get(1).header("Tenant"));
        assertEquals(
                200, status(exchange(keyed("/safe/x", "Authorization: Token k2\r\nConnection: close, Tenant\r\n"))));
        assertEquals("mill", first.seen.get(2).header("Tenant"));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "''|401",
                "Authorization: Token k9\\r\\n|401",
                "Authorization: Basic k1\\r\\n|401",
                "Authorization: Token\\r\\n|401",
                "Authorization: Token k1 k1\\r\\n|401",
                "Authorization: Token k1\\r\\nAuthorization: Token k3\\r\\n|400"
            })
    void requestWithoutAKeyThatCountsReachesNobody(String headers, int expected) throws Exception {
        keyedTable(first);
        assertEquals(
                expected,
                status(exchange(keyed("/safe/x", headers.replace("\\r", "\r").replace("\\n", "\n")))));
        assertEquals(0, first.seen.size());
    }

    /** A daemon that was cut off may not know that a key was taken away: past the time it counts, nothing is sent. */
    @Test
    void tableThatNobodyVouchesForAnyMoreSendsNothing() throws Exception {
        keyedTable(first);
        long[] good = {1_000};
        clock.loop().submit(() -> desk.share(null, null, () -> good[0])).get();
        assertEquals(200, status(exchange(keyed("/safe/x", "Authorization: Token k1\r\n"))));
        good[0] = 300;
        String doubtful = exchange(keyed("/safe/x", "Authorization: Token new\r\n"));
        assertEquals(503, status(doubtful), doubtful);
        good[0] = 0;
        String late = exchange(keyed("/safe/x", "Authorization: Token k1\r\n"));
        assertEquals(503, status(late));
        assertTrue(late.toLowerCase().contains("retry-after:"), late);
        assertEquals(1, first.seen.size());
        assertEquals(200, status(exchange(keyed("/open/x", ""))));
    }

    /** What a controller's side would say, scripted: each message to it is answered by the function. */
    private OperationClient counter(java.util.function.Function<MessagePackCodec.Reader, byte[]> controller) {
        FakeCounterPost messenger = new FakeCounterPost(clock, controller);
        OperationClient counter = new OperationClient(clock, messenger, metrics, new Random(4), java.util.List::of);
        counter.head(DaemonAddress.parse("10.0.0.1:7000"));
        return counter;
    }

    @Test
    void operationRunsOnlyOnceItIsGrantedAndARepeatGetsTheFirstAnswer() throws Exception {
        keyedTable(first);
        FakeRegister register = new FakeRegister();
        OperationClient counter = counter(register::answer);
        clock.loop()
                .submit(() -> desk.share(counter, null, () -> Long.MAX_VALUE))
                .get();
        String operation = messenger("/pay/x", "b")
                .replace("Deadline-Ms", "Authorization: Token k1\r\nOperation-Key: op1\r\nDeadline-Ms");
        register.granting = false;
        String none = exchange(operation);
        assertEquals(503, status(none), none);
        assertEquals(0, first.seen.size());
        register.granting = true;
        String ran = exchange(operation);
        assertEquals(200, status(ran), ran);
        assertEquals("op1", first.seen.get(0).header("Operation-Key"));
        Thread.sleep(300);
        String repeat = exchange(operation.replace("t1", "t7"));
        assertEquals(200, status(repeat), repeat);
        assertTrue(repeat.contains("t7") && repeat.contains("s1") && repeat.endsWith("hello"), repeat);
        assertEquals(1, first.seen.size());
        String without =
                exchange(messenger("/pay/x", "b").replace("Deadline-Ms", "Authorization: Token k1\r\nDeadline-Ms"));
        assertEquals(400, status(without));
    }

    @Test
    void operationWhoseAnswerWasLostIsNotRunAgain() throws Exception {
        keyedTable(first, second);
        FakeRegister register = new FakeRegister();
        OperationClient counter = counter(register::answer);
        clock.loop()
                .submit(() -> desk.share(counter, null, () -> Long.MAX_VALUE))
                .get();
        first.act(ScriptedServer.raw("", false));
        second.act(ScriptedServer.raw("", false));
        String operation = messenger("/pay/x", "b")
                .replace("Deadline-Ms", "Authorization: Token k1\r\nOperation-Key: op1\r\nDeadline-Ms");
        assertEquals(502, status(exchange(operation)));
        Thread.sleep(300);
        assertEquals(502, status(exchange(operation)));
        assertEquals(1, first.seen.size() + second.seen.size());
    }

    /** What a pipelining client has read after sending some requests, the daemon being told to leave in between. */
    private String pipelined(String before, String after, boolean last) throws Exception {
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.setSoTimeout(5_000);
            ScriptedServer.write(socket.getOutputStream(), before);
            Thread.sleep(300);
            clock.loop().submit(desk::beginClosing).get();
            ScriptedServer.write(socket.getOutputStream(), after);
            Thread.sleep(300);
            if (last) {
                clock.loop().submit(() -> desk.unblock(true)).get();
            }
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
        }
    }

    private static String pipe(String path) {
        return "GET " + path + " HTTP/1.1\r\nHost: h\r\nRequest-Attempt: t1\r\nDeadline-Ms: 2500\r\n\r\n";
    }

    private static ScriptedServer.Act slowOn(String path, long ms) {
        return (request, out) -> {
            if (request.head().contains(path)) {
                Thread.sleep(ms);
            }
            return ScriptedServer.ok("hello").answer(request, out);
        };
    }

    @Test
    void answerBehindOneStillAtWorkIsNotLostWhenTheDaemonLeaves() throws Exception {
        table(first);
        first.act(slowOn("/safe/slow", 4_000));
        String answers = pipelined(pipe("/safe/slow") + pipe("/safe/quick"), "", true);
        assertEquals(504, status(answers), answers);
        int next = answers.indexOf("HTTP/1.1 200");
        assertTrue(next > 0 && answers.endsWith("hello"), answers);
        assertTrue(answers.substring(next).toLowerCase().contains("connection: close"), answers);
    }

    @Test
    void daemonThatLeavesPassesOnNothingBehindAnotherRequest() throws Exception {
        table(first);
        first.act(slowOn("/safe/slow", 2_000));
        String answers = pipelined(pipe("/safe/slow"), pipe("/safe/behind"), false);
        assertTrue(status(answers) == 200 && answers.toLowerCase().contains("connection: close"), answers);
        assertEquals(answers.indexOf("HTTP/1.1"), answers.lastIndexOf("HTTP/1.1"), answers);
        assertEquals(1, first.seen.size());
    }
}
