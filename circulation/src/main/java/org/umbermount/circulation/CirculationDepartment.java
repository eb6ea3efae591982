package org.umbermount.circulation;

import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import java.nio.channels.ServerSocketChannel;
import java.util.Random;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.umbermount.courier.Consignee;
import org.umbermount.kernel.Clock;
import org.umbermount.kernel.Department;
import org.umbermount.kernel.HouseRules;
import org.umbermount.kernel.Imprint;
import org.umbermount.kernel.Institution;
import org.umbermount.kernel.Moment;
import org.umbermount.kernel.Postbag;
import org.umbermount.kernel.Role;
import org.umbermount.kernel.net.LoopClock;
import org.umbermount.loans.LoanCounter;
import org.umbermount.readership.QuotaCounter;

/** The traffic plane as a plug-in of the lector. */
public final class CirculationDepartment implements Department {
    private static final Logger LOG = LoggerFactory.getLogger("circulation");
    /** By then the platform has noticed twice that this daemon is not ready. */
    private static final long NOTICED_MS = 2_300;
    private static final long LOOK_MS = 50;
    private static final long LAST_MS = 100;
    private static final long GRACE_MARGIN_MS = 400;

    private Institution institution;
    private FrontDesk desk;
    private Consignee consignee;
    private boolean leaving;

    @Override
    public String name() {
        return "circulation";
    }

    @Override
    public int order() {
        return 40;
    }

    @Override
    public boolean serves(Role role) {
        return role == Role.LECTOR;
    }

    @Override
    public void open(Institution host) throws Exception {
        institution = host;
        HouseRules rules = host.rules();
        Clock clock = host.clock();
        EventLoop loop = ((LoopClock) clock).loop();
        consignee = host.find(Consignee.class);
        desk = new FrontDesk(loop, clock, host.tally(), rules.bounds(), rules.zone(),
                new Random(host.random().nextLong()));
        desk.share(host.findOrNull(LoanCounter.class), host.findOrNull(QuotaCounter.class), consignee::goodForMs);
        desk.watch(new Occupancy(clock, host.find(Postbag.class), rules.zone(), consignee::sender));
        consignee.observe(desk::apply);
        host.tally().gauge("clients.connections", desk::openConnections);
        Imprint readiness = listener(rules, "readiness");
        Imprint http = listener(rules, "http");
        watch(new Doorplate(() -> !leaving && desk.hasTable(), host.tally()::page, this::status).bind(loop, readiness),
                readiness);
        ServerSocketChannel listening = host.findOrNull(ServerSocketChannel.class);
        watch(listening == null ? desk.bind(http) : desk.adopt(listening), http);
    }

    private void watch(ChannelFuture bound, Imprint address) {
        bound.addListener(f -> {
            if (!f.isSuccess()) {
                institution.fatal("The address " + address + " cannot be used: " + f.cause().getMessage() + ".");
            }
        });
    }

    private static Imprint listener(HouseRules rules, String name) {
        Imprint address = rules.listeners().get(name);
        if (address == null) {
            throw new IllegalStateException("The settings name no " + name + " listener.");
        }
        return address;
    }

    private String status() {
        return "{\"daemon\":\"" + institution.rules().nodeName() + "\",\"zone\":\"" + institution.rules().zone()
                + "\",\"ready\":" + (!leaving && desk.hasTable()) + ",\"edition\":" + consignee.inForce().edition()
                + ",\"epoch\":" + consignee.epoch() + ",\"sender\":\"" + consignee.sender()
                + "\",\"tableGoodForMs\":" + (consignee.goodForMs() == Long.MAX_VALUE ? -1 : Math.max(0, consignee.goodForMs()))
                + ",\"loansToClose\":" + (desk.loans() == null ? 0 : desk.loans().closing()) + ",\"fleet\":" + desk.fleet() + "}";
    }

    @Override
    public void leave(Runnable done) {
        Clock clock = institution.clock();
        Moment end = clock.now().plus(institution.rules().bounds().graceMs() - GRACE_MARGIN_MS);
        leaving = true;
        desk.beginClosing();
        LOG.info("Leaving: not ready any more, {} connections open.", desk.openConnections());
        clock.after(institution.rules().bounds().graceMs() / 2, () -> desk.unblock(false));
        long notice = Math.min(NOTICED_MS, institution.rules().bounds().graceMs() / 2);
        clock.after(notice, () -> {
            desk.stopListening();
            finish(end, done);
        });
    }

    private void finish(Moment end, Runnable done) {
        if (!desk.anyBusy() || !institution.clock().now().isBefore(end)) {
            desk.unblock(true);
            // What was written has a moment to leave.
            institution.clock().after(LAST_MS, done);
        } else {
            institution.clock().after(LOOK_MS, () -> finish(end, done));
        }
    }
}
