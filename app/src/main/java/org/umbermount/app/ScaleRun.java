package org.umbermount.app;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.umbermount.kernel.Settings;

/**
 * Measures what control costs at one size: real controllers and a few real proxies as processes of their own, and beside
 * them hollow proxies and servers in this one, all on loopback addresses, for a bounded time.
 */
final class ScaleRun {
    static final int ZONES = 3;
    static final int REAL_PROXIES = 3;
    static final int MOST_PROXIES = 2_000;
    static final int MOST_SERVERS = 10_000;
    private static final int PORT = 27_100;
    private static final int CONTROL = PORT + 4;
    private static final long BEAT_MS = 1_500;
    private static final long CHANGE_MS = 1_000;
    /** What the names of a daemon's message counters begin with on its metrics page. */
    private static final String MESSAGE_METERS = "umbermount_mail_";

    private static final Duration PATIENCE = Duration.ofSeconds(5);

    /** What was measured: names to figures, in order. */
    record Figures(Map<String, Double> values) {}

    private final Path folder;
    private final int proxies;
    private final int servers;
    private final int routes;
    private final int controllers;
    private final int seconds;
    private final List<Process> processes = new ArrayList<>();
    private final HttpClient client =
            HttpClient.newBuilder().connectTimeout(PATIENCE).build();
    private final List<HollowProxy> hollow = new ArrayList<>();
    private final Map<Long, AtomicInteger> arrived = new ConcurrentHashMap<>();
    /** How long each change took from the first call to its answer. */
    private final List<Double> answerMs = new ArrayList<>();

    private final Map<Long, Long> acknowledged = new ConcurrentHashMap<>();
    private final Map<Long, Long> everywhere = new ConcurrentHashMap<>();
    private final AtomicLong beats = new AtomicLong();
    private final AtomicLong beatsFailed = new AtomicLong();

    ScaleRun(Path folder, int proxies, int servers, int routes, int controllers, int seconds) {
        this.folder = folder;
        this.proxies = proxies;
        this.servers = servers;
        this.routes = routes;
        this.controllers = controllers;
        this.seconds = seconds;
    }

    /** An address of its own for each daemon, all of them on the loopback. */
    private static String ip(int kind, int n) {
        return "127." + kind + "." + n / 250 + "." + (n % 250 + 1);
    }

    private static String controller(int i) {
        return ip(100, i + 1);
    }

    private String settings(String ip, String name, int zone, boolean disk) {
        StringBuilder seeds = new StringBuilder();
        for (int i = 0; i < Math.min(3, controllers); i++) {
            seeds.append(i == 0 ? "" : ",")
                    .append('"')
                    .append(controller(i))
                    .append(':')
                    .append(CONTROL)
                    .append('"');
        }
        return "{\"nodeName\":\"" + name + "\",\"ipAddress\":\"" + ip + "\",\"zone\":\"z" + zone
                + "\",\"zones\":{\"z0\":\"r\",\"z1\":\"r\",\"z2\":\"r\"},\"listeners\":{\"controlPlane\":\"" + ip + ":"
                + CONTROL
                + "\",\"http\":\"" + ip + ":" + (PORT + 5) + "\",\"readiness\":\"" + ip + ":" + (PORT + 6)
                + "\"},\"internalPortRange\":[" + PORT + "," + (PORT + 3) + "],\"seedNodes\":[" + seeds
                + "],\"bootstrap\":true,"
                + (disk ? "\"dataPath\":\"" + folder.resolve(name).toAbsolutePath() + "\"," : "")
                + "\"heartbeatMs\":" + BEAT_MS + ",\"faultTolerance\":{\"machines\":1}}";
    }

