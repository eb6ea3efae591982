package org.umbermount.control;

import com.fasterxml.jackson.core.io.JsonStringEncoder;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.timeout.ReadTimeoutHandler;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.umbermount.kernel.Clock;
import org.umbermount.kernel.ConfigurationRevision;
import org.umbermount.kernel.DaemonAddress;
import org.umbermount.kernel.ErrorKind;
import org.umbermount.kernel.FaultException;
import org.umbermount.kernel.InstanceId;
import org.umbermount.kernel.JsonValue;
import org.umbermount.kernel.Metrics;
import org.umbermount.kernel.MonotonicTime;
import org.umbermount.kernel.Safeguard;
import org.umbermount.kernel.net.ConnectionAcceptor;

/** The calls of servers and of the operator. */
final class ControlApi implements StatusPage {
    private static final Logger LOG = LoggerFactory.getLogger("control");
    private static final int LARGEST_BODY = 3 << 20;
    /** Within the second after which callers go elsewhere. */
    private static final long PATIENCE_MS = 850;

    private static final long TOLD_MS = 600;
    private static final int ORDERS_SHOWN = 32;

    private final Clock clock;
    private final ChainClient chainClient;
    private final Replica replica;
    private final ServerRegistry serverRegistry;
    private final LeaseManager leases;
    private final FailureDetector detector;
    private final MajorityContact contact;
    private final DaemonAddress self;
    private final DaemonAddress control;
    private final String zone;
    private final Metrics metrics;
    private final List<Consumer<ObjectNode>> sections = new ArrayList<>();
    private Channel listener;

    ControlApi(
            ControlPlane controlPlane,
            Clock clock,
            DaemonAddress self,
            DaemonAddress control,
            String zone,
            Metrics metrics) {
        this.clock = clock;
        this.chainClient = controlPlane.chainClient;
        this.replica = controlPlane.replica;
        this.serverRegistry = controlPlane.serverRegistry;
        this.leases = controlPlane.leases;
        this.detector = controlPlane.detector;
        this.contact = controlPlane.contact;
        this.self = self;
        this.control = control;
        this.zone = zone;
        this.metrics = metrics;
    }

    @Override
    public void addSection(Consumer<ObjectNode> section) {
        sections.add(section);
    }

    void bind(EventLoop loop, Consumer<Throwable> failed) {
        ChannelFuture bound = new ConnectionAcceptor(loop) {
            @Override
            protected void initialize(ChannelPipeline pipeline) {
                pipeline.addLast(new ReadTimeoutHandler(60, TimeUnit.SECONDS));
                answerCalls(pipeline);
            }
        }.bind(control.socketAddress());
        listener = bound.channel();
        bound.addListener(f -> {
            if (!f.isSuccess()) {
                failed.accept(f.cause());
            }
        });
    }

    void answerCalls(ChannelPipeline pipeline) {
        pipeline.addLast(new HttpServerCodec()).addLast(new WholeCalls()).addLast(new Calls());
    }

    /** Puts a call together; one that is too long gets its reason at once, and the rest of it is read and thrown away. */
    private final class WholeCalls extends HttpObjectAggregator {
        WholeCalls() {
            super(LARGEST_BODY, true);
        }

        @Override
        protected void handleOversizedMessage(ChannelHandlerContext ctx, HttpMessage oversized) {
            metrics.count("control.refusals.body_too_large");
            json(
                    ctx,
                    HttpUtil.isKeepAlive(oversized),
                    ErrorKind.BODY_TOO_LARGE.status(),
                    error("The call is over " + LARGEST_BODY + " bytes."));
        }
    }

    void close() {
        listener.close();
    }

    /** What answers the calls on one connection. */
    ChannelHandler calls() {
        return new Calls();
    }

