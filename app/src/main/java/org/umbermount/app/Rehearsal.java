package org.umbermount.app;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.umbermount.kernel.Role;

/**
 * Runs both programs in one process on the loopback address and takes one request through them. The build uses
 * it to learn which classes a start needs; it fails if the request is not served.
 */
final class Rehearsal {
    static final String SETTINGS = "settings.json";
    private static final String SEAL = "rehearsal-seal";
    private static final int PORTS = 6;
    private static final int LOWEST_PORT = 12_000;
    private static final int PORT_GROUPS = 3_300;
    private final int port = freePorts();

    static void run(Path folder) throws Exception {
        new Rehearsal().play(folder);
    }

    private void play(Path folder) throws Exception {
        start(folder);
        try (ServerSocket origin = listen()) {
            Thread server = new Thread(() -> serve(origin), "origin");
            server.setDaemon(true);
            server.start();
            configure();
            await("the reading", () -> call(port + 2, "GET", "/config", "").startsWith("HTTP/1.1 200"));
            await("the request", () -> call(port + 3, "GET", "/p/x", "").contains(SEAL));
            await("the operation", () -> call(port + 3, "POST", "/o/x", "b").contains(SEAL));
            await("its repeat", () -> call(port + 3, "POST", "/o/x", "b").contains(SEAL));
            await("the meters", () -> metrics().contains("umbermount_"));
        }
    }

    /** Writes the settings and starts both programs; signals to the process go to the one that carries traffic. */
    void start(Path folder) throws Exception {
        Daemon.prepare();
        Files.createDirectories(folder);
        Path settings = folder.resolve(SETTINGS);
        Files.writeString(settings, settings(folder));
        for (Role role : List.of(Role.CONTROLLER, Role.PROXY)) {
            // As a daemon of its own does, so that the build sees which classes that takes.
            SignalRelay signals = new SignalRelay();
            signals.install();
            new Daemon(role, settings, signals, new Daemon.ProcessEnd()).start();
        }
    }

    /** Listens where the one server is listed. */
    ServerSocket listen() throws IOException {
        return new ServerSocket(port + 5, 8, InetAddress.getByName("127.0.0.1"));
    }

    /** Lists the server, sets a configuration and waits until it is in force. */
    void configure() throws Exception {
        await("the beat", () -> call(
                        port + 2,
                        "PUT",
                        "/instances/i-1",
                        "{\"upstream\":\"s\",\"address\":\"127.0.0.1:"
                                + (port + 5)
                                + "\",\"zone\":\"z\",\"revision\":\"v\",\"capacity\":2,\"status\":\"in_service\","
                                + "\"warmupLeftMs\":0,\"sequence\":1}")
                .startsWith("HTTP/1.1 200"));
        await("the configuration", () -> call(
                        port + 2,
                        "PUT",
                        "/config",
                        "{\"revision\":1,\"routeTable\":[{\"label\":\"r\","
                                + "\"virtualHost\":\"h.example\",\"pathPrefix\":\"/p/\",\"routeType\":\"safe\",\"timeoutMs\":5000,"
                                + "\"targetLatencyMs\":800,\"priority\":1,\"upstream\":\"s\",\"maxTries\":2},{\"label\":\"o\","
                                + "\"virtualHost\":\"h.example\",\"pathPrefix\":\"/o/\",\"routeType\":\"idempotent\",\"timeoutMs\":5000,"
                                + "\"targetLatencyMs\":800,\"priority\":1,\"upstream\":\"s\",\"maxTries\":2}],\"tenants\":[{\"label\":\"t\","
                                + "\"apiKeys\":[\"k\"],\"priority\":0,\"ratePerS\":50,\"burst\":50}],\"upstreams\":[{\"label\":"
                                + "\"s\",\"healthCheck\":\"/health\",\"maxConnections\":10,\"protocol\":\"h1\",\"tls\":false}],"
                                + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":1000000,\"headerTimeoutMs\":3000,"
                                + "\"idleTimeoutMs\":15000}}")
                .startsWith("HTTP/1.1 200"));
        await("readiness", () -> call(port + 4, "GET", "/readiness", "").startsWith("HTTP/1.1 200"));
    }

