package org.umbermount.circulation;

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
import org.umbermount.archive.Regulations;
import org.umbermount.courier.Inventory;
import org.umbermount.courier.Tables;
import org.umbermount.kernel.Clock;
import org.umbermount.kernel.Erratum;
import org.umbermount.kernel.HouseRules;
import org.umbermount.kernel.Imprint;
import org.umbermount.kernel.Moment;
import org.umbermount.kernel.Script;
import org.umbermount.kernel.Tally;
import org.umbermount.kernel.net.ConnectionAcceptor;
import org.umbermount.loans.LoanCounter;
import org.umbermount.readership.QuotaCounter;

/** Where clients arrive: takes their requests to the routes of the table in force and the servers behind them. */
final class FrontDesk {
    private static final Logger LOG = LoggerFactory.getLogger("circulation");
    private static final long SWEEP_MS = 1_000;
    private static final long WAITING_LOOK_MS = 25;
    private static final long DOUBTFUL_MS = 700;

    private final EventLoop loop;
    private final Clock clock;
    private final Tally tally;
    private final HouseRules.Bounds bounds;
    private final Random random;
    private final String zone;
    private final Concierge concierge;
    private final Moment started;
    private final Map<String, Wing> wings = new HashMap<>();
    private final Map<String, Repository> repositories = new HashMap<>();
    private final Set<Reader> readers = new LinkedHashSet<>();
    private final Set<Wing> freed = new HashSet<>();
    private Holdings holdings = Holdings.EMPTY;
    private Inventory table = Inventory.EMPTY;
    private int fleet = 1;
    private boolean closing;
    private boolean looking;
    private Channel listener;
    private Occupancy occupancy;
    private LoanCounter loans;
    private QuotaCounter quotas;
    private LongSupplier goodForMs = () -> Long.MAX_VALUE;

    FrontDesk(EventLoop loop, Clock clock, Tally tally, HouseRules.Bounds bounds, String zone, Random random) {
        this.loop = loop;
        this.clock = clock;
        this.tally = tally;
        this.bounds = bounds;
        this.random = random;
        this.zone = zone;
        this.concierge = new Concierge(clock, random);
        this.started = clock.now();
        clock.every(SWEEP_MS, this::sweep);
    }

