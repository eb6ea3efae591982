package org.umbermount.proxy;

import io.netty.channel.ChannelException;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.SocketChannelConfig;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.util.ArrayDeque;
import java.util.Iterator;
import jdk.net.ExtendedSocketOptions;
import org.umbermount.distribution.Tables;
import org.umbermount.kernel.Clock;
import org.umbermount.kernel.Metrics;
import org.umbermount.kernel.MonotonicTime;
import org.umbermount.kernel.Safeguard;

/** One life of a server: its connections, and what its answers have shown of it. */
final class UpstreamServer {
    static final int CONNECT_MS = 350;
    private static final int HEADER_BYTES = 32_768;
    private static final long IDLE_MS = 8_000;
    /** Requests that cannot be sent again use no connection that has rested longer. */
    private static final long RESTED_MS = 250;

    private static final long DOWN_FIRST_MS = 400;
    private static final long DOWN_LONGEST_MS = 4_000;
    private static final double OTHERS_FADE_MS = 500;
    private static final double UNKNOWN_LOAD = 0.75;
    private static final double FAILURE_MEMORY = 0.85;
    private static final double SUSPECT = 0.25;
    private static final double FAILURE_WEIGHT = 8;
    private static final double FAILURE_FREE = 0.16;
    private static final ChannelOption<Integer> KEEP_ALIVE_IDLE_S =
            NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE);
    private static final ChannelOption<Integer> KEEP_ALIVE_INTERVAL_S =
            NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL);
    private static final ChannelOption<Integer> KEEP_ALIVE_COUNT =
            NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT);

    private final ProxyListener desk;
    private final Clock clock;
    private final Metrics metrics;
    private final ArrayDeque<ServerConnection> idle = new ArrayDeque<>();
    UpstreamService upstreamService;
    Tables.Instance instance;
    /** Stands for the id in what proxies tell of their requests. */
    final int code;
    /** Whether it stands in this daemon's zone. */
    final boolean local;

    boolean listed = true;
    int inFlight;
    int connections;
    private double latencyMs;
    private boolean measured;
    private MonotonicTime latencyAt;
    private double othersLoad;
    private double othersAverage;
    private MonotonicTime othersAt;
    private final MonotonicTime warmAt;
    private MonotonicTime downUntil = MonotonicTime.NEVER;
    private long downMs;
    private MonotonicTime lastAnswer = MonotonicTime.NEVER;
    private MonotonicTime busySince = MonotonicTime.NEVER;
    private boolean misdirected;
    private double failures;

    UpstreamServer(ProxyListener desk, UpstreamService upstreamService, Tables.Instance instance, boolean local) {
        this.local = local;
        this.desk = desk;
        this.clock = desk.clock();
        this.metrics = desk.metrics();
        this.upstreamService = upstreamService;
        this.instance = instance;
        this.warmAt = clock.now().plus(desk.hasTable() ? instance.warmMs() : 0);
        this.code = instance.id().value().hashCode();
        this.latencyAt = clock.now();
        this.othersAt = latencyAt;
    }

    void update(Tables.Instance fresh) {
        instance = fresh;
        if (fresh.draining()) {
            closeIdle();
        }
    }

    /** The server has left the table. */
    void retire() {
        listed = false;
        closeIdle();
    }

    boolean usable(MonotonicTime now) {
        return listed && !instance.draining() && !misdirected && !now.isBefore(downUntil);
    }

    /** Requests believed to be at the server: those of this daemon, and those that others sent. */
    double load(MonotonicTime now) {
        Occupancy zone = desk.occupancy();
        if (zone != null && zone.fresh(now) && !zone.heard().isBefore(othersAt)) {
            return inFlight + zone.others(code);
        }
        double fade = Math.exp(-now.since(othersAt) / OTHERS_FADE_MS);
        // What is not known of a server elsewhere is taken to be much like what is known of those here: one that nobody
        // here
        // has asked lately is not idle for that.
        double usual = local
                ? othersAverage
                : Math.max(othersAverage, UNKNOWN_LOAD * upstreamService.localRatio(now) * instance.capacity());
        return inFlight + othersLoad * fade + usual * (1 - fade);
    }

    boolean hasRoom(MonotonicTime now, double extra) {
        return load(now) + 1 <= instance.capacity() + extra && (!idle.isEmpty() || connections < connectionCap());
    }

    private int connectionCap() {
        return Math.max(2, (int) (upstreamService.maxConnections * 0.85 / Math.max(1, desk.fleet())));
    }

    /** The time an answer is expected to take if the request is sent now. */
    double expectedMs(MonotonicTime now) {
        double age = now.since(latencyAt);
        double weight = measured ? Math.exp(-age / 6_000) : 0;
        double service = latencyMs * weight + upstreamService.typicalMs * (1 - weight);
        if (now.isBefore(warmAt)) {
            service = Math.max(service, upstreamService.typicalMs * 1.8);
        }
        double load = load(now) + 1;
        double cap = instance.capacity();
        double queue = load > cap ? (load - cap) / cap : 0;
        double crowd = load > 0.8 * cap ? 0.4 : 0.1 * load / cap;
        double expected = service * (1 + queue + crowd) * (1 + FAILURE_WEIGHT * Math.max(0, failures - FAILURE_FREE));
        // Nothing has come back for long although something is owed: the server may be dead or hung.
        if (inFlight > 0) {
            double silence = now.since(lastAnswer.isBefore(busySince) ? busySince : lastAnswer);
            if (silence > 3 * service + 100) {
                expected += silence;
            }
        }
        return expected;
    }

    void begin(MonotonicTime now) {
        if (inFlight++ == 0) {
            busySince = now;
            if (desk.occupancy() != null) {
                desk.occupancy().began(this);
            }
        }
    }

    /** A request is no longer at the server. */
    void end() {
        if (--inFlight == 0 && desk.occupancy() != null) {
            desk.occupancy().ended(this);
        }
        desk.slotFreed(upstreamService);
    }

    void answered(MonotonicTime now, double ms, boolean good) {
        lastAnswer = now;
        downMs = 0;
        if (good) {
            latencyMs = measured ? latencyMs * 0.8 + ms * 0.2 : ms;
            measured = true;
            latencyAt = now;
            upstreamService.sample(ms);
        }
    }

    /** Reads {@code running,waiting,slots} as the server saw it when it answered. */
    void reportedLoad(MonotonicTime now, String text) {
        String[] parts = text.split(",");
        if (parts.length < 2) {
            return;
        }
        try {
            double total = Integer.parseInt(parts[0].trim()) + Integer.parseInt(parts[1].trim());
            othersLoad = Math.max(0, total - inFlight);
            othersAverage = othersAverage * 0.9 + othersLoad * 0.1;
            othersAt = now;
        } catch (NumberFormatException e) {
            metrics.count("servers.load.unreadable");
        }
    }

    /** Whether lately so many of its answers were failures that the server itself is the likely cause. */
    boolean suspect() {
        return failures > SUSPECT;
    }

    /** Takes note of whether a run came to a good answer. */
    void ran(boolean well) {
        failures = failures * FAILURE_MEMORY + (well ? 0 : 1 - FAILURE_MEMORY);
    }

    void full(MonotonicTime now) {
        othersLoad = Math.max(othersLoad, instance.capacity() + 1 - inFlight);
        othersAt = now;
    }

    /** The server could not be reached. */
    void unreachable(MonotonicTime now) {
        downMs = downMs == 0 ? DOWN_FIRST_MS : Math.min(DOWN_LONGEST_MS, downMs * 2);
        downUntil = now.plus(downMs);
        metrics.count("servers.unreachable");
        closeIdle();
    }

    /** Another server answers at the address. */
    void misdirected() {
        misdirected = true;
        metrics.count("servers.misdirected");
        closeIdle();
    }

    /** Sends over an idle connection, or over a new one. */
    void carry(Attempt attempt) {
        MonotonicTime now = clock.now();
        begin(now);
        while (!idle.isEmpty()) {
            ServerConnection serverConnection = idle.pollLast();
            if (!attempt.requestExchange.isSafe()
                    && now.since(serverConnection.restingSince) > RESTED_MS
                    && Safeguard.CONNECTION_RESTED_TOO_LONG.holds()) {
                // A server may have forgotten it without a word, and what it resets then cannot be sent again.
                idle.addLast(serverConnection);
                break;
            }
            if (serverConnection.isOpen()) {
                if (serverConnection.isClean()) {
                    serverConnection.send(attempt);
                    return;
                }
                metrics.count("servers.stray.bytes");
                serverConnection.close();
            }
        }
        connections++;
        metrics.count("servers.connections.opened");
        AnswerDecoder decoder = new AnswerDecoder(new HttpDecoderConfig()
                .setMaxHeaderSize(HEADER_BYTES)
                .setMaxInitialLineLength(4096)
                .setInitialBufferSize(256));
        ServerConnection serverConnection = new ServerConnection(this, decoder);
        ChannelFuture connected;
        try {
            connected = connect(decoder, serverConnection);
        } catch (ChannelException e) {
            notConnected(attempt);
            return;
        }
        connected.addListener(new ChannelFutureListener() {
            @Override
            public void operationComplete(ChannelFuture future) {
                if (future.isSuccess()) {
                    serverConnection.send(attempt);
                } else {
                    notConnected(attempt);
                }
            }
        });
    }

    /**
     * Opens a connection. The channel is set up by hand: most requests of a proxy in a large fleet use a new connection, and
     * Netty's bootstrap would go through maps of options and a name resolver for each.
     */
    private ChannelFuture connect(AnswerDecoder decoder, ServerConnection serverConnection) {
        NioSocketChannel channel = new NioSocketChannel();
        SocketChannelConfig config = channel.config();
        config.setConnectTimeoutMillis(CONNECT_MS).setTcpNoDelay(true).setKeepAlive(true);
        config.setOption(KEEP_ALIVE_IDLE_S, 2);
        config.setOption(KEEP_ALIVE_INTERVAL_S, 1);
        config.setOption(KEEP_ALIVE_COUNT, 2);
        channel.pipeline().addLast(decoder).addLast(new HttpRequestEncoder()).addLast(serverConnection);
        ChannelFuture registered = desk.loop().register(channel);
        if (registered.isDone() && !registered.isSuccess()) {
            return registered;
        }
        return channel.connect(instance.address().socketAddress());
    }

    private void notConnected(Attempt attempt) {
        connections--;
        unreachable(clock.now());
        end();
        attempt.notSent();
    }

    void rest(ServerConnection serverConnection) {
        if (usable(clock.now()) && !desk.closing()) {
            serverConnection.restingSince = clock.now();
            idle.addLast(serverConnection);
        } else {
            serverConnection.close();
        }
    }

    /** Nothing was sent over it after all. It has rested since it last carried an answer, not since now. */
    void putBack(ServerConnection serverConnection) {
        if (!serverConnection.reused()) {
            rest(serverConnection);
        } else if (usable(clock.now()) && !desk.closing()) {
            idle.addFirst(serverConnection);
        } else {
            serverConnection.close();
        }
    }

    void lost(ServerConnection serverConnection) {
        connections--;
        idle.remove(serverConnection);
    }

    /** Closes connections before the server does. */
    void sweep(MonotonicTime now) {
        Iterator<ServerConnection> it = idle.iterator();
        while (it.hasNext()) {
            ServerConnection serverConnection = it.next();
            if (now.since(serverConnection.restingSince) > Math.min(IDLE_MS, serverConnection.keepAliveMs)) {
                it.remove();
                serverConnection.close();
            }
        }
    }

    private void closeIdle() {
        while (!idle.isEmpty()) {
            idle.poll().close();
        }
    }

    ProxyListener desk() {
        return desk;
    }
}
