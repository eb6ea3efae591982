package org.umbermount.proxy;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseEncoder;
import java.nio.channels.ServerSocketChannel;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.umbermount.control.Configuration;
import org.umbermount.distribution.RoutingTable;
import org.umbermount.distribution.Tables;
import org.umbermount.idempotency.OperationClient;
import org.umbermount.kernel.Clock;
import org.umbermount.kernel.DaemonAddress;
import org.umbermount.kernel.ErrorKind;
import org.umbermount.kernel.MessagePackCodec;
import org.umbermount.kernel.Metrics;
import org.umbermount.kernel.MonotonicTime;
import org.umbermount.kernel.Settings;
import org.umbermount.kernel.net.ConnectionAcceptor;
import org.umbermount.quota.QuotaClient;

/** Where clients arrive: takes their requests to the routes of the table in force and the servers behind them. */
final class ProxyListener {
    private static final Logger LOG = LoggerFactory.getLogger("proxy");
    private static final long SWEEP_MS = 1_000;
    private static final long WAITING_LOOK_MS = 25;
    private static final long DOUBTFUL_MS = 700;

    private final EventLoop loop;
    private final Clock clock;
    private final Metrics metrics;
    private final Settings.Bounds bounds;
    private final Random random;
    private final String zone;
    private final LoadBalancer loadBalancer;
    private final MonotonicTime started;
    private final Map<String, UpstreamService> wings = new HashMap<>();
    private final Map<String, UpstreamServer> repositories = new HashMap<>();
    private final Set<ClientConnection> readers = new LinkedHashSet<>();
    private final Set<UpstreamService> freed = new HashSet<>();
    private RouteIndex routeIndex = RouteIndex.EMPTY;
    private RoutingTable table = RoutingTable.EMPTY;
    private int fleet = 1;
    private boolean closing;
    private boolean looking;
    private Channel listener;
    private Occupancy occupancy;
    private OperationClient loans;
    private QuotaClient quotas;
    private LongSupplier goodForMs = () -> Long.MAX_VALUE;

    ProxyListener(EventLoop loop, Clock clock, Metrics metrics, Settings.Bounds bounds, String zone, Random random) {
        this.loop = loop;
        this.clock = clock;
        this.metrics = metrics;
        this.bounds = bounds;
        this.random = random;
        this.zone = zone;
        this.loadBalancer = new LoadBalancer(clock, random);
        this.started = clock.now();
        clock.every(SWEEP_MS, this::sweep);
    }

    /** Listens at an address. */
    ChannelFuture bind(DaemonAddress http) {
        ChannelFuture bound = new Acceptor().bind(http.socketAddress());
        listener = bound.channel();
        return bound;
    }

    /** Goes on with a socket that has been listening since early in the start. */
    ChannelFuture adopt(ServerSocketChannel listening) {
        ChannelFuture registered = new Acceptor().adopt(listening);
        listener = registered.channel();
        return registered;
    }

    /** Sets up the connections of clients. */
    private final class Acceptor extends ConnectionAcceptor {
        Acceptor() {
            super(loop);
        }

        @Override
        protected void initialize(ChannelPipeline pipeline) {
            ClientConnection reader = new ClientConnection(ProxyListener.this, limits().maxHeaderBytes());
            pipeline.addLast(new ArrivalObserver(reader))
                    .addLast(new StrictRequestDecoder(limits().maxHeaderBytes()))
                    .addLast(new HttpResponseEncoder())
                    .addLast(reader);
        }
    }

    /** Tells a connection's reader that bytes have come, before they are decoded. */
    private static final class ArrivalObserver extends ChannelInboundHandlerAdapter {
        private final ClientConnection reader;

        ArrivalObserver(ClientConnection reader) {
            this.reader = reader;
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object msg) {
            reader.bytesRead();
            ctx.fireChannelRead(msg);
        }
    }

    // ---- the table ----

