package org.umbermount.proxy;

import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.umbermount.proxy.ProxyFixture.RouteSpec;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Requests under way survive a new table and a planned stop; see docs/traffic.md. */
class PlannedWorkRulesTest {
    private static final String SEALED = "HTTP/1.1 200 OK\r\nRequest-Attempt: t1\r\nServer-Seal: s7\r\n";
    private final CountDownLatch changed = new CountDownLatch(1);
    private ProxyFixture proxy;
    private ScriptedServer server;

    @BeforeEach
    void open() throws Exception {
        proxy = new ProxyFixture();
        server = proxy.server("s", 1);
        proxy.routes(
                RouteSpec.safe("/safe/").aim(2_500), RouteSpec.unsafe("/once/").aim(20_000));
    }

    @AfterEach
    void close() throws Exception {
        proxy.close();
    }

    /** What may become of the table while a request is under way. */
    private void change(String what) throws Exception {
        switch (what) {
            case "route dropped" -> proxy.routes(RouteSpec.safe("/other/"));
            case "route moved" -> proxy.routes(
                    RouteSpec.safe("/safe/").at("later"),
                    RouteSpec.unsafe("/once/").at("later"));
            case "server gone" -> {
                proxy.unlist(server);
                proxy.routes(RouteSpec.safe("/safe/"), RouteSpec.unsafe("/once/"));
            }
            case "limits lowered" -> {
                proxy.limits("\"maxHeaderBytes\":1024,\"maxBodyBytes\":1,\"headerTimeoutMs\":50,\"idleTimeoutMs\":50");
                proxy.routes(RouteSpec.safe("/safe/"), RouteSpec.unsafe("/once/"));
            }
            case "timeout lowered" -> proxy.routes(
                    RouteSpec.safe("/safe/").timeout(1).aim(1),
                    RouteSpec.unsafe("/once/").timeout(1).aim(1));
            default -> throw new IllegalArgumentException(what);
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"route dropped", "route moved", "server gone", "limits lowered", "timeout lowered"})
    void requestAtAServerIsAnsweredThroughAnyChangeOfTheTable(String what) throws Exception {
        server.act((request, out) -> {
            changed.await(3, TimeUnit.SECONDS);
            // Longer than the sweep of idle connections takes to come round.
            Thread.sleep(what.equals("limits lowered") ? 1_200 : 50);
            return ScriptedServer.ok("hello").answer(request, out);
        });
        try (Socket client = proxy.connect()) {
            ScriptedServer.write(client.getOutputStream(), ProxyFixture.messenger("/once/x", "b"));
            assertTrue(ProxyFixture.eventually(() -> server.seen.size() == 1));
            change(what);
            changed.countDown();
            String answer = ProxyFixture.readToEnd(client);
            assertTrue(ProxyFixture.status(answer) == 200 && answer.endsWith("hello"), answer);
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"route dropped", "route moved", "server gone", "limits lowered", "timeout lowered"})
    void longAnswerThatIsPassedOnComesWholeThroughAnyChangeOfTheTable(String what) throws Exception {
        String half = "h".repeat(150_000);
        server.act((request, out) -> {
            ScriptedServer.write(out, SEALED + "Content-Length: 300000\r\n\r\n" + half);
            changed.await(3, TimeUnit.SECONDS);
            // A server that says nothing for a while ends no answer before its time.
            Thread.sleep(1_200);
            ScriptedServer.write(out, half);
            return true;
        });
        try (Socket client = proxy.connect()) {
            ScriptedServer.write(client.getOutputStream(), ProxyFixture.get("/safe/x"));
            assertTrue(client.getInputStream().read() == 'H');
            change(what);
            changed.countDown();
            assertTrue(ProxyFixture.readToEnd(client).endsWith("\r\n\r\n" + half + half));
        }
    }

    /** A request that waits for a server is placed or refused as if its route and its server were still there. */
    @ParameterizedTest
    @ValueSource(strings = {"route dropped", "limits lowered", "server gone"})
    void requestThatWaitsForAServerIsAnsweredThroughAChangeOfTheTable(String what) throws Exception {
        server.act((request, out) -> {
            changed.await(3, TimeUnit.SECONDS);
            return ScriptedServer.ok("hello").answer(request, out);
        });
        try (Socket first = proxy.connect();
                Socket second = proxy.connect()) {
            ScriptedServer.write(first.getOutputStream(), ProxyFixture.messenger("/once/x", "b"));
            assertTrue(ProxyFixture.eventually(() -> server.seen.size() == 1));
            ScriptedServer.write(second.getOutputStream(), ProxyFixture.messenger("/once/y", "b"));
            Thread.sleep(100);
            change(what);
            changed.countDown();
            assertEquals(200, ProxyFixture.status(ProxyFixture.readToEnd(first)));
            assertEquals(what.equals("server gone") ? 503 : 200, ProxyFixture.status(ProxyFixture.readToEnd(second)));
        }
    }