    private Process launch(String role, String ip, String name, int zone, boolean disk, String heap)
            throws IOException {
        Files.createDirectories(folder.resolve(name));
        Path file = folder.resolve(name + ".json");
        Files.writeString(file, settings(ip, name, zone, disk));
        ProcessBuilder builder = new ProcessBuilder(
                ProcessHandle.current().info().command().orElse("java"),
                "-Xms24m",
                heap,
                "-Xss256k",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-Dio.netty.allocator.type=unpooled",
                "-Dio.netty.noPreferDirect=true",
                "-cp",
                System.getProperty("java.class.path"),
                Main.class.getName(),
                role);
        builder.environment().put("UMBERMOUNT_CONFIG", file.toString());
        builder.redirectErrorStream(true)
                .redirectOutput(folder.resolve(name + ".log").toFile());
        Process process = builder.start();
        processes.add(process);
        return process;
    }

    private String configuration(long revision) {
        StringBuilder out = new StringBuilder("{\"revision\":").append(revision).append(",\"routeTable\":[");
        for (int i = 0; i < routes; i++) {
            out.append(i == 0 ? "" : ",")
                    .append("{\"label\":\"r")
                    .append(i)
                    .append("\",\"virtualHost\":\"h")
                    .append(i / 20)
                    .append(".example\",\"pathPrefix\":\"/p")
                    .append(i)
                    .append("/\",\"routeType\":\"safe\",\"timeoutMs\":")
                    .append(i == 0 ? 5_000 + revision % 1_000 : 5_000)
                    .append(",\"targetLatencyMs\":800,\"priority\":1,\"upstream\":\"s")
                    .append(i % services())
                    .append("\",\"maxTries\":2}");
        }
        out.append("],\"upstreams\":[");
        for (int i = 0; i < services(); i++) {
            out.append(i == 0 ? "" : ",")
                    .append("{\"label\":\"s")
                    .append(i)
                    .append("\",\"healthCheck\":\"/health\",\"maxConnections\":150,\"protocol\":\"h1\",\"tls\":false}");
        }
        return out.append("]}").toString();
    }

    private int services() {
        return Math.max(1, servers / 47);
    }