    /** Takes a table into force. */
    void apply(RoutingTable next) {
        RoutingTable.Difference d = next.since(table);
        boolean routes = table.isEmpty();
        for (String key : d.gone()) {
            routes |= isConfiguration(key);
        }
        for (String key : d.come().keySet()) {
            routes |= isConfiguration(key);
        }
        try {
            if (routes) {
                applyConfiguration(next);
            }
            for (String key : d.gone()) {
                if (key.startsWith(RoutingTable.INSTANCE)) {
                    remove(key);
                }
            }
            for (Map.Entry<String, byte[]> e : d.come().entrySet()) {
                if (e.getKey().startsWith(RoutingTable.INSTANCE)) {
                    place(e.getKey(), Tables.readInstance(e.getValue()));
                } else if (e.getKey().equals(RoutingTable.FLEET)) {
                    fleet = Math.max(1, Tables.readFleet(e.getValue()));
                }
            }
            table = next;
        } catch (MessagePackCodec.UnreadableException e) {
            LOG.error("A table could not be read: {}.", e.getMessage());
        }
        for (UpstreamService upstreamService : wings.values()) {
            upstreamService.serveWaiting();
        }
    }

    private static boolean isConfiguration(String key) {
        return key.equals(RoutingTable.CONFIGURATION)
                || key.startsWith(RoutingTable.ROUTE)
                || key.startsWith(RoutingTable.UPSTREAM)
                || key.startsWith(RoutingTable.TENANT);
    }

    private void applyConfiguration(RoutingTable next) throws MessagePackCodec.UnreadableException {
        for (Map.Entry<String, byte[]> e : next.entries().entrySet()) {
            if (e.getKey().startsWith(RoutingTable.UPSTREAM)) {
                Configuration.Upstream upstream = Tables.readUpstream(e.getValue());
                upstreamService(upstream.label()).configure(upstream);
            }
        }
        routeIndex = RouteIndex.of(next);
    }

    private UpstreamService upstreamService(String label) {
        return wings.computeIfAbsent(
                label,
                l -> new UpstreamService(
                        l, new RetryBudget(bounds.retryRatio(), bounds.retryBurst(), bounds.retryWindowMs(), started)));
    }

    private void place(String key, Tables.Instance instance) {
        UpstreamServer known = repositories.get(key);
        if (known != null) {
            known.update(instance);
            return;
        }
        UpstreamService upstreamService = upstreamService(instance.upstream());
        UpstreamServer fresh = new UpstreamServer(
                this, upstreamService, instance, instance.zone().equals(zone));
        repositories.put(key, fresh);
        upstreamService.repositories.add(fresh);
        (fresh.local ? upstreamService.local : upstreamService.elsewhere).add(fresh);
    }

    private void remove(String key) {
        UpstreamServer old = repositories.remove(key);
        if (old != null) {
            old.retire();
            old.upstreamService.repositories.remove(old);
            (old.local ? old.upstreamService.local : old.upstreamService.elsewhere).remove(old);
        }
    }

    RoutingTable table() {
        return table;
    }

    /** The limits in force now, for connections that were there before too. */
    Configuration.Limits limits() {
        return routeIndex.limits();
    }

    boolean hasTable() {
        return !table.isEmpty();
    }

    // ---- requests ----

    RequestExchange receive(ClientConnection reader, HttpRequest request, long deadlineMs) {
        metrics.count("requests.received");
        if (!hasTable()) {
            return new RequestExchange(this, reader, request, ErrorKind.NOT_READY);
        }
        Configuration.Route route = route(request);
        if (route == null) {
            return refused(reader, request, doubtful() ? ErrorKind.TABLE_STALE : ErrorKind.NO_ROUTE);
        }
        String key = null;
        Configuration.Tenant tenant = null;
        if (routeIndex.keyed() && !route.anonymous()) {
            key = HeaderNames.token(request.headers());
            ErrorKind why = whyNot(key);
            if (why != null) {
                return refused(reader, request, why);
            }
            tenant = routeIndex.tenant(key);
        }
        if (route.idempotent() && loans != null) {
            String operation = request.headers().get(HeaderNames.OPERATION_KEY);
            if (operation == null || operation.isBlank()) {
                return refused(reader, request, ErrorKind.KEY_MISSING);
            }
        }
        return new RequestExchange(
                this,
                reader,
                request,
                route,
                upstreamService(draw(route)),
                Math.min(deadlineMs, route.timeoutMs()),
                tenant,
                key);
    }