    /** A new limit on headers ends each connection, but not before what has come on it is answered. */
    @Test
    void requestsBehindAnotherAreAnsweredBeforeANewLimitEndsTheConnection() throws Exception {
        server.act((request, out) -> {
            changed.await(3, TimeUnit.SECONDS);
            return ScriptedServer.ok("hello").answer(request, out);
        });
        try (Socket client = proxy.connect()) {
            String request = ProxyFixture.keep(ProxyFixture.messenger("/once/x", "b"));
            ScriptedServer.write(client.getOutputStream(), request + request + request);
            assertTrue(ProxyFixture.eventually(() -> server.seen.size() == 1));
            proxy.limits("\"maxHeaderBytes\":4096");
            proxy.routes(RouteSpec.unsafe("/once/"));
            changed.countDown();
            String answers = ProxyFixture.readToEnd(client);
            assertEquals(3, answers.split("HTTP/1.1 200", -1).length - 1, answers);
            assertEquals(
                    answers.toLowerCase().indexOf("connection: close"),
                    answers.toLowerCase().lastIndexOf("connection: close"),
                    answers);
        }
    }

    /** Answers wait for a client that reads slowly when the daemon is told to stop: they are not cut off. */
    @Test
    void answersThatTheClientHasNotTakenYetAreNotLostAtAStop() throws Exception {
        int answers = 96;
        String body = "a".repeat(120_000);
        server.act(ScriptedServer.raw(SEALED + "Content-Length: " + body.length() + "\r\n\r\n" + body, true));
        try (Socket client = new Socket()) {
            client.setReceiveBufferSize(8_192);
            client.setSoTimeout(6_000);
            client.connect(new InetSocketAddress("127.0.0.1", proxy.port));
            for (int i = 0; i < answers; i++) {
                ScriptedServer.write(client.getOutputStream(), ProxyFixture.keep(ProxyFixture.get("/safe/x")));
                int sent = i + 1;
                assertTrue(ProxyFixture.eventually(() -> server.seen.size() == sent));
            }
            Thread.sleep(100);
            proxy.clock
                    .loop()
                    .submit(() -> {
                        proxy.desk.beginClosing();
                        proxy.desk.stopListening();
                    })
                    .get();
            assertTrue(proxy.clock.loop().submit(proxy.desk::anyBusy).get(), "the answers are still to be taken");
            long read = 0;
            long owed = answers * (long) body.length();
            byte[] piece = new byte[65_536];
            for (int n = client.getInputStream().read(piece);
                    n > 0 && read < owed;
                    n = client.getInputStream().read(piece)) {
                read += n;
                if (read >= owed) {
                    break;
                }
            }
            assertTrue(read >= owed, read + " bytes");
            assertTrue(ProxyFixture.eventually(() -> !busy()));
        }
    }

    private boolean busy() {
        try {
            return proxy.clock.loop().submit(proxy.desk::anyBusy).get();
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    /** What is sent behind an answer whose head says that the connection ends is not passed on: the client asks elsewhere. */
    @Test
    void nothingIsPassedOnBehindAnAnswerThatSaysItIsTheLast() throws Exception {
        String half = "h".repeat(150_000);
        server = proxy.server("later", 4);
        server.act((request, out) -> {
            if (!request.head().contains("/safe/x")) {
                return ScriptedServer.ok("hello").answer(request, out);
            }
            ScriptedServer.write(out, SEALED + "Content-Length: 300000\r\n\r\n" + half);
            changed.await(3, TimeUnit.SECONDS);
            ScriptedServer.write(out, half);
            return true;
        });
        proxy.routes(RouteSpec.safe("/safe/").at("later"));
        try (Socket client = proxy.connect()) {
            ScriptedServer.write(client.getOutputStream(), ProxyFixture.keep(ProxyFixture.get("/safe/w")));
            StringBuilder before = new StringBuilder();
            while (before.indexOf("hello") < 0) {
                before.append((char) client.getInputStream().read());
            }
            proxy.limits("\"maxHeaderBytes\":4096");
            proxy.routes(RouteSpec.safe("/safe/").at("later"));
            ScriptedServer.write(client.getOutputStream(), ProxyFixture.keep(ProxyFixture.get("/safe/x")));
            StringBuilder head = new StringBuilder();
            while (head.indexOf("\r\n\r\n") < 0) {
                head.append((char) client.getInputStream().read());
            }
            assertTrue(head.toString().toLowerCase().contains("connection: close"), head.toString());
            ScriptedServer.write(client.getOutputStream(), ProxyFixture.keep(ProxyFixture.get("/safe/y")));
            Thread.sleep(150);
            changed.countDown();
            assertEquals(half + half, ProxyFixture.readToEnd(client));
            assertFalse(server.seen.stream().anyMatch(r -> r.head().contains("/safe/y")));
        }
    }
}
