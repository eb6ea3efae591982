package org.umbermount.proxy;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.umbermount.control.Configuration;
import org.umbermount.control.RegisteredServer;
import org.umbermount.distribution.RoutingTable;
import org.umbermount.distribution.Tables;
import org.umbermount.idempotency.OperationClient;
import org.umbermount.kernel.DaemonAddress;
import org.umbermount.kernel.InstanceId;
import org.umbermount.kernel.Metrics;
import org.umbermount.kernel.Settings;
import org.umbermount.kernel.net.LoopClock;

/**
 * Clients that pipeline and give up, servers that do everything that servers in trouble do, and a front desk between them.
 * Each answer is checked against its request, and each request that must run once is counted at the servers.
 */
final class ExchangeHunt implements UnrulyServer.Hunt {
    private static final int CLIENTS = 24;
    private static final int SERVERS = 6;
    private static final long SETTLE_MS = 3_000;
    private static final long LIMITS_MS = 50;
    /** The last of so many parts of the exchanges is played on a daemon that has been told to stop. */
    private static final int LEAVING_PART = 6;

    /** What came of a run. */
    record Report(
            int exchanges,
            int successes,
            int repeats,
            int failures,
            int promises,
            int cuts,
            int unread,
            int runs,
            List<String> breaks,
            String sorts,
            String counts) {
        boolean broke(String rule) {
            return breaks.stream().anyMatch(b -> b.startsWith(rule));
        }

        @Override
        public String toString() {
            return exchanges + " exchanges: " + successes + " successes (" + repeats + " of repeats), " + failures
                    + " failures, " + promises + " promises, "
                    + cuts + " cut, " + unread + " not read; " + runs + " runs; by sort of server's act: " + sorts
                    + "; " + counts + "; " + breaks.size() + " breaks " + breaks.subList(0, Math.min(5, breaks.size()));
        }
    }

    private final long seed;
    private final int most;
    private final AtomicInteger exchanges = new AtomicInteger();
    private final AtomicInteger successes = new AtomicInteger();
    private final AtomicInteger failures = new AtomicInteger();
    private final AtomicInteger cuts = new AtomicInteger();
    private final AtomicInteger unread = new AtomicInteger();
    private final AtomicInteger atWork = new AtomicInteger();
    private final AtomicInteger[] sorts = UnrulyServer.tallies();
    private final Set<String> asked = ConcurrentHashMap.newKeySet();
    private final Map<String, AtomicInteger> arrivals = new ConcurrentHashMap<>();
    private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
    /** Requests of which a client was told, or may take it, that they have not run and never will. */
    private final Map<String, String> promised = new ConcurrentHashMap<>();

    private final Queue<String> breaks = new ConcurrentLinkedQueue<>();
    private final AtomicInteger nextId = new AtomicInteger();
    private final AtomicInteger nextOperation = new AtomicInteger();
    private final AtomicInteger repeats = new AtomicInteger();
    /** The operation that a try is of, by the try's id. */
    private final Map<String, String> operations = new ConcurrentHashMap<>();

    private int port;
    private boolean leaving;

    ExchangeHunt(long seed, int exchanges) {
        this.seed = seed;
        this.most = exchanges;
    }

    @Override
    public int arrived(String id) {
        if (!asked.contains(id)) {
            breaks.add("UNASKED " + id);
        }
        return arrivals.computeIfAbsent(id, i -> new AtomicInteger()).getAndIncrement();
    }

    @Override
    public int ran(String id, String flaw) {
        if (flaw != null) {
            breaks.add("UNASKED " + id + " with another " + flaw);
        }
        return runs.computeIfAbsent(id, i -> new AtomicInteger()).getAndIncrement();
    }

    @Override
    public void atWork(int change) {
        atWork.addAndGet(change);
    }

    @Override
    public void did(int sort) {
        sorts[sort].incrementAndGet();
    }