    /** What one request of a client is answered. */
    String request(String path) throws IOException {
        return call(port + 3, "GET", path, "");
    }

    /** The meters of the daemon that carries traffic. */
    String metrics() throws IOException {
        return call(port + 4, "GET", "/metrics", "");
    }

    /** Something that is repeated until it is done. */
    interface Step {
        boolean done() throws IOException;
    }

    static void await(String what, Step step) throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (System.nanoTime() < end) {
            try {
                if (step.done()) {
                    return;
                }
            } catch (IOException e) {
                // Not there yet.
            }
            Thread.sleep(100);
        }
        throw new TimeoutException("The rehearsal waited in vain for " + what + ".");
    }

    private static String call(int port, String method, String path, String body) throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress("127.0.0.1", port), 1_000);
            socket.setSoTimeout(3_000);
            byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
            socket.getOutputStream()
                    .write((method + " " + path + " HTTP/1.1\r\nHost: h.example\r\nIf-Match: 0\r\n"
                                    + "Request-Attempt: a1\r\nOperation-Key: o1\r\nAuthorization: Token k\r\nDeadline-Ms: 2000\r\nConnection: close\r\nContent-Length: "
                                    + bytes.length
                                    + "\r\n\r\n" + body)
                            .getBytes(StandardCharsets.UTF_8));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    private static void serve(ServerSocket origin) {
        while (!origin.isClosed()) {
            try (Socket socket = origin.accept()) {
                InputStream in = socket.getInputStream();
                OutputStream out = socket.getOutputStream();
                StringBuilder head = new StringBuilder();
                while (head.indexOf("\r\n\r\n") < 0) {
                    int b = in.read();
                    if (b < 0) {
                        break;
                    }
                    head.append((char) b);
                }
                out.write(("HTTP/1.1 200 OK\r\nRequest-Attempt: a1\r\nServer-Seal: " + SEAL
                                + "\r\nServer-Load: 1,0,2\r\nContent-Length: 2\r\n\r\nok")
                        .getBytes(StandardCharsets.UTF_8));
                out.flush();
            } catch (IOException e) {
                return;
            }
        }
    }

    private String settings(Path folder) {
        return "{\"nodeName\":\"rehearsal\",\"ipAddress\":\"127.0.0.1\",\"zone\":\"z\",\"zones\":{\"z\":\"r\"},"
                + "\"listeners\":{\"controlPlane\":\"127.0.0.1:" + (port + 2) + "\",\"http\":\"127.0.0.1:" + (port + 3)
                + "\",\"readiness\":\"127.0.0.1:" + (port + 4) + "\"},\"internalPortRange\":[" + port + "," + (port + 1)
                + "],\"seedNodes\":[\"127.0.0.1:" + (port + 2) + "\"],\"bootstrap\":true,\"dataPath\":\""
                + folder.toAbsolutePath()
                + "\",\"heartbeatMs\":300,\"guarantees\":[\"keys\",\"quota\"],\"bounds\":{\"strictRevocation\":true}}";
    }

    /**
     * The first of six neighbouring ports that are free for both kinds of sockets. They are looked for from a random place, since
     * rehearsals of several builds may run on one machine, and below the ports that systems give to outgoing connections.
     */
    static int freePorts() {
        int start = new SecureRandom().nextInt(PORT_GROUPS);
        for (int i = 0; i < PORT_GROUPS; i++) {
            int first = LOWEST_PORT + (start + i) % PORT_GROUPS * PORTS;
            if (areFree(first)) {
                return first;
            }
        }
        throw new IllegalStateException("No ports are free.");
    }

    private static boolean areFree(int first) {
        for (int i = 0; i < PORTS; i++) {
            try (ServerSocket tcp = new ServerSocket(first + i, 1, InetAddress.getLoopbackAddress());
                    DatagramSocket udp = new DatagramSocket(first + i, InetAddress.getLoopbackAddress())) {
                if (!tcp.isBound() || !udp.isBound()) {
                    return false;
                }
            } catch (IOException e) {
                return false;
            }
        }
        return true;
    }
}
