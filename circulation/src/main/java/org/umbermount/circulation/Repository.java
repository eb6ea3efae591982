package org.umbermount.circulation;

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
import org.umbermount.courier.Tables;
import org.umbermount.kernel.Clock;
import org.umbermount.kernel.Moment;
import org.umbermount.kernel.Safeguard;
import org.umbermount.kernel.Tally;

/** One life of a server: its connections, and what its answers have shown of it. */
final class Repository {
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
    private static final ChannelOption<Integer> KEEP_ALIVE_IDLE_S = NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE);
    private static final ChannelOption<Integer> KEEP_ALIVE_INTERVAL_S =
            NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL);
    private static final ChannelOption<Integer> KEEP_ALIVE_COUNT = NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT);

    private final FrontDesk desk;
    private final Clock clock;
    private final Tally tally;
    private final ArrayDeque<Carrel> idle = new ArrayDeque<>();
    Wing wing;
    Tables.Instance instance;
    /** Stands for the id in what lectors tell of their requests. */
    final int code;
    /** Whether it stands in this daemon's zone. */
    final boolean local;
    boolean listed = true;
    int inFlight;
    int connections;
    private double latencyMs;
    private boolean measured;
    private Moment latencyAt;
    private double othersLoad;
    private double othersAverage;
    private Moment othersAt;
    private final Moment warmAt;
    private Moment downUntil = Moment.NEVER;
    private long downMs;
    private Moment lastAnswer = Moment.NEVER;
    private Moment busySince = Moment.NEVER;
    private boolean misdirected;
    private double failures;

    Repository(FrontDesk desk, Wing wing, Tables.Instance instance, boolean local) {
        this.local = local;
        this.desk = desk;
        this.clock = desk.clock();
        this.tally = desk.tally();
        this.wing = wing;
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

    boolean usable(Moment now) {
        return listed && !instance.draining() && !misdirected && !now.isBefore(downUntil);
    }

    /** Requests believed to be at the server: those of this daemon, and those that others sent. */
    double load(Moment now) {
        Occupancy zone = desk.occupancy();
        if (zone != null && zone.fresh(now) && !zone.heard().isBefore(othersAt)) {
            return inFlight + zone.others(code);
        }
        double fade = Math.exp(-now.since(othersAt) / OTHERS_FADE_MS);
        // What is not known of a server elsewhere is taken to be much like what is known of those here: one that nobody here
        // has asked lately is not idle for that.
        double usual = local ? othersAverage
                : Math.max(othersAverage, UNKNOWN_LOAD * wing.localRatio(now) * instance.capacity());
        return inFlight + othersLoad * fade + usual * (1 - fade);
    }

    boolean hasRoom(Moment now, double extra) {
        return load(now) + 1 <= instance.capacity() + extra && (!idle.isEmpty() || connections < connectionCap());
    }

    private int connectionCap() {
        return Math.max(2, (int) (wing.maxConnections * 0.85 / Math.max(1, desk.fleet())));
    }

    /** The time an answer is expected to take if the request is sent now. */
    double expectedMs(Moment now) {
        double age = now.since(latencyAt);
        double weight = measured ? Math.exp(-age / 6_000) : 0;
        double service = latencyMs * weight + wing.typicalMs * (1 - weight);
        if (now.isBefore(warmAt)) {
            service = Math.max(service, wing.typicalMs * 1.8);
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

    void begin(Moment now) {
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
        desk.slotFreed(wing);
    }

    void answered(Moment now, double ms, boolean good) {
        lastAnswer = now;
        downMs = 0;
        if (good) {
            latencyMs = measured ? latencyMs * 0.8 + ms * 0.2 : ms;
            measured = true;
            latencyAt = now;
            wing.sample(ms);
        }
    }

    /** Reads {@code running,waiting,slots} as the server saw it when it answered. */
    void reportedLoad(Moment now, String text) {
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
            tally.count("servers.load.unreadable");
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

    void full(Moment now) {
        othersLoad = Math.max(othersLoad, instance.capacity() + 1 - inFlight);
        othersAt = now;
    }

    /** The server could not be reached. */
    void unreachable(Moment now) {
        downMs = downMs == 0 ? DOWN_FIRST_MS : Math.min(DOWN_LONGEST_MS, downMs * 2);
        downUntil = now.plus(downMs);
        tally.count("servers.unreachable");
        closeIdle();
    }

    /** Another server answers at the address. */
    void misdirected() {
        misdirected = true;
        tally.count("servers.misdirected");
        closeIdle();
    }

    /** Sends over an idle connection, or over a new one. */
    void carry(Attempt attempt) {
        Moment now = clock.now();
        begin(now);
        while (!idle.isEmpty()) {
            Carrel carrel = idle.pollLast();
            if (!attempt.borrowing.isSafe() && now.since(carrel.restingSince) > RESTED_MS
                    && Safeguard.CONNECTION_RESTED_TOO_LONG.holds()) {
                // A server may have forgotten it without a word, and what it resets then cannot be sent again.
                idle.addLast(carrel);
                break;
            }
            if (carrel.isOpen()) {
                if (carrel.isClean()) {
                    carrel.send(attempt);
                    return;
                }
                tally.count("servers.stray.bytes");
                carrel.close();
            }
        }
        connections++;
        tally.count("servers.connections.opened");
        AnswerDecoder decoder = new AnswerDecoder(new HttpDecoderConfig().setMaxHeaderSize(HEADER_BYTES)
                .setMaxInitialLineLength(4096).setInitialBufferSize(256));
        Carrel carrel = new Carrel(this, decoder);
        ChannelFuture connected;
        try {
            connected = connect(decoder, carrel);
        } catch (ChannelException e) {
            notConnected(attempt);
            return;
        }
        connected.addListener(new ChannelFutureListener() {
            @Override
            public void operationComplete(ChannelFuture future) {
                if (future.isSuccess()) {
                    carrel.send(attempt);
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
    private ChannelFuture connect(AnswerDecoder decoder, Carrel carrel) {
        NioSocketChannel channel = new NioSocketChannel();
        SocketChannelConfig config = channel.config();
        config.setConnectTimeoutMillis(CONNECT_MS).setTcpNoDelay(true).setKeepAlive(true);
        config.setOption(KEEP_ALIVE_IDLE_S, 2);
        config.setOption(KEEP_ALIVE_INTERVAL_S, 1);
        config.setOption(KEEP_ALIVE_COUNT, 2);
        channel.pipeline().addLast(decoder).addLast(new HttpRequestEncoder()).addLast(carrel);
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

    void rest(Carrel carrel) {
        if (usable(clock.now()) && !desk.closing()) {
            carrel.restingSince = clock.now();
            idle.addLast(carrel);
        } else {
            carrel.close();
        }
    }

    /** Nothing was sent over it after all. It has rested since it last carried an answer, not since now. */
    void putBack(Carrel carrel) {
        if (!carrel.reused()) {
            rest(carrel);
        } else if (usable(clock.now()) && !desk.closing()) {
            idle.addFirst(carrel);
        } else {
            carrel.close();
        }
    }

    void lost(Carrel carrel) {
        connections--;
        idle.remove(carrel);
    }

    /** Closes connections before the server does. */
    void sweep(Moment now) {
        Iterator<Carrel> it = idle.iterator();
        while (it.hasNext()) {
            Carrel carrel = it.next();
            if (now.since(carrel.restingSince) > Math.min(IDLE_MS, carrel.keepAliveMs)) {
                it.remove();
                carrel.close();
            }
        }
    }

    private void closeIdle() {
        while (!idle.isEmpty()) {
            idle.poll().close();
        }
    }

    FrontDesk desk() {
        return desk;
    }
}