    private int call(String method, String at, String path, String body, long match)
            throws IOException, InterruptedException {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + at + ":" + CONTROL + path))
                .timeout(PATIENCE)
                .header("If-Match", Long.toString(match))
                .header("Content-Type", "application/json")
                .method(method, HttpRequest.BodyPublishers.ofString(body))
                .build();
        return client.send(request, HttpResponse.BodyHandlers.discarding()).statusCode();
    }

    private void change(long match, long revision) throws InterruptedException {
        arrived.put(revision, new AtomicInteger());
        String text = configuration(revision);
        long began = System.nanoTime();
        for (int tries = 0; tries < 40; tries++) {
            try {
                if (call("PUT", controller((int) (revision + tries) % controllers), "/config", text, match) == 200) {
                    acknowledged.put(revision, System.nanoTime());
                    answerMs.add((System.nanoTime() - began) / 1e6);
                    return;
                }
            } catch (IOException e) {
                // Another controller is asked.
            }
            Thread.sleep(250);
        }
        throw new IllegalStateException("Revision " + revision + " was not taken.");
    }

    private void beat(int server, long sequence) {
        String zone = "z" + server % ZONES;
        String body = "{\"upstream\":\"s" + server % services() + "\",\"address\":\"" + ip(110, server + 1)
                + ":8080\",\"zone\":\"" + zone
                + "\",\"revision\":\"v1\",\"capacity\":6,\"status\":\"in_service\",\"warmupLeftMs\":0,"
                + "\"sequence\":" + sequence + "}";
        int at = server % ZONES % controllers;
        HttpRequest request = HttpRequest.newBuilder(
                        URI.create("http://" + controller(at) + ":" + CONTROL + "/instances/i-" + server))
                .timeout(PATIENCE)
                .PUT(HttpRequest.BodyPublishers.ofString(body))
                .build();
        client.sendAsync(request, HttpResponse.BodyHandlers.discarding()).whenComplete((answer, failed) -> {
            (failed == null && answer.statusCode() == 200 ? beats : beatsFailed).incrementAndGet();
        });
    }

    private void inForce(HollowProxy proxy, long edition) {
        AtomicInteger n = arrived.get(edition);
        if (n != null && n.incrementAndGet() == proxies) {
            everywhere.put(edition, System.nanoTime());
        }
    }

    private static double cpuSeconds(Process process) {
        return process.info().totalCpuDuration().orElse(Duration.ZERO).toNanos() / 1e9;
    }

    private static double residentMb(Process process) throws IOException {
        for (String line : Files.readAllLines(Path.of("/proc/" + process.pid() + "/status"))) {
            if (line.startsWith("VmRSS:")) {
                return Double.parseDouble(line.replaceAll("\\D", "")) / 1_024;
            }
        }
        return 0;
    }

    private Map<String, Double> meters(String ip) throws IOException, InterruptedException {
        Map<String, Double> out = new TreeMap<>();
        String page = client.send(
                        HttpRequest.newBuilder(URI.create("http://" + ip + ":" + CONTROL + "/metrics"))
                                .timeout(PATIENCE)
                                .build(),
                        HttpResponse.BodyHandlers.ofString())
                .body();
        for (String line : page.split("\n")) {
            int space = line.indexOf(' ');
            if (space > 0) {
                out.put(line.substring(0, space), Double.parseDouble(line.substring(space + 1)));
            }
        }
        return out;
    }

    /** Builds the fleet, lets it settle, and measures for the given time. */
    Figures measure() throws Exception {
        ScheduledExecutorService pacer = Executors.newScheduledThreadPool(1);
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
        try {
            List<Process> control = new ArrayList<>();
            for (int i = 0; i < controllers; i++) {
                control.add(launch("controller", controller(i), "controller-" + i, i % ZONES, true, "-Xmx256m"));
            }
            List<Process> real = new ArrayList<>();
            for (int i = 0; i < REAL_PROXIES; i++) {
                real.add(launch("proxy", ip(101, i + 1), "proxy-" + i, i % ZONES, false, "-Xmx128m"));
            }
            for (int i = 0; i < proxies; i++) {
                HollowProxy one = new HollowProxy(
                        Settings.parse(settings(ip(102, i + 1), "hollow-" + i, i % ZONES, false)
                                .getBytes(java.nio.charset.StandardCharsets.UTF_8)),
                        group.next());
                one.start(this::inForce);
                hollow.add(one);
            }
            Thread.sleep(5_000);
            change(0, 1);
            long[] sequence = new long[1];
            int slices = 30;
            pacer.scheduleAtFixedRate(
                    () -> {
                        long turn = sequence[0]++;
                        for (int s = (int) (turn % slices); s < servers; s += slices) {
                            beat(s, turn / slices + 1);
                        }
                    },
                    0,
                    BEAT_MS / slices,
                    TimeUnit.MILLISECONDS);
            Thread.sleep(9_000);
            return window(control, real);
        } finally {
            pacer.shutdownNow();
            processes.forEach(Process::destroyForcibly);
            for (Process p : processes) {
                p.waitFor(5, TimeUnit.SECONDS);
            }
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly(3_000);
        }
    }

    /** What the daemons had used and sent when the measured time began. */
    private record Baseline(
            double[] controllerCpu,
            double[] proxyCpu,
            double bytesIn,
            double bytesOut,
            List<Map<String, Double>> meters,
            long beats) {}

    private Baseline baseline(List<Process> control, List<Process> real) throws IOException, InterruptedException {
        double[] controllerCpu =
                control.stream().mapToDouble(ScaleRun::cpuSeconds).toArray();
        double[] proxyCpu = real.stream().mapToDouble(ScaleRun::cpuSeconds).toArray();
        double in = hollow.stream().mapToDouble(HollowProxy::bytesIn).sum();
        double out = hollow.stream().mapToDouble(HollowProxy::bytesOut).sum();
        List<Map<String, Double>> meters = new ArrayList<>();
        for (int i = 0; i < controllers; i++) {
            meters.add(meters(controller(i)));
        }
        return new Baseline(controllerCpu, proxyCpu, in, out, meters, beats.get());
    }

    private Figures window(List<Process> control, List<Process> real) throws Exception {
        Baseline before = baseline(control, real);
        answerMs.clear();
        long begin = System.nanoTime();
        long revision = 1;
        while (System.nanoTime() - begin < TimeUnit.SECONDS.toNanos(seconds)) {
            change(revision, revision + 1);
            revision++;
            Thread.sleep(CHANGE_MS);
        }
        double tookSeconds = (System.nanoTime() - begin) / 1e9;
        Map<String, Double> figures = new LinkedHashMap<>();
        figures.put("proxies", (double) proxies);
        figures.put("servers", (double) servers);
        figures.put("routes", (double) routes);
        figures.put("controllers", (double) controllers);
        addControllers(figures, control, before, tookSeconds);
        addProxies(figures, real, before, tookSeconds);
        figures.put("beats /s", (beats.get() - before.beats()) / tookSeconds);
        figures.put("beats failed", (double) beatsFailed.get());
        figures.put("changes /s", (revision - 1) / tookSeconds);
        Thread.sleep(1_500);
        addDelays(figures);
        return new Figures(figures);
    }

    private void addControllers(Map<String, Double> figures, List<Process> control, Baseline before, double tookSeconds)
            throws IOException, InterruptedException {
        double[] cpu = new double[controllers];
        double[] memory = new double[controllers];
        Map<String, Double> messageRates = new TreeMap<>();
        for (int i = 0; i < controllers; i++) {
            cpu[i] = (cpuSeconds(control.get(i)) - before.controllerCpu()[i]) / tookSeconds;
            memory[i] = residentMb(control.get(i));
            for (Map.Entry<String, Double> e : meters(controller(i)).entrySet()) {
                if (e.getKey().startsWith(MESSAGE_METERS)) {
                    double earlier = before.meters().get(i).getOrDefault(e.getKey(), 0.0);
                    messageRates.merge(
                            e.getKey().substring(MESSAGE_METERS.length()),
                            (e.getValue() - earlier) / tookSeconds,
                            Double::sum);
                }
            }
        }
        figures.put("controller cores, mean", Arrays.stream(cpu).average().orElse(0));
        figures.put("controller cores, most", Arrays.stream(cpu).max().orElse(0));
        figures.put("controller MB, most", Arrays.stream(memory).max().orElse(0));
        messageRates.forEach((name, rate) -> {
            if (rate >= 1) {
                figures.put("controllers together, " + name.replace('_', ' ') + " /s", rate);
            }
        });
    }

    private void addProxies(Map<String, Double> figures, List<Process> real, Baseline before, double tookSeconds)
            throws IOException {
        double mostCpu = 0;
        double mostMemory = 0;
        for (int i = 0; i < real.size(); i++) {
            mostCpu = Math.max(mostCpu, (cpuSeconds(real.get(i)) - before.proxyCpu()[i]) / tookSeconds);
            mostMemory = Math.max(mostMemory, residentMb(real.get(i)));
        }
        figures.put("proxy cores, most", mostCpu);
        figures.put("proxy MB, most", mostMemory);
        double bytesIn = hollow.stream().mapToDouble(HollowProxy::bytesIn).sum() - before.bytesIn();
        double bytesOut = hollow.stream().mapToDouble(HollowProxy::bytesOut).sum() - before.bytesOut();
        figures.put("proxy bytes in /s, mean", bytesIn / tookSeconds / proxies);
        figures.put("proxy bytes out /s, mean", bytesOut / tookSeconds / proxies);
    }

    private void addDelays(Map<String, Double> figures) {
        List<Double> delays = new ArrayList<>();
        for (Map.Entry<Long, Long> e : acknowledged.entrySet()) {
            if (e.getKey() > 1 && everywhere.containsKey(e.getKey())) {
                delays.add((everywhere.get(e.getKey()) - e.getValue()) / 1e6);
            }
        }
        figures.put("changes seen at every proxy", (double) delays.size());
        putSpread(figures, "ms from call to answer", answerMs);
        putSpread(figures, "ms from answer to last proxy", delays);
    }

    private static void putSpread(Map<String, Double> figures, String name, List<Double> values) {
        values.sort(null);
        figures.put(name + ", median", values.isEmpty() ? Double.NaN : values.get(values.size() / 2));
        figures.put(name + ", most", values.isEmpty() ? Double.NaN : values.get(values.size() - 1));
    }
}
