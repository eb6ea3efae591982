package org.umbermount.proxy;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.umbermount.control.Configuration;
import org.umbermount.control.RegisteredServer;
import org.umbermount.distribution.RoutingTable;
import org.umbermount.distribution.Tables;
import org.umbermount.kernel.DaemonAddress;
import org.umbermount.kernel.InstanceId;
import org.umbermount.kernel.Metrics;
import org.umbermount.kernel.Settings;
import org.umbermount.kernel.net.LoopClock;

/** The traffic side on the loopback address, with a table that tests write and scripted servers behind it. */
final class ProxyFixture implements AutoCloseable {
    private static final long TICK_MS = 10;
    private static final String DEFAULT_LIMITS = "\"maxHeaderBytes\":8192,\"maxBodyBytes\":4000000";

    /** A route as tests write it. */
    record RouteSpec(String prefix, String type, String service, int maxTries, int timeoutMs, int aimMs, int priority) {
        static RouteSpec safe(String prefix) {
            return new RouteSpec(prefix, "safe", "s", 2, 3_000, 400, 1);
        }

        static RouteSpec unsafe(String prefix) {
            return new RouteSpec(prefix, "unsafe", "s", 2, 3_000, 400, 1);
        }

        RouteSpec at(String other) {
            return new RouteSpec(prefix, type, other, maxTries, timeoutMs, aimMs, priority);
        }

        RouteSpec tries(int n) {
            return new RouteSpec(prefix, type, service, n, timeoutMs, aimMs, priority);
        }

        RouteSpec timeout(int ms) {
            return new RouteSpec(prefix, type, service, maxTries, ms, aimMs, priority);
        }

        RouteSpec aim(int ms) {
            return new RouteSpec(prefix, type, service, maxTries, timeoutMs, ms, priority);
        }

        RouteSpec rank(int n) {
            return new RouteSpec(prefix, type, service, maxTries, timeoutMs, aimMs, n);
        }

        private String json(int number) {
            return "{\"label\":\"r" + number + "\",\"virtualHost\":\"h\",\"pathPrefix\":\"" + prefix
                    + "\",\"routeType\":\"" + type
                    + "\",\"timeoutMs\":" + timeoutMs + ",\"targetLatencyMs\":" + aimMs + ",\"priority\":" + priority
                    + ",\"upstream\":\"" + service + "\",\"maxTries\":" + maxTries + "}";
        }
    }

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    final LoopClock clock = new LoopClock(group.next());
    final Metrics metrics = new Metrics(clock::inEventLoop);
    final ProxyListener desk;
    final int port;
    private final List<ScriptedServer> servers = new ArrayList<>();
    private final Map<String, byte[]> instances = new HashMap<>();
    private final Map<String, byte[]> unlisted = new HashMap<>();
    private String limits = DEFAULT_LIMITS;
    private String tenants = "";
    private volatile long lastTick;
    private volatile long worstLagNanos;

    ProxyFixture() throws Exception {
        try (ServerSocket probe = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            port = probe.getLocalPort();
        }
        // A budget with plenty in it: the burst stands at once, since the daemon is taken to be old.
        Settings.Bounds bounds = new Settings.Bounds(4000, 5000, 3000, 6000, 3000, 0.2, 1, 1_000, 4000);
        desk = clock.loop()
                .submit(() -> new ProxyListener(clock.loop(), clock, metrics, bounds, "z", new Random(1)))
                .get();
        desk.bind(DaemonAddress.parse("127.0.0.1:" + port)).sync();
        Thread.sleep(5);
        clock.execute(() -> clock.every(TICK_MS, this::tick));
    }

    private void tick() {
        long now = System.nanoTime();
        worstLagNanos = Math.max(worstLagNanos, now - lastTick - TimeUnit.MILLISECONDS.toNanos(TICK_MS));
        lastTick = now;
    }

    /** Forgets how late timers have been. */
    void resetLag() {
        lastTick = System.nanoTime();
        worstLagNanos = 0;
    }

    /** By how much a timer has been late since then: what a busy machine may add to any time that a test measures. */
    long worstLagMs() {
        return TimeUnit.NANOSECONDS.toMillis(worstLagNanos);
    }