    /** Listens at an address. */
    ChannelFuture bind(Imprint http) {
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
            Reader reader = new Reader(FrontDesk.this, limits().maxHeaderBytes());
            pipeline.addLast(new ArrivalObserver(reader)).addLast(new StrictRequestDecoder(limits().maxHeaderBytes()))
                    .addLast(new HttpResponseEncoder()).addLast(reader);
        }
    }

    /** Tells a connection's reader that bytes have come, before they are decoded. */
    private static final class ArrivalObserver extends ChannelInboundHandlerAdapter {
        private final Reader reader;

        ArrivalObserver(Reader reader) {
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
    void apply(Inventory next) {
        Inventory.Difference d = next.since(table);
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
                if (key.startsWith(Inventory.INSTANCE)) {
                    remove(key);
                }
            }
            for (Map.Entry<String, byte[]> e : d.come().entrySet()) {
                if (e.getKey().startsWith(Inventory.INSTANCE)) {
                    place(e.getKey(), Tables.readInstance(e.getValue()));
                } else if (e.getKey().equals(Inventory.FLEET)) {
                    fleet = Math.max(1, Tables.readFleet(e.getValue()));
                }
            }
            table = next;
        } catch (Script.UnreadableException e) {
            LOG.error("A table could not be read: {}.", e.getMessage());
        }
        for (Wing wing : wings.values()) {
            wing.serveWaiting();
        }
    }

    private static boolean isConfiguration(String key) {
        return key.equals(Inventory.CONFIGURATION) || key.startsWith(Inventory.ROUTE) || key.startsWith(Inventory.UPSTREAM)
                || key.startsWith(Inventory.TENANT);
    }

    private void applyConfiguration(Inventory next) throws Script.UnreadableException {
        for (Map.Entry<String, byte[]> e : next.entries().entrySet()) {
            if (e.getKey().startsWith(Inventory.UPSTREAM)) {
                Regulations.Upstream upstream = Tables.readUpstream(e.getValue());
                wing(upstream.label()).configure(upstream);
            }
        }
        holdings = Holdings.of(next);
    }

    private Wing wing(String label) {
        return wings.computeIfAbsent(label, l -> new Wing(l,
                new Allowance(bounds.retryRatio(), bounds.retryBurst(), bounds.retryWindowMs(), started)));
    }

    private void place(String key, Tables.Instance instance) {
        Repository known = repositories.get(key);
        if (known != null) {
            known.update(instance);
            return;
        }
        Wing wing = wing(instance.upstream());
        Repository fresh = new Repository(this, wing, instance, instance.zone().equals(zone));
        repositories.put(key, fresh);
        wing.repositories.add(fresh);
        (fresh.local ? wing.local : wing.elsewhere).add(fresh);
    }

    private void remove(String key) {
        Repository old = repositories.remove(key);
        if (old != null) {
            old.retire();
            old.wing.repositories.remove(old);
            (old.local ? old.wing.local : old.wing.elsewhere).remove(old);
        }
    }

    Inventory table() {
        return table;
    }

    /** The limits in force now, for connections that were there before too. */
    Regulations.Limits limits() {
        return holdings.limits();
    }

    boolean hasTable() {
        return !table.isEmpty();
    }

    // ---- requests ----

    Borrowing receive(Reader reader, HttpRequest request, long deadlineMs) {
        tally.count("requests.received");
        if (!hasTable()) {
            return new Borrowing(this, reader, request, Erratum.NOT_READY);
        }
        Regulations.Route route = route(request);
        if (route == null) {
            return refused(reader, request, doubtful() ? Erratum.TABLE_STALE : Erratum.NO_ROUTE);
        }
        String key = null;
        Regulations.Tenant tenant = null;
        if (holdings.keyed() && !route.anonymous()) {
            key = Headings.token(request.headers());
            Erratum why = whyNot(key);
            if (why != null) {
                return refused(reader, request, why);
            }
            tenant = holdings.tenant(key);
        }
        if (route.idempotent() && loans != null) {
            String operation = request.headers().get(Headings.OPERATION_KEY);
            if (operation == null || operation.isBlank()) {
                return refused(reader, request, Erratum.KEY_MISSING);
            }
        }
        return new Borrowing(this, reader, request, route, wing(draw(route)), Math.min(deadlineMs, route.timeoutMs()),
                tenant, key);
    }

    /** The route of a request in the table in force, or null. */
    Regulations.Route route(HttpRequest request) {
        return holdings.route(request.headers().get(HttpHeaderNames.HOST), request.uri());
    }

    private Borrowing refused(Reader reader, HttpRequest request, Erratum why) {
        tally.count("requests.refused." + why.name().toLowerCase(Locale.ROOT));
        return new Borrowing(this, reader, request, why);
    }

    /** Why a request with this key may not be sent to a server now; null if it may. */
    Erratum whyNot(String key) {
        long good = goodForMs.getAsLong();
        if (good <= 0) {
            return Erratum.TABLE_STALE;
        }
        if (holdings.tenant(key) == null) {
            return key != null && doubtful() ? Erratum.TABLE_STALE : Erratum.NOT_A_READER;
        }
        return null;
    }

    /** The same for a request that was taken in for a tenant: a key that has moved on is looked up anew by another try. */
    Erratum whyNot(String key, String tenant) {
        Erratum why = whyNot(key);
        return why == null && !holdings.tenant(key).label().equals(tenant) ? Erratum.TABLE_STALE : why;
    }

    /** Whether the table may well be behind: what it does not know may still be there. */
    private boolean doubtful() {
        return goodForMs.getAsLong() < DOUBTFUL_MS;
    }

    /** Whether requests carry keys that are for this system alone. */
    boolean keyed() {
        return holdings.keyed();
    }

    LoanCounter loans() {
        return loans;
    }

    QuotaCounter quotas() {
        return quotas;
    }

    /** Sets what is shared with other daemons: operation records and quotas where they are kept, and how long the table counts. */
    void share(LoanCounter operations, QuotaCounter counts, LongSupplier tableGoodForMs) {
        loans = operations;
        quotas = counts;
        goodForMs = tableGoodForMs;
    }

    /** Sets who tells what the other lectors have at the servers. */
    void watch(Occupancy zone) {
        occupancy = zone;
    }

    /** What the other lectors have at the servers, or null where nobody tells. */
    Occupancy occupancy() {
        return occupancy;
    }

    private String draw(Regulations.Route route) {
        List<Regulations.Share> shares = route.shares();
        if (shares.size() == 1) {
            return shares.get(0).upstream();
        }
        long sum = 0;
        for (Regulations.Share s : shares) {
            sum += s.weight();
        }
        long at = (long) (random.nextDouble() * sum);
        for (Regulations.Share s : shares) {
            at -= s.weight();
            if (at < 0) {
                return s.upstream();
            }
        }
        return shares.get(shares.size() - 1).upstream();
    }

    /** Seconds after which a refused client may come again. */
    String retryAfter(Borrowing b) {
        // What is shared among the daemons is away for about a second when it is away: to ask again sooner helps nobody.
        boolean shared = b.erratum() == Erratum.QUOTA_UNKNOWN || b.erratum() == Erratum.LOANS_UNAVAILABLE
                || b.erratum() == Erratum.TABLE_STALE || b.erratum() == Erratum.NOT_READY;
        double seconds = b.comeAgainMs() > 0 ? b.comeAgainMs() / 1_000.0 : shared ? 0.5 : b.wing() == null ? 0.5 : Math.max(0.1, Math.min(1.0, b.wing().typicalMs / 1000));
        long hundredths = Math.max(1, Math.round(seconds * (75 + 50 * random.nextDouble())));
        return hundredths / 100 + (hundredths % 100 < 10 ? ".0" : ".") + hundredths % 100;
    }

    /** Whether a request just taken in is turned away, because the service has more than it can answer in time. */
    boolean turnsAway(Wing wing, Moment now) {
        return wing.pressure.turnsAway(ratio(wing, now), random);
    }

    /** Whether a service has so much to do that nothing should be asked of it twice without need. */
    boolean busy(Wing wing, Moment now) {
        return wing.pressure.busy(ratio(wing, now));
    }

    private double ratio(Wing wing, Moment now) {
        return occupancy != null && occupancy.fresh(now) ? wing.localRatio(now) : 0;
    }

    /** Tries that are kept for failures and not spent on slow answers. */
    double hedgeReserve(Wing wing, Moment now) {
        return Math.max(1, 0.4 * wing.allowance.left(now, fleet));
    }

    /** A server has become free: those that wait are looked at once the current event is over. */
    void slotFreed(Wing wing) {
        if (wing.waitingCount() > 0 && freed.add(wing) && freed.size() == 1) {
            clock.execute(() -> {
                Set<Wing> now = new HashSet<>(freed);
                freed.clear();
                now.forEach(Wing::serveWaiting);
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
        for (Wing wing : wings.values()) {
            if (wing.waitingCount() > 0) {
                looking = true;
                clock.after(WAITING_LOOK_MS, () -> {
                    looking = false;
                    wings.values().forEach(Wing::serveWaiting);
                    lookAgain();
                });
                return;
            }
        }
    }

    // ---- connections ----

    void arrived(Reader reader) {
        readers.add(reader);
    }

    void left(Reader reader) {
        readers.remove(reader);
    }

    private void sweep() {
        Moment now = clock.now();
        for (Reader reader : List.copyOf(readers)) {
            reader.sweep(now);
        }
        for (Iterator<Repository> it = repositories.values().iterator(); it.hasNext();) {
            it.next().sweep(now);
        }
        lookAgain();
    }

    /** How many requests are at servers now, or on their way to one. */
    int atServers() {
        int sum = 0;
        for (Repository r : repositories.values()) {
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
        for (Reader reader : List.copyOf(readers)) {
            reader.closeIfIdle();
        }
    }

    /** See {@link Reader#unblock}. */
    void unblock(boolean last) {
        for (Reader reader : List.copyOf(readers)) {
            reader.unblock(last);
        }
    }

    boolean anyBusy() {
        for (Reader reader : readers) {
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

    Tally tally() {
        return tally;
    }

    Concierge concierge() {
        return concierge;
    }
}
