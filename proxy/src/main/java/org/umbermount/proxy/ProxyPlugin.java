package org.umbermount.proxy;

import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import java.nio.channels.ServerSocketChannel;
import java.util.Random;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.umbermount.distribution.StateReceiver;
import org.umbermount.idempotency.OperationClient;
import org.umbermount.kernel.Clock;
import org.umbermount.kernel.DaemonAddress;
import org.umbermount.kernel.Messenger;
import org.umbermount.kernel.MonotonicTime;
import org.umbermount.kernel.Plugin;
import org.umbermount.kernel.PluginHost;
import org.umbermount.kernel.Role;
import org.umbermount.kernel.Settings;
import org.umbermount.kernel.net.LoopClock;
import org.umbermount.quota.QuotaClient;

/** The traffic plane as a plug-in of the proxy. */
public final class ProxyPlugin implements Plugin {
    private static final Logger LOG = LoggerFactory.getLogger("proxy");
    /** By then the platform has noticed twice that this daemon is not ready. */
    private static final long NOTICED_MS = 2_300;

    private static final long LOOK_MS = 50;
    private static final long LAST_MS = 100;
    private static final long GRACE_MARGIN_MS = 400;

    private PluginHost pluginHost;
    private ProxyListener desk;
    private StateReceiver stateReceiver;
    private boolean leaving;

    @Override
    public String name() {
        return "proxy";
    }

    @Override
    public int order() {
        return 40;
    }

    @Override
    public boolean serves(Role role) {
        return role == Role.PROXY;
    }

    @Override
    public void open(PluginHost host) throws Exception {
        pluginHost = host;
        Settings rules = host.rules();
        Clock clock = host.clock();
        EventLoop loop = ((LoopClock) clock).loop();
        stateReceiver = host.find(StateReceiver.class);
        desk = new ProxyListener(
                loop,
                clock,
                host.metrics(),
                rules.bounds(),
                rules.zone(),
                new Random(host.random().nextLong()));
        desk.share(
                host.findOrNull(OperationClient.class), host.findOrNull(QuotaClient.class), stateReceiver::goodForMs);
        desk.watch(new Occupancy(clock, host.find(Messenger.class), rules.zone(), stateReceiver::sender));
        stateReceiver.observe(desk::apply);
        host.metrics().gauge("clients.connections", desk::openConnections);
        DaemonAddress readiness = listener(rules, "readiness");
        DaemonAddress http = listener(rules, "http");
        watch(
                new StatusServer(() -> !leaving && desk.hasTable(), host.metrics()::page, this::status)
                        .bind(loop, readiness),
                readiness);
        ServerSocketChannel listening = host.findOrNull(ServerSocketChannel.class);
        watch(listening == null ? desk.bind(http) : desk.adopt(listening), http);
    }

    private void watch(ChannelFuture bound, DaemonAddress address) {
        bound.addListener(f -> {
            if (!f.isSuccess()) {
                pluginHost.fatal("The address " + address + " cannot be used: "
                        + f.cause().getMessage() + ".");
            }
        });
    }

    private static DaemonAddress listener(Settings rules, String name) {
        DaemonAddress address = rules.listeners().get(name);
        if (address == null) {
            throw new IllegalStateException("The settings name no " + name + " listener.");
        }
        return address;
    }

    private String status() {
        return "{\"daemon\":\"" + pluginHost.rules().nodeName() + "\",\"zone\":\""
                + pluginHost.rules().zone()
                + "\",\"ready\":" + (!leaving && desk.hasTable()) + ",\"edition\":"
                + stateReceiver.inForce().edition()
                + ",\"epoch\":" + stateReceiver.epoch() + ",\"sender\":\"" + stateReceiver.sender()
                + "\",\"tableGoodForMs\":"
                + (stateReceiver.goodForMs() == Long.MAX_VALUE ? -1 : Math.max(0, stateReceiver.goodForMs()))
                + ",\"loansToClose\":"
                + (desk.loans() == null ? 0 : desk.loans().closing()) + ",\"fleet\":" + desk.fleet() + "}";
    }

    @Override
    public void leave(Runnable done) {
        Clock clock = pluginHost.clock();
        MonotonicTime end = clock.now().plus(pluginHost.rules().bounds().graceMs() - GRACE_MARGIN_MS);
        leaving = true;
        desk.beginClosing();
        LOG.info("Leaving: not ready any more, {} connections open.", desk.openConnections());
        clock.after(pluginHost.rules().bounds().graceMs() / 2, () -> desk.unblock(false));
        long notice = Math.min(NOTICED_MS, pluginHost.rules().bounds().graceMs() / 2);
        clock.after(notice, () -> {
            desk.stopListening();
            finish(end, done);
        });
    }

    private void finish(MonotonicTime end, Runnable done) {
        if (!desk.anyBusy() || !pluginHost.clock().now().isBefore(end)) {
            desk.unblock(true);
            // What was written has a moment to leave.
            pluginHost.clock().after(LAST_MS, done);
        } else {
            pluginHost.clock().after(LOOK_MS, () -> finish(end, done));
        }
    }
}
