package org.umbermount.courier;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.umbermount.gazetteer.Gazetteer;
import org.umbermount.gazetteer.Placename;
import org.umbermount.kernel.Clock;
import org.umbermount.kernel.Department;
import org.umbermount.kernel.HouseRules;
import org.umbermount.kernel.Imprint;
import org.umbermount.kernel.Institution;
import org.umbermount.kernel.Moment;
import org.umbermount.kernel.Postbag;
import org.umbermount.kernel.RandomNumbers;
import org.umbermount.kernel.Role;
import org.umbermount.kernel.Script;

/** The receiving side as a plug-in of the lector. */
public final class ReceivingDepartment implements Department {
    private static final long LOOP_MS = 500;
    private static final long EAGER_MS = 100;
    private static final long LOST_MS = 500;
    private static final long TELL_MS = 5_000;
    private static final long TELL_HERE_MS = 1_000;
    private static final long VOUCH_MARGIN_MS = 300;
    private static final long VOUCH_LOW_MS = 2_600;
    private static final long SILENCE_MS = Consignor.HEARTBEAT_MS + 700;

    private Institution institution;
    private Gazetteer gazetteer;
    private Consignee consignee;
    private Moment lastTold = Moment.NEVER;
    private Moment lastToldHere = Moment.NEVER;
    private int tries;
    private boolean strict;
    private int voucherTurn;

    @Override
    public String name() {
        return "courier";
    }

    @Override
    public int order() {
        return 30;
    }

    @Override
    public boolean serves(Role role) {
        return role == Role.LECTOR;
    }

    @Override
    public void open(Institution host) {
        institution = host;
        gazetteer = host.find(Gazetteer.class);
        Clock clock = host.clock();
        consignee = new Consignee(clock, host.find(Postbag.class), host.tally(), RandomNumbers.life(host.random()));
        host.offer(Consignee.class, consignee);
        HouseRules.Sharing sharing = host.rules().bounds().sharing();
        strict = sharing.strictRevocation();
        if (strict) {
            consignee.countFor(sharing.revokeMs() - VOUCH_MARGIN_MS);
            host.tally().gauge("courier.table.good.ms", () -> Math.max(0, consignee.goodForMs()));
        }
        host.tally().gauge("courier.epoch", consignee::epoch);
        host.tally().gauge("courier.edition", () -> consignee.inForce().edition().value());
        host.tally().gauge("courier.silence.ms", () -> clock.now().since(consignee.lastHeard()));
        consignee.observe(this::learn);
        clock.execute(this::tell);
        clock.every(LOOP_MS, this::reconcile);
        clock.after(EAGER_MS, this::hurry);
    }

    /** Without a table nothing can be served: asks again and again. */
    private void hurry() {
        if (consignee.inForce().isEmpty()) {
            tell();
            institution.clock().after(EAGER_MS, this::hurry);
        }
    }

    private void reconcile() {
        Moment now = institution.clock().now();
        boolean lost = now.since(consignee.lastHeard()) > SILENCE_MS && now.since(lastTold) > LOST_MS;
        if (strict && !consignee.inForce().isEmpty() && consignee.goodForMs() < VOUCH_LOW_MS) {
            askVoucher(now);
        }
        if (lost || now.since(lastTold) > TELL_MS) {
            tell();
        } else if (now.since(lastToldHere) > TELL_HERE_MS) {
            tellHere(now);
        }
    }

    /**
     * Tells the zone's own registrars more often, and whoever sends here: one that has just started takes the zone's duty
     * within a second, and has to know then whom to send to.
     */
    private void tellHere(Moment now) {
        lastToldHere = now;
        String zone = institution.rules().zone();
        byte[] body = new Signpost(consignee.life(), zone, consignee.inForce().isEmpty(), false,
                consignee.inForce().edition().value(), now.millis()).pack();
        Imprint sender = consignee.sender();
        for (Placename p : gazetteer.known(Role.REGISTRAR, zone)) {
            if (p.zone().equals(zone)) {
                institution.find(Postbag.class).send(p.imprint(), Postbag.Topic.SIGNPOST, body);
                sender = p.imprint().equals(sender) ? null : sender;
            }
        }
        if (sender != null) {
            institution.find(Postbag.class).send(sender, Postbag.Topic.SIGNPOST, body);
        }
    }

    /** Takes up the registrars that the table names, and makes itself known to those of the zone at once. */
    private void learn(Inventory table) {
        List<Placename> named = new ArrayList<>();
        try {
            for (Map.Entry<String, byte[]> e : table.entries().entrySet()) {
                if (e.getKey().startsWith(Inventory.REGISTRAR)) {
                    named.add(Tables.readRegistrar(e.getValue()));
                }
            }
        } catch (Script.UnreadableException e) {
            institution.tally().count("courier.registrars.unreadable");
            return;
        }
        gazetteer.lasting(named);
        if (consignee.epoch() == 0) {
            tellHere(institution.clock().now());
            if (strict && consignee.goodForMs() <= 0) {
                askVoucher(institution.clock().now());
            }
        }
    }

    /** The sender is late with its word on how fresh the table is: any registrar may give it. */
    private void askVoucher(Moment now) {
        List<Placename> known = gazetteer.known(Role.REGISTRAR, institution.rules().zone());
        byte[] body = new Signpost(consignee.life(), institution.rules().zone(), false, true,
                consignee.inForce().edition().value(), now.millis()).pack();
        for (int i = 0; i < Math.min(2, known.size()); i++) {
            institution.find(Postbag.class).send(known.get(voucherTurn++ % known.size()).imprint(),
                    Postbag.Topic.SIGNPOST, body);
        }
    }

    /** Tells registrars of this proxy: all of them now and then, those of the zone first when in need. */
    private void tell() {
        Moment now = institution.clock().now();
        boolean empty = consignee.inForce().isEmpty();
        boolean lost = now.since(consignee.lastHeard()) > SILENCE_MS;
        byte[] body = new Signpost(consignee.life(), institution.rules().zone(), empty, lost && strict,
                consignee.inForce().edition().value(), now.millis()).pack();
        List<Imprint> targets = new ArrayList<>();
        for (Placename p : gazetteer.known(Role.REGISTRAR, institution.rules().zone())) {
            targets.add(p.imprint());
        }
        if (targets.isEmpty()) {
            targets = gazetteer.seeds();
        }
        boolean everyone = !empty || tries++ % 2 == 1;
        int n = 0;
        for (Imprint target : targets) {
            if (everyone || n++ < 1) {
                institution.find(Postbag.class).send(target, Postbag.Topic.SIGNPOST, body);
            }
        }
        lastTold = now;
    }
}