    /** Starts a server of a service and lists it in the next table. */
    ScriptedServer server(String service, int capacity) throws IOException {
        ScriptedServer server = new ScriptedServer(ScriptedServer.ok("hello"));
        String id = "i" + servers.size();
        servers.add(server);
        instances.put(
                RoutingTable.INSTANCE + id,
                Tables.packInstance(new RegisteredServer(
                        new InstanceId(id),
                        service,
                        "127.0.0.1:" + server.port(),
                        "z",
                        "v",
                        capacity,
                        0,
                        RegisteredServer.Standing.IN_SERVICE,
                        1,
                        DaemonAddress.NONE)));
        return server;
    }

    /** Takes a server out of the tables that follow. */
    void unlist(ScriptedServer server) {
        String key = RoutingTable.INSTANCE + "i" + servers.indexOf(server);
        unlisted.put(key, instances.remove(key));
    }

    /** Takes a server into the tables that follow again. */
    void relist(ScriptedServer server) {
        String key = RoutingTable.INSTANCE + "i" + servers.indexOf(server);
        instances.put(key, unlisted.remove(key));
    }

    /** Sets the limits of the configurations that follow. */
    void limits(String json) {
        limits = json;
    }

    /** Sets the tenants of the configurations that follow, as the members of a JSON list. */
    void tenants(String json) {
        tenants = ",\"tenants\":[" + json + "]";
    }

    /** Takes a configuration with these routes into force, and the servers listed so far. */
    void routes(RouteSpec... routes) throws Exception {
        List<String> written = new ArrayList<>();
        for (RouteSpec route : routes) {
            written.add(route.json(written.size()));
        }
        Configuration regulations = Configuration.parse(("{\"revision\":1,\"routeTable\":[" + String.join(",", written)
                        + "],\"upstreams\":[{\"label\":\"s\"},{\"label\":\"later\"}],\"limits\":{" + limits + "}"
                        + tenants + "}")
                .getBytes(StandardCharsets.UTF_8));
        Map<String, byte[]> entries = new HashMap<>(Tables.packConfiguration(regulations));
        entries.putAll(instances);
        RoutingTable table = RoutingTable.of(entries);
        clock.loop().submit(() -> desk.apply(table)).get();
    }

    /** What a client reads until the connection ends after it has written something. */
    String exchange(String request) throws IOException {
        try (Socket socket = connect()) {
            ScriptedServer.write(socket.getOutputStream(), request);
            return readToEnd(socket);
        }
    }

    /** A client's connection. */
    Socket connect() throws IOException {
        Socket socket = new Socket("127.0.0.1", port);
        socket.setSoTimeout(6_000);
        return socket;
    }

    static String readToEnd(Socket socket) throws IOException {
        return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
    }

    static String get(String path) {
        return "GET " + path
                + " HTTP/1.1\r\nHost: h\r\nRequest-Attempt: t1\r\nDeadline-Ms: 5000\r\nConnection: close\r\n\r\n";
    }

    static String messenger(String path, String body) {
        return "POST " + path
                + " HTTP/1.1\r\nHost: h\r\nRequest-Attempt: t1\r\nDeadline-Ms: 5000\r\nConnection: close\r\n"
                + "Content-Length: " + body.length() + "\r\n\r\n" + body;
    }

    /** The same request on a connection that stays. */
    static String keep(String request) {
        return request.replace("Connection: close\r\n", "");
    }

    static int status(String answer) {
        return answer.length() < 12 ? 0 : Integer.parseInt(answer.substring(9, 12));
    }

    /** Waits until a condition holds, three seconds at most. */
    static boolean eventually(java.util.function.BooleanSupplier condition) throws InterruptedException {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(3);
        while (!condition.getAsBoolean() && System.nanoTime() < until) {
            Thread.sleep(5);
        }
        return condition.getAsBoolean();
    }

    @Override
    public void close() throws Exception {
        for (ScriptedServer server : servers) {
            server.close();
        }
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).await(3, TimeUnit.SECONDS);
    }
}