    /** Opens everything, plays the exchanges and looks at what came of them. */
    Report run() throws Exception {
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        List<UnrulyServer> servers = new ArrayList<>();
        LoopClock clock = new LoopClock(group.next());
        // Everything that is counted while exchanges are played has to be counted on the loop.
        Metrics metrics = new Metrics(clock::inEventLoop);
        try {
            Settings.Bounds bounds = new Settings.Bounds(4000, 5000, 3000, 6000, 3000, 2.0, 1, 1000, 4000);
            ProxyListener desk = clock.loop()
                    .submit(() -> new ProxyListener(clock.loop(), clock, metrics, bounds, "z", new Random(seed)))
                    .get();
            try (ServerSocket probe = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
                port = probe.getLocalPort();
            }
            desk.bind(DaemonAddress.parse("127.0.0.1:" + port)).sync();
            for (int i = 0; i < SERVERS; i++) {
                servers.add(new UnrulyServer("i" + i, seed, this));
            }
            OperationClient counter = new OperationClient(
                    clock, new FakeCounterPost(clock, new FakeRegister()::answer), metrics, new Random(seed), List::of);
            counter.head(DaemonAddress.parse("10.0.0.1:7000"));
            clock.loop()
                    .submit(() -> desk.share(counter, null, () -> Long.MAX_VALUE))
                    .get();
            apply(desk, clock, servers, 0);
            List<Thread> clients = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                Random random = new Random(seed * 1_000 + i);
                Thread t = new Thread(() -> client(random), "client");
                t.start();
                clients.add(t);
            }
            int limits = 0;
            for (Thread t : clients) {
                while (t.isAlive()) {
                    t.join(LIMITS_MS);
                    // With other limits, answers end the connections that were there before.
                    apply(desk, clock, servers, ++limits);
                    if (!leaving && exchanges.get() > most - most / LEAVING_PART) {
                        // The rest is played on a daemon that leaves, and drops what is behind its answers.
                        leaving = true;
                        clock.loop().submit(desk::beginClosing).get();
                    }
                }
            }
            settle();
            int left = clock.loop().submit(desk::atServers).get();
            for (int i = 0; i < SETTLE_MS / 20 && left != 0; i++) {
                Thread.sleep(20);
                left = clock.loop().submit(desk::atServers).get();
            }
            if (left != 0) {
                breaks.add("KEPT " + left + " requests still count as being at servers");
            }
        } finally {
            for (UnrulyServer s : servers) {
                s.close();
            }
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS).await(3, TimeUnit.SECONDS);
        }
        return report(metrics);
    }

    private static void apply(ProxyListener desk, LoopClock clock, List<UnrulyServer> servers, int limits)
            throws Exception {
        RoutingTable table = table(servers, limits);
        clock.loop().submit(() -> desk.apply(table)).get();
    }

    private static RoutingTable table(List<UnrulyServer> servers, int limits) throws Exception {
        String route =
                "\"virtualHost\":\"h\",\"timeoutMs\":3000,\"targetLatencyMs\":100,\"upstream\":\"s\",\"maxTries\":3,";
        Configuration r = Configuration.parse(("{\"revision\":1,\"routeTable\":["
                        + "{\"label\":\"a\"," + route + "\"pathPrefix\":\"/safe/\",\"routeType\":\"safe\"},"
                        + "{\"label\":\"o\"," + route + "\"pathPrefix\":\"/pay/\",\"routeType\":\"idempotent\"},"
                        + "{\"label\":\"b\"," + route + "\"pathPrefix\":\"/once/\",\"routeType\":\"unsafe\"}],"
                        + "\"upstreams\":[{\"label\":\"s\",\"maxConnections\":300}],"
                        + "\"limits\":{\"maxHeaderBytes\":" + (8_192 + limits) + "}}")
                .getBytes(StandardCharsets.UTF_8));
        Map<String, byte[]> entries = new HashMap<>(Tables.packConfiguration(r));
        for (int i = 0; i < servers.size(); i++) {
            entries.put(
                    RoutingTable.INSTANCE + "i" + i,
                    Tables.packInstance(new RegisteredServer(
                            new InstanceId("i" + i),
                            "s",
                            "127.0.0.1:" + servers.get(i).port(),
                            "z",
                            "v",
                            12,
                            0,
                            RegisteredServer.Standing.IN_SERVICE,
                            1,
                            DaemonAddress.NONE)));
        }
        return RoutingTable.of(entries);
    }

    /** Waits, a while at most, until no server is at work any more: a promise is about what comes after it too. */
    private void settle() throws InterruptedException {
        int quiet = 0;
        for (int i = 0; i < SETTLE_MS / 20 && quiet < 20; i++) {
            Thread.sleep(20);
            quiet = atWork.get() == 0 ? quiet + 1 : 0;
        }
    }

    private Report report(Metrics metrics) {
        int total = 0;
        Map<String, Integer> byOperation = new HashMap<>();
        for (Map.Entry<String, AtomicInteger> e : runs.entrySet()) {
            int n = e.getValue().get();
            total += n;
            if (e.getKey().startsWith("o") && byOperation.merge(operations.get(e.getKey()), n, Integer::sum) > 1) {
                breaks.add("TWICE operation " + operations.get(e.getKey()) + " by " + e.getKey());
            }
            if (e.getKey().startsWith("u") && n > 1) {
                breaks.add("TWICE " + e.getKey() + " ran " + n + " times");
            }
        }
        for (Map.Entry<String, String> e : promised.entrySet()) {
            if (runs.containsKey(e.getKey())) {
                breaks.add("REFUSED " + e.getKey() + " was told " + e.getValue() + " and ran");
            }
        }
        StringBuilder counts = new StringBuilder();
        metrics.forEach((name, value) -> {
            if (value > 0 && (name.startsWith("servers.") || name.startsWith("requests."))) {
                counts.append(name).append(' ').append((long) value).append(", ");
            }
        });
        return new Report(
                exchanges.get(),
                successes.get(),
                repeats.get(),
                failures.get(),
                promised.size() - unread.get(),
                cuts.get(),
                unread.get(),
                total,
                new ArrayList<>(breaks),
                Arrays.toString(sorts),
                counts.toString());
    }

    // ---- the clients ----

    /** A request of a client, and how it is written. */
    private record Asked(String id, String method, byte[] wire, int bodyFrom) {
        boolean once() {
            return !id.startsWith("s");
        }
    }

    private void client(Random random) {
        while (exchanges.get() < most) {
            try (Socket socket = new Socket("127.0.0.1", port)) {
                socket.setSoTimeout(6_000);
                socket.setTcpNoDelay(true);
                InputStream in = new BufferedInputStream(socket.getInputStream(), 16_384);
                int rounds = 1 + random.nextInt(6);
                boolean on = true;
                while (on && rounds-- > 0) {
                    on = round(random, socket, in);
                }
            } catch (SocketTimeoutException e) {
                breaks.add("HELD a client waited for 6 s");
            } catch (IOException e) {
                cuts.incrementAndGet();
            } catch (RuntimeException e) {
                breaks.add("MIXED what came is not an answer: " + e);
            }
        }
    }

    /** Sends one or several requests and reads their answers; false if the connection is over. */
    private boolean round(Random random, Socket socket, InputStream in) throws IOException {
        if (in.available() > 0) {
            breaks.add("MIXED bytes on a connection where no request is waiting");
            return false;
        }
        int n = random.nextInt(10) < 6 ? 1 : 2 + random.nextInt(4);
        List<Asked> batch = new ArrayList<>(n);
        ByteArrayOutputStream wire = new ByteArrayOutputStream();
        int lastBody = 0;
        for (int i = 0; i < n; i++) {
            Asked a = ask(random, n > 1);
            lastBody = wire.size() + a.bodyFrom;
            wire.write(a.wire);
            batch.add(a);
        }
        exchanges.addAndGet(n);
        boolean unreadable = random.nextInt(10) == 0;
        if (unreadable) {
            wire.write("GET /safe/y HTTP/1.1\r\nHost: h\r\nHost: g\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
        }
        byte[] all = wire.toByteArray();
        int quit = random.nextInt(40);
        if (quit == 0) {
            // Gives up within the last request's body, or with all of it sent.
            int upTo =
                    random.nextBoolean() ? all.length : lastBody + random.nextInt(Math.max(1, all.length - lastBody));
            socket.getOutputStream().write(all, 0, upTo);
            return false;
        }
        socket.getOutputStream().write(all);
        for (int i = 0; i < n; i++) {
            if (quit == 1 && i == n / 2) {
                return false;
            }
            if (!read(in, batch.get(i))) {
                for (Asked behind : batch.subList(i + 1, n)) {
                    if (behind.once()) {
                        unread.incrementAndGet();
                        promised.put(behind.id, "nothing, behind an answer that ended the connection,");
                    }
                }
                expectEnd(in);
                return false;
            }
        }
        if (unreadable) {
            Head head = head(in);
            if (head.status != 400 || head.header("request-attempt") != null) {
                breaks.add("MIXED " + head.status + " for an unreadable request");
            }
            return false;
        }
        return true;
    }

    private Asked ask(Random random, boolean pipelined) {
        boolean operation = random.nextInt(6) == 0;
        boolean once = operation || random.nextInt(2) == 0;
        String id;
        byte[] body;
        do {
            id = (operation ? "o" : once ? "u" : "s") + seed + "." + nextId.getAndIncrement();
            body = UnrulyServer.Ink.body(id, false);
        } while (pipelined && body.length > 60_000);
        asked.add(id);
        if (operation) {
            // A new one, or one of the last few, that may be at work or over.
            int back = random.nextInt(2) == 0 ? 0 : random.nextInt(30);
            operations.put(
                    id, "k" + (back == 0 ? nextOperation.incrementAndGet() : Math.max(0, nextOperation.get() - back)));
        }
        int kind = random.nextInt(6);
        String method = once || kind == 0 ? "POST" : kind == 1 ? "HEAD" : "GET";
        StringBuilder head = new StringBuilder(method)
                .append(operation ? " /pay/" : once ? " /once/" : " /safe/")
                .append(random.nextInt(9))
                .append('/')
                .append(id)
                .append("?of=")
                .append(id)
                .append(" HTTP/1.1\r\nHost: h\r\nRequest-Attempt: ")
                .append(id)
                .append("\r\nDeadline-Ms: ")
                .append(350 + random.nextInt(100))
                .append("\r\n");
        ByteArrayOutputStream wire = new ByteArrayOutputStream();
        if (operation) {
            head.append("Operation-Key: ").append(operations.get(id)).append("\r\n");
        }
        boolean chunks = method.equals("POST") && random.nextInt(3) == 0;
        if (chunks) {
            head.append("Transfer-Encoding: chunked\r\n\r\n");
        } else if (method.equals("POST")) {
            head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
        } else {
            head.append("\r\n");
        }
        wire.writeBytes(head.toString().getBytes(StandardCharsets.ISO_8859_1));
        int from = wire.size();
        if (chunks) {
            for (int at = 0; at < body.length; ) {
                int n = Math.min(body.length - at, 1 + random.nextInt(40_000));
                wire.writeBytes((Integer.toHexString(n) + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
                wire.write(body, at, n);
                wire.writeBytes(new byte[] {'\r', '\n'});
                at += n;
            }
            wire.writeBytes("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
        } else if (method.equals("POST")) {
            wire.writeBytes(body);
        }
        return new Asked(id, method, wire.toByteArray(), from);
    }

    private record Head(int status, String text) {
        String header(String name) {
            return UnrulyServer.header(text, name);
        }
    }

    private static Head head(InputStream in) throws IOException {
        StringBuilder text = new StringBuilder();
        while (text.length() < 4 || text.indexOf("\r\n\r\n", text.length() - 4) < 0) {
            int b = in.read();
            if (b < 0) {
                throw new IOException("ended");
            }
            text.append((char) b);
            if (text.length() > 20_000 || text.length() == 9 && !text.toString().equals("HTTP/1.1 ")) {
                throw new IllegalStateException(text.toString());
            }
        }
        return new Head(Integer.parseInt(text.substring(9, 12)), text.toString());
    }

    /** Reads one answer and checks it against its request; false if it says that the connection ends with it. */
    private boolean read(InputStream in, Asked request) throws IOException {
        Head head = head(in);
        boolean bare = request.method.equals("HEAD") || head.status == 204 || head.status == 304;
        if (!bare && head.header("content-length") == null && head.header("transfer-encoding") == null) {
            breaks.add("MIXED an answer without framing to " + request.id);
        }
        byte[] body = bare ? new byte[0] : UnrulyServer.body(in, head.text);
        if (body == null) {
            throw new IOException("cut");
        }
        String echoed = head.header("request-attempt");
        if (!request.id.equals(echoed)) {
            breaks.add("MIXED " + head.status + " of " + echoed + " for " + request.id);
        }
        if (head.status / 100 == 2) {
            successes.incrementAndGet();
            String from = ranAs(request, head.header("server-seal"));
            byte[] whole = request.method.equals("HEAD") ? body : UnrulyServer.Ink.body(from, true);
            if (!UnrulyServer.Ink.seal(from).equals(head.header("server-seal"))
                    || !Arrays.equals(whole, body)
                    || head.header("content-encoding") != null
                    || !runs.containsKey(from)) {
                breaks.add("MIXED a success that is not the server's for " + request.id + ": " + head.text);
            }
        } else if (head.status == 429 || head.status == 503 || head.status == 408 || head.status == 421) {
            if (request.once()) {
                promised.put(request.id, head.status + "");
            }
        } else {
            failures.incrementAndGet();
        }
        String connection = head.header("connection");
        return connection == null || !connection.equalsIgnoreCase("close");
    }

    /** The try whose run an answer may be of: the request itself, or another try of the same operation. */
    private String ranAs(Asked request, String seal) {
        String sealed = seal == null || !seal.startsWith("seal.") ? request.id : seal.substring(5);
        String operation = operations.get(request.id);
        if (sealed.equals(request.id) || operation == null || !operation.equals(operations.get(sealed))) {
            return request.id;
        }
        repeats.incrementAndGet();
        return sealed;
    }

    private void expectEnd(InputStream in) {
        try {
            if (in.read() >= 0) {
                breaks.add("MIXED bytes behind the last answer of a connection");
            }
        } catch (IOException e) {
            // A reset is an end too.
        }
    }
}