    /** The route of a request in the table in force, or null. */
    Configuration.Route route(HttpRequest request) {
        return routeIndex.route(request.headers().get(HttpHeaderNames.HOST), request.uri());
    }

    private RequestExchange refused(ClientConnection reader, HttpRequest request, ErrorKind why) {
        metrics.count("requests.refused." + why.name().toLowerCase(Locale.ROOT));
        return new RequestExchange(this, reader, request, why);
    }

    /** Why a request with this key may not be sent to a server now; null if it may. */
    ErrorKind whyNot(String key) {
        long good = goodForMs.getAsLong();
        if (good <= 0) {
            return ErrorKind.TABLE_STALE;
        }
        if (routeIndex.tenant(key) == null) {
            return key != null && doubtful() ? ErrorKind.TABLE_STALE : ErrorKind.NOT_A_READER;
        }
        return null;
    }

    /** The same for a request that was taken in for a tenant: a key that has moved on is looked up anew by another try. */
    ErrorKind whyNot(String key, String tenant) {
        ErrorKind why = whyNot(key);
        return why == null && !routeIndex.tenant(key).label().equals(tenant) ? ErrorKind.TABLE_STALE : why;
    }

    /** Whether the table may well be behind: what it does not know may still be there. */
    private boolean doubtful() {
        return goodForMs.getAsLong() < DOUBTFUL_MS;
    }

    /** Whether requests carry keys that are for this system alone. */
    boolean keyed() {
        return routeIndex.keyed();
    }

    OperationClient loans() {
        return loans;
    }

    QuotaClient quotas() {
        return quotas;
    }

    /** Sets what is shared with other daemons: operation records and quotas where they are kept, and how long the table counts. */
    void share(OperationClient operations, QuotaClient counts, LongSupplier tableGoodForMs) {
        loans = operations;
        quotas = counts;
        goodForMs = tableGoodForMs;
    }

    /** Sets who tells what the other proxies have at the servers. */
    void watch(Occupancy zone) {
        occupancy = zone;
    }

    /** What the other proxies have at the servers, or null where nobody tells. */
    Occupancy occupancy() {
        return occupancy;
    }

    private String draw(Configuration.Route route) {
        List<Configuration.Share> shares = route.shares();
        if (shares.size() == 1) {
            return shares.get(0).upstream();
        }
        long sum = 0;
        for (Configuration.Share s : shares) {
            sum += s.weight();
        }
        long at = (long) (random.nextDouble() * sum);
        for (Configuration.Share s : shares) {
            at -= s.weight();
            if (at < 0) {
                return s.upstream();
            }
        }
        return shares.get(shares.size() - 1).upstream();
    }

    /** Seconds after which a refused client may come again. */
    String retryAfter(RequestExchange b) {
        // What is shared among the daemons is away for about a second when it is away: to ask again sooner helps
        // nobody.
        boolean shared = b.erratum() == ErrorKind.QUOTA_UNKNOWN
                || b.erratum() == ErrorKind.LOANS_UNAVAILABLE
                || b.erratum() == ErrorKind.TABLE_STALE
                || b.erratum() == ErrorKind.NOT_READY;
        double seconds = b.comeAgainMs() > 0
                ? b.comeAgainMs() / 1_000.0
                : shared
                        ? 0.5
                        : b.upstreamService() == null
                                ? 0.5
                                : Math.max(0.1, Math.min(1.0, b.upstreamService().typicalMs / 1000));
        long hundredths = Math.max(1, Math.round(seconds * (75 + 50 * random.nextDouble())));
        return hundredths / 100 + (hundredths % 100 < 10 ? ".0" : ".") + hundredths % 100;
    }