    private final class Calls extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            boolean keep = HttpUtil.isKeepAlive(request);
            try {
                if (request.decoderResult().isFailure()) {
                    throw new FaultException(ErrorKind.MALFORMED, "The call cannot be read.");
                }
                route(ctx, request, keep);
            } catch (FaultException e) {
                refuse(ctx, keep, e.erratum(), e.getMessage());
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (!(cause instanceof IOException) && !(cause instanceof io.netty.handler.timeout.ReadTimeoutException)) {
                LOG.warn("A call failed: {}.", cause.toString());
            }
            ctx.close();
        }
    }

    private void route(ChannelHandlerContext ctx, FullHttpRequest request, boolean keep) throws FaultException {
        String path = request.uri();
        HttpMethod method = request.method();
        if (path.equals("/config")) {
            if (method.equals(HttpMethod.PUT)) {
                putConfig(ctx, request, keep);
            } else if (method.equals(HttpMethod.PATCH)) {
                patchConfig(ctx, request, keep);
            } else if (method.equals(HttpMethod.GET)) {
                getConfig(ctx, keep);
            } else {
                throw new FaultException(ErrorKind.WRONG_METHOD, "/config takes GET, PUT and PATCH.");
            }
        } else if (path.equals("/purge")) {
            if (!method.equals(HttpMethod.POST)) {
                throw new FaultException(ErrorKind.WRONG_METHOD, "/purge takes POST.");
            }
            purge(ctx, request, keep);
        } else if (path.startsWith("/instances/") && path.length() > 11 && path.indexOf('/', 11) < 0) {
            InstanceId id = new InstanceId(path.substring(11));
            if (method.equals(HttpMethod.PUT)) {
                beat(ctx, request, id, keep);
            } else if (method.equals(HttpMethod.DELETE)) {
                signOff(ctx, id, keep);
            } else {
                throw new FaultException(ErrorKind.WRONG_METHOD, "/instances/ID takes PUT and DELETE.");
            }
        } else if (method.equals(HttpMethod.GET) && path.equals("/status")) {
            json(ctx, keep, 200, status().toString());
        } else if (method.equals(HttpMethod.GET) && path.equals("/metrics")) {
            send(ctx, keep, 200, "text/plain", metrics.page().getBytes(StandardCharsets.UTF_8), null);
        } else {
            throw new FaultException(ErrorKind.UNKNOWN_CALL, "There is no call " + method + " " + path + ".");
        }
    }

    private void putConfig(ChannelHandlerContext ctx, FullHttpRequest request, boolean keep) throws FaultException {
        byte[] blob = ByteBufUtil.getBytes(request.content());
        ConfigurationRevision match = match(request);
        // All that can be wrong with an order by itself is told from the call alone: one that was taken passes at any
        // time.
        Order order = rising(new Order(match, Configuration.parse(blob).edition(), Digest.ofCall("PUT", blob)));
        submit(ctx, keep, order, blob, PATIENCE_MS);
    }

    private static Order rising(Order order) throws FaultException {
        if (!order.rises()) {
            throw new FaultException(
                    ErrorKind.INVALID_CONFIGURATION,
                    "The configuration is invalid: revision " + order.edition() + " is not above " + order.match()
                            + ", on which it builds.");
        }
        return order;
    }

    private static ConfigurationRevision match(FullHttpRequest request) throws FaultException {
        String text = request.headers().get(HttpHeaderNames.IF_MATCH);
        try {
            return new ConfigurationRevision(
                    Long.parseLong(text == null ? "" : text.replace("\"", "").trim()));
        } catch (NumberFormatException e) {
            throw new FaultException(ErrorKind.INVALID_CONFIGURATION, "If-Match must hold the number of a version.");
        }
    }

    /** Changes named items: the whole that results from the version named by If-Match goes the way of every whole. */
    private void patchConfig(ChannelHandlerContext ctx, FullHttpRequest request, boolean keep) throws FaultException {
        byte[] call = ByteBufUtil.getBytes(request.content());
        ConfigurationRevision match = match(request);
        ConfigurationPatch amendment = ConfigurationPatch.parse(call);
        Order order = rising(new Order(match, amendment.edition(), amendment.digest()));
        ConfigurationState here = replica.committed();
        if (here.edition().equals(match) || here.edition().isAfter(match)) {
            try {
                amend(ctx, keep, order, amendment, here, PATIENCE_MS);
                return;
            } catch (FaultException e) {
                // Another version may be current by now; that this one is the newest, others have to say.
                if (!Safeguard.INVALIDITY_CONFIRMED.holds()) {
                    throw e;
                }
            }
        }
        MonotonicTime asked = clock.now();
        chainClient.read(
                PATIENCE_MS,
                newest -> {
                    try {
                        amend(
                                ctx,
                                keep,
                                order,
                                amendment,
                                newest,
                                PATIENCE_MS - clock.now().since(asked));
                    } catch (FaultException e) {
                        refuse(ctx, keep, e.erratum(), e.getMessage());
                    }
                },
                () -> refuse(
                        ctx,
                        keep,
                        ErrorKind.CHANGE_UNKNOWN,
                        "The version it builds on is not known here yet; an earlier sending may have been taken."));
    }

    private void amend(
            ChannelHandlerContext ctx,
            boolean keep,
            Order order,
            ConfigurationPatch amendment,
            ConfigurationState base,
            long patienceMs)
            throws FaultException {
        byte[] whole = new byte[0];
        if (base.edition().equals(order.match())) {
            // Made from this base before, it is made again: both depend on the bytes of the base and of the call alone.
            whole = amendment.applyTo(base.blob());
            Configuration.parse(whole);
        }
        // On top of another version it can only be one that was taken before, or one that comes too late.
        submit(ctx, keep, order, whole, patienceMs);
    }

    private void purge(ChannelHandlerContext ctx, FullHttpRequest request, boolean keep) throws FaultException {
        try {
            JsonValue call = JsonValue.parse(ByteBufUtil.getBytes(request.content()));
            boolean tag = call.has("tag");
            if (tag == (call.has("virtualHost") || call.has("path"))) {
                throw new FaultException(ErrorKind.INVALID_PURGE, "A purge names a virtualHost and a path, or a tag.");
            }
            if (tag) {
                call.member("tag").text();
            } else {
                call.member("virtualHost").text();
                call.member("path").text();
            }
        } catch (JsonValue.WrongException e) {
            throw new FaultException(ErrorKind.INVALID_PURGE, "The purge is invalid: " + e.getMessage() + ".");
        }
        if (!Safeguard.PURGE_CONFIRMED.holds()) {
            json(ctx, keep, 200, "{}");
            return;
        }
        // No daemon keeps copies yet: nothing that was replaced can be handed out after this.
        chainClient.confirm(
                PATIENCE_MS,
                () -> json(ctx, keep, 200, "{}"),
                () -> refuse(ctx, keep, ErrorKind.CONTROL_UNAVAILABLE, "The view could not be confirmed in time."));
    }

    private void submit(ChannelHandlerContext ctx, boolean keep, Order order, byte[] blob, long patienceMs) {
        ConfigurationRevision edition = order.edition();
        chainClient.submit(
                order,
                blob,
                patienceMs,
                verdict -> {
                    switch (verdict) {
                        case TAKEN -> {
                            LOG.info("Edition {} was taken.", edition);
                            json(ctx, keep, 200, "{\"revision\":" + edition + "}");
                        }
                        case STALE -> refuse(
                                ctx,
                                keep,
                                ErrorKind.STALE_MATCH,
                                "Another version than " + order.match() + " is current.");
                        default -> refuse(
                                ctx,
                                keep,
                                ErrorKind.INVALID_CONFIGURATION,
                                "The configuration is invalid: revision " + edition + " is not above the current one.");
                    }
                },
                () -> refuse(
                        ctx,
                        keep,
                        ErrorKind.CHANGE_UNKNOWN,
                        "The chain did not answer in time; the change may still be taken."));
    }

    private void getConfig(ChannelHandlerContext ctx, boolean keep) {
        chainClient.read(
                PATIENCE_MS,
                state -> {
                    if (state.edition().equals(ConfigurationRevision.NONE)) {
                        refuse(ctx, keep, ErrorKind.UNKNOWN_CALL, "No configuration has been taken yet.");
                    } else {
                        send(ctx, keep, 200, "application/json", state.blob(), state.edition());
                    }
                },
                () -> refuse(ctx, keep, ErrorKind.CONTROL_UNAVAILABLE, "The view could not be confirmed in time."));
    }

    private void beat(ChannelHandlerContext ctx, FullHttpRequest request, InstanceId id, boolean keep)
            throws FaultException {
        requireContact();
        RegisteredServer entry;
        try {
            entry = readBeat(JsonValue.parse(ByteBufUtil.getBytes(request.content())), id);
        } catch (JsonValue.WrongException e) {
            throw new FaultException(ErrorKind.INVALID_BEAT, "The beat is invalid: " + e.getMessage() + ".");
        }
        String answer = heartbeatAnswer(entry.zone());
        acknowledge(ctx, keep, done -> serverRegistry.beat(entry, done), answer);
    }

    private void requireContact() throws FaultException {
        if (Safeguard.CONTACT_BEFORE_BEATS.holds() ? !contact.holds() : !detector.reachesMajority(replica.view())) {
            throw new FaultException(ErrorKind.CONTROL_UNAVAILABLE, "This daemon is cut off from the others.");
        }
    }

    private RegisteredServer readBeat(JsonValue beat, InstanceId id) throws JsonValue.WrongException {
        String status = beat.member("status").text();
        boolean draining = status.equals("draining");
        if (!draining && !status.equals("in_service")) {
            throw beat.member("status").wrong("must be in_service or draining");
        }
        long warm = beat.whole("warmupLeftMs", 0, Integer.MAX_VALUE, 0);
        return new RegisteredServer(
                id,
                beat.member("upstream").text(),
                beat.member("address").address().toString(),
                beat.text("zone", zone),
                beat.text("revision", "-"),
                (int) beat.whole("capacity", 1, 1_000_000, 1),
                warm,
                draining ? RegisteredServer.Standing.DRAINING : RegisteredServer.Standing.IN_SERVICE,
                beat.member("sequence").whole(0, Long.MAX_VALUE),
                self);
    }

    private void signOff(ChannelHandlerContext ctx, InstanceId id, boolean keep) throws FaultException {
        requireContact();
        acknowledge(ctx, keep, done -> serverRegistry.signOff(id, done), "{}");
    }

    /** Answers 200 once a majority of the voters has the news, and 503 if it does not take it in time. */
    private void acknowledge(ChannelHandlerContext ctx, boolean keep, Consumer<Runnable> action, String answer) {
        boolean[] answered = new boolean[1];
        Clock.Cancellable timer = clock.after(TOLD_MS, () -> {
            if (!answered[0]) {
                answered[0] = true;
                refuse(ctx, keep, ErrorKind.CONTROL_UNAVAILABLE, "Too few other daemons could be told.");
            }
        });
        action.accept(() -> {
            if (!answered[0]) {
                answered[0] = true;
                timer.cancel();
                json(ctx, keep, 200, answer);
            }
        });
    }

    /** Steers a server's beats to a controller of its own zone that a majority answers. */
    private String heartbeatAnswer(String serverZone) {
        if (serverZone.equals(zone)) {
            return "{}";
        }
        for (FailureDetector.Peer p : detector.peers()) {
            if (p.report() != null
                    && p.report().zone().equals(serverZone)
                    && p.report().inContact()
                    && !p.report().slow()
                    && detector.goodForMs(p.daemonAddress()) > 2_000) {
                return "{\"heartbeatUrl\":\"http://" + p.report().control() + "\"}";
            }
        }
        return "{}";
    }

    /** The part that the view in force gives a controller. */
    private static String seat(View view, DaemonAddress who) {
        if (!view.votes(who)) {
            return "none";
        }
        return !view.chains(who)
                ? "voter"
                : who.equals(view.head()) ? "head" : who.equals(view.tail()) ? "tail" : "chain";
    }

    private ObjectNode status() {
        ObjectNode root = new ObjectMapper().createObjectNode();
        View view = replica.view();
        root.put("daemon", self.toString())
                .put("zone", zone)
                .put("seat", seat(view, self))
                .put("standing", replica.standing().name().toLowerCase(java.util.Locale.ROOT))
                .put("incarnation", replica.incarnation())
                .put("view", view.number())
                .put("edition", replica.committed().edition().value())
                .put("newestEdition", replica.newestEdition().value())
                .put("slow", detector.isSlow(view));
        showContact(root.putObject("contact"));
        ArrayNode electorate = root.putArray("electorate");
        view.electorate().forEach(f -> electorate.add(f.daemonAddress().toString()));
        ArrayNode chain = root.putArray("chain");
        view.chain().forEach(m -> chain.add(m.toString()));
        showOrders(root.putObject("orders"), replica.committed().taken());
        showControllers(root.putArray("controllers"), view);
        showDuties(root.putObject("duties"));
        showServers(root.putArray("servers"));
        sections.forEach(section -> section.accept(root));
        return root;
    }

    private void showContact(ObjectNode page) {
        MonotonicTime confirmedAt = contact.confirmedAt();
        page.put("majorityAnswers", contact.holds())
                .put(
                        "confirmedMsAgo",
                        confirmedAt.equals(MonotonicTime.NEVER)
                                ? -1
                                : clock.now().since(confirmedAt))
                .put("unbrokenMs", contact.unbrokenMs())
                .put("editionConfirmed", contact.assured());
    }

    private void showControllers(ArrayNode page, View view) {
        for (FailureDetector.Peer p : detector.peers()) {
            ObjectNode one = page.addObject()
                    .put("daemon", p.daemonAddress().toString())
                    .put("seat", seat(view, p.daemonAddress()))
                    .put("connected", detector.connected(p.daemonAddress()))
                    .put("goodForMs", detector.goodForMs(p.daemonAddress()))
                    .put("lostForMs", detector.lostForMs(p.daemonAddress()));
            if (p.report() != null) {
                showReport(one, p.report());
            }
        }
    }

    private static void showReport(ObjectNode page, FailureDetector.Report report) {
        page.put("zone", report.zone())
                .put("incarnation", report.incarnation())
                .put("view", report.view())
                .put("edition", report.edition())
                .put("newestEdition", report.newestEdition())
                .put("hasMemory", report.votes())
                .put("majorityAnswers", report.inContact())
                .put("diskGood", report.diskGood())
                .put("leaving", report.leaving())
                .put("slow", report.slow())
                .put("operationsSettledInView", report.settledView());
        ArrayNode connected = page.putArray("connectedWith");
        report.connected().forEach(c -> connected.add(c.toString()));
    }

    private void showDuties(ObjectNode page) {
        for (String z : leases.zones()) {
            DaemonAddress holder = leases.holder(z);
            page.putObject(z)
                    .put("holder", holder == null ? "" : holder.toString())
                    .put("epochHere", leases.epoch(z));
        }
    }

    private void showServers(ArrayNode page) {
        for (RegisteredServer e : serverRegistry.entries()) {
            page.addObject()
                    .put("id", e.id().value())
                    .put("upstream", e.upstream())
                    .put("address", e.address())
                    .put("zone", e.zone())
                    .put("standing", e.standing().name().toLowerCase(java.util.Locale.ROOT))
                    .put("sequence", e.sequence())
                    .put("keeper", e.keeper().toString());
        }
    }

    private static void showOrders(ObjectNode orders, TakenOrders taken) {
        orders.put("floor", taken.floor().value())
                .put("remembered", taken.entries().size());
        ArrayNode last = orders.putArray("last");
        int size = taken.entries().size();
        taken.entries().subList(Math.max(0, size - ORDERS_SHOWN), size).forEach(t -> last.addObject()
                .put("edition", t.edition().value())
                .put("digest", t.digest().toString()));
    }

    private void refuse(ChannelHandlerContext ctx, boolean keep, ErrorKind erratum, String detail) {
        metrics.count("control.refusals." + erratum.name().toLowerCase(java.util.Locale.ROOT));
        json(ctx, keep && !erratum.closes(), erratum.status(), error(detail));
    }

    private static String error(String detail) {
        return "{\"errorMessage\":\""
                + new String(JsonStringEncoder.getInstance().quoteAsString(detail)) + "\"}";
    }

    private void json(ChannelHandlerContext ctx, boolean keep, int status, String body) {
        send(ctx, keep, status, "application/json", body.getBytes(StandardCharsets.UTF_8), null);
    }

    private void send(
            ChannelHandlerContext ctx,
            boolean keep,
            int status,
            String type,
            byte[] body,
            ConfigurationRevision edition) {
        ByteBuf content = Unpooled.wrappedBuffer(body);
        FullHttpResponse response =
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), content);
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, type).setInt(HttpHeaderNames.CONTENT_LENGTH, body.length);
        if (edition != null) {
            response.headers().set(HttpHeaderNames.ETAG, edition.toString());
        }
        if (status == 503) {
            response.headers().set(HttpHeaderNames.RETRY_AFTER, "0.3");
        }
        if (!keep) {
            response.headers().set(HttpHeaderNames.CONNECTION, "close");
        }
        ctx.writeAndFlush(response)
                .addListener(keep ? ChannelFutureListener.CLOSE_ON_FAILURE : ChannelFutureListener.CLOSE);
    }
}
