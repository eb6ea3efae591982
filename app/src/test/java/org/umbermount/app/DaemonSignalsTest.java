package org.umbermount.app;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.umbermount.app.SignalRelay.Request;
import org.umbermount.kernel.Role;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Requests to stop and to read the settings again, at any point of a real daemon's life, from several threads. */
class DaemonSignalsTest {
    private static final int PATIENCE_S = 20;
    private static final int CLIENTS = 4;
    private static final int RELOADS = 150;

    @TempDir
    private Path folder;

    private final SignalRelay signals = new SignalRelay();
    private final CountDownLatch ended = new CountDownLatch(1);
    private final AtomicInteger ends = new AtomicInteger();
    private Path file;
    private int port;

    @BeforeEach
    void writeSettings() throws IOException {
        port = Rehearsal.freePorts();
        file = folder.resolve("settings.json");
        Files.writeString(file, settings("first"));
    }

    private String settings(String nodeName) {
        return "{\"nodeName\":\"" + nodeName + "\",\"ipAddress\":\"127.0.0.1\",\"zone\":\"z\",\"zones\":{\"z\":\"r\"},"
                + "\"listeners\":{\"controlPlane\":\"127.0.0.1:" + (port + 2) + "\",\"http\":\"127.0.0.1:" + (port + 3)
                + "\",\"readiness\":\"127.0.0.1:" + (port + 4) + "\"},\"internalPortRange\":[" + port + "," + (port + 1)
                + "],\"seedNodes\":[\"127.0.0.1:" + (port + 2) + "\"],\"bootstrap\":true,\"dataPath\":\""
                + folder.toAbsolutePath() + "\",\"bounds\":{\"graceS\":0.8}}";
    }

    private Daemon daemon(Role role) {
        return new Daemon(role, file, signals, () -> {
            ends.incrementAndGet();
            ended.countDown();
        });
    }

    private String get(int at, String path) throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress("127.0.0.1", at), 5_000);
            socket.setSoTimeout(PATIENCE_S * 1_000);
            socket.getOutputStream()
                    .write(("GET " + path + " HTTP/1.1\r\nHost: h\r\nRequest-Attempt: a\r\n"
                                    + "Deadline-Ms: 2000\r\nConnection: close\r\n\r\n")
                            .getBytes(StandardCharsets.US_ASCII));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    private static void deliverFromThreads(SignalRelay signals, Request... requests) throws InterruptedException {
        List<Thread> threads = new ArrayList<>();
        for (Request request : requests) {
            Thread thread = new Thread(() -> signals.deliver(request), "signal");
            thread.start();
            threads.add(thread);
        }
        for (Thread thread : threads) {
            thread.join();
        }
    }

    private void awaitOneEnd() throws InterruptedException {
        assertTrue(ended.await(PATIENCE_S, TimeUnit.SECONDS));
        Thread.sleep(100);
        assertEquals(1, ends.get());
    }

    @Test
    void toldToStopBeforeItsStartADaemonOpensNothing() throws Exception {
        deliverFromThreads(signals, Request.STOP, Request.STOP, Request.RELOAD);
        daemon(Role.CONTROLLER).start();
        awaitOneEnd();
        assertTrue(Files.notExists(folder.resolve("memory.stack")));
    }

    @Test
    void toldToStopWhileItStartsADaemonEndsOnceInOrder() throws Exception {
        Thread signal = new Thread(
                () -> {
                    for (int i = 0; i < 50; i++) {
                        signals.deliver(i % 2 == 0 ? Request.RELOAD : Request.STOP);
                    }
                },
                "signal");
        signal.start();
        daemon(Role.PROXY).start();
        signal.join();
        awaitOneEnd();
    }

    /** Whole, half-written and invalid settings come while clients ask, and go on coming while the daemon stops. */
    @Test
    void requestsAreAnsweredWhileSettingsChangeAndTheStopComesTwice() throws Exception {
        daemon(Role.PROXY).start();
        AtomicBoolean over = new AtomicBoolean();
        AtomicInteger answered = new AtomicInteger();
        List<String> wrong = java.util.Collections.synchronizedList(new ArrayList<>());
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            Thread client = new Thread(() -> ask(over, answered, wrong), "client");
            client.start();
            clients.add(client);
        }
        for (int i = 0; i < RELOADS; i++) {
            String whole = settings("node-" + i);
            Files.writeString(
                    file,
                    i % 3 == 0
                            ? whole.substring(0, whole.length() / 2)
                            : i % 3 == 1 ? whole.replace("127.0.0.1:" + (port + 2), "nowhere") : whole);
            deliverFromThreads(signals, Request.RELOAD, Request.RELOAD);
        }
        Files.writeString(file, settings("last"));
        deliverFromThreads(signals, Request.RELOAD);
        // The status is answered by the loop, behind the reload.
        assertTrue(get(port + 4, "/status").contains("\"daemon\":\"last\""));
        over.set(true);
        for (Thread client : clients) {
            client.join();
        }
        assertEquals(List.of(), wrong);
        assertTrue(answered.get() >= CLIENTS);
        deliverFromThreads(signals, Request.STOP, Request.RELOAD, Request.STOP, Request.RELOAD);
        Files.writeString(file, settings("too late"));
        deliverFromThreads(signals, Request.RELOAD);
        assertTrue(get(port + 4, "/status").contains("\"daemon\":\"last\""));
        awaitOneEnd();
    }

    private void ask(AtomicBoolean over, AtomicInteger answered, List<String> wrong) {
        do {
            try {
                String answer = get(port + 3, "/any");
                if (!answer.startsWith("HTTP/1.1 503 ") || !answer.contains("\r\n\r\n")) {
                    wrong.add(answer);
                }
                answered.incrementAndGet();
            } catch (IOException e) {
                wrong.add(e.toString());
            }
        } while (!over.get());
    }
}