    /** Whether a request just taken in is turned away, because the service has more than it can answer in time. */
    boolean turnsAway(UpstreamService upstreamService, MonotonicTime now) {
        return upstreamService.pressure.turnsAway(ratio(upstreamService, now), random);
    }

    /** Whether a service has so much to do that nothing should be asked of it twice without need. */
    boolean busy(UpstreamService upstreamService, MonotonicTime now) {
        return upstreamService.pressure.busy(ratio(upstreamService, now));
    }

    private double ratio(UpstreamService upstreamService, MonotonicTime now) {
        return occupancy != null && occupancy.fresh(now) ? upstreamService.localRatio(now) : 0;
    }

    /** Tries that are kept for failures and not spent on slow answers. */
    double hedgeReserve(UpstreamService upstreamService, MonotonicTime now) {
        return Math.max(1, 0.4 * upstreamService.retryBudget.left(now, fleet));
    }

    /** A server has become free: those that wait are looked at once the current event is over. */
    void slotFreed(UpstreamService upstreamService) {
        if (upstreamService.waitingCount() > 0 && freed.add(upstreamService) && freed.size() == 1) {
            clock.execute(() -> {
                Set<UpstreamService> now = new HashSet<>(freed);
                freed.clear();
                now.forEach(UpstreamService::serveWaiting);
            });
        }
        lookAgain();
    }

    /** A request has begun to wait for a server. */
    void someoneWaits() {
        lookAgain();
    }

    /** While someone waits, servers that others have freed are noticed by looking. */
    private void lookAgain() {
        if (looking) {
            return;
        }
        for (UpstreamService upstreamService : wings.values()) {
            if (upstreamService.waitingCount() > 0) {
                looking = true;
                clock.after(WAITING_LOOK_MS, () -> {
                    looking = false;
                    wings.values().forEach(UpstreamService::serveWaiting);
                    lookAgain();
                });
                return;
            }
        }
    }

    // ---- connections ----

    void arrived(ClientConnection reader) {
        readers.add(reader);
    }

    void left(ClientConnection reader) {
        readers.remove(reader);
    }

    private void sweep() {
        MonotonicTime now = clock.now();
        for (ClientConnection reader : List.copyOf(readers)) {
            reader.sweep(now);
        }
        for (Iterator<UpstreamServer> it = repositories.values().iterator(); it.hasNext(); ) {
            it.next().sweep(now);
        }
        lookAgain();
    }

    /** How many requests are at servers now, or on their way to one. */
    int atServers() {
        int sum = 0;
        for (UpstreamServer r : repositories.values()) {
            sum += r.inFlight;
        }
        return sum;
    }

    int openConnections() {
        return readers.size();
    }

    /** From now on answers end their connections. */
    void beginClosing() {
        closing = true;
    }

    /** Takes no new connections, and ends those on which nothing is underway. */
    void stopListening() {
        listener.close();
        for (ClientConnection reader : List.copyOf(readers)) {
            reader.closeIfIdle();
        }
    }

    /** See {@link ClientConnection#unblock}. */
    void unblock(boolean last) {
        for (ClientConnection reader : List.copyOf(readers)) {
            reader.unblock(last);
        }
    }

    boolean anyBusy() {
        for (ClientConnection reader : readers) {
            if (reader.busy()) {
                return true;
            }
        }
        return false;
    }

    boolean closing() {
        return closing;
    }

    int fleet() {
        return fleet;
    }

    EventLoop loop() {
        return loop;
    }

    Clock clock() {
        return clock;
    }

    Metrics metrics() {
        return metrics;
    }

    LoadBalancer loadBalancer() {
        return loadBalancer;
    }
}
