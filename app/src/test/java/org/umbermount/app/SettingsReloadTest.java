package org.umbermount.app;

import java.io.IOException;
import java.io.InputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import sun.misc.Signal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Requests under way survive a SIGHUP and the settings that it brings. */
class SettingsReloadTest {
    private static final String CONTROL = "\"controlPlane\":\"127.0.0.1:";
    private static final long BEAT_MS = 200;
    private static final String ANSWER =
            "HTTP/1.1 200 OK\r\nRequest-Attempt: a1\r\nServer-Seal: s\r\nContent-Length: 2\r\n\r\nok";
    private final CountDownLatch received = new CountDownLatch(1);
    private final CountDownLatch reloaded = new CountDownLatch(1);
    private final AtomicInteger seen = new AtomicInteger();

    /** Answers the first request only once the settings have been read again. */
    private void serve(ServerSocket origin) {
        while (!origin.isClosed()) {
            try (Socket socket = origin.accept()) {
                StringBuilder head = new StringBuilder();
                InputStream in = socket.getInputStream();
                while (head.indexOf("\r\n\r\n") < 0) {
                    head.append((char) in.read());
                }
                seen.incrementAndGet();
                received.countDown();
                reloaded.await(4, TimeUnit.SECONDS);
                socket.getOutputStream().write(ANSWER.getBytes(StandardCharsets.US_ASCII));
            } catch (IOException | InterruptedException e) {
                return;
            }
        }
    }

    /** Speaks for the server as long as the test runs: one beat alone is forgotten after a second. */
    private void beat(ServerSocket origin, String settings) {
        int from = settings.indexOf(CONTROL) + CONTROL.length();
        int port = Integer.parseInt(settings.substring(from, settings.indexOf('"', from)));
        String address = "127.0.0.1:" + origin.getLocalPort();
        for (int sequence = 2; !origin.isClosed(); sequence++) {
            String body = "{\"upstream\":\"s\",\"address\":\"" + address
                    + "\",\"zone\":\"z\",\"revision\":\"v\",\"capacity\":2,"
                    + "\"status\":\"in_service\",\"warmupLeftMs\":0,\"sequence\":" + sequence + "}";
            try (Socket socket = new Socket("127.0.0.1", port)) {
                socket.setSoTimeout(1_000);
                socket.getOutputStream()
                        .write(("PUT /instances/i-1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: "
                                        + body.length() + "\r\n\r\n" + body)
                                .getBytes(StandardCharsets.US_ASCII));
                socket.getInputStream().readAllBytes();
                Thread.sleep(BEAT_MS);
            } catch (IOException | InterruptedException e) {
                // The next beat tries again.
            }
        }
    }

    /** Right after the start a daemon may still refuse: the request is sent until a server has answered it. */
    private static String answerOnceServed(Rehearsal daemons) {
        try {
            String[] answer = new String[1];
            Rehearsal.await("an answer", () -> {
                answer[0] = daemons.request("/p/x");
                return !answer[0].startsWith("HTTP/1.1 503");
            });
            return answer[0];
        } catch (Exception e) {
            return e.toString();
        }
    }

    @Test
    void requestAtAServerIsAnsweredThroughAReload(@TempDir Path folder) throws Exception {
        Rehearsal daemons = new Rehearsal();
        daemons.start(folder);
        try (ServerSocket origin = daemons.listen()) {
            Thread server = new Thread(() -> serve(origin), "origin");
            server.setDaemon(true);
            server.start();
            String written = Files.readString(folder.resolve(Rehearsal.SETTINGS));
            Thread beats = new Thread(() -> beat(origin, written), "beats");
            beats.setDaemon(true);
            beats.start();
            daemons.configure();
            CompletableFuture<String> answer = CompletableFuture.supplyAsync(() -> answerOnceServed(daemons));
            assertTrue(received.await(10, TimeUnit.SECONDS));
            Path settings = folder.resolve(Rehearsal.SETTINGS);
            Files.writeString(
                    settings,
                    Files.readString(settings)
                            .replace("\"bootstrap\":true", "\"bootstrap\":false")
                            .replace("\"seedNodes\":[", "\"seedNodes\":[\"127.0.0.1:9\","));
            Signal.raise(new Signal("HUP"));
            Rehearsal.await("the reload", () -> daemons.metrics().contains("settings_reread"));
            reloaded.countDown();
            String whole = answer.get(5, TimeUnit.SECONDS);
            assertTrue(whole.startsWith("HTTP/1.1 200") && whole.endsWith("ok"), whole);
            assertEquals(1, seen.get());
        }
    }
}
