package org.umbermount.courier;

import java.util.List;
import org.umbermount.gazetteer.Gazetteer;
import org.umbermount.gazetteer.Placename;
import org.umbermount.kernel.Almanac;
import org.umbermount.kernel.Department;
import org.umbermount.kernel.Imprint;
import org.umbermount.kernel.Institution;
import org.umbermount.kernel.Moment;
import org.umbermount.kernel.Postbag;
import org.umbermount.kernel.Role;

/** The receiving side as a plug-in of the lector. */
public final class ReceivingDepartment implements Department {
    private static final long LOOP_MS = 250;
    private static final long EAGER_MS = 100;
    private static final long LOST_MS = 500;
    private static final long TELL_MS = 5_000;
    private static final long TELL_HERE_MS = 700;
    private static final long SILENCE_MS = Consignor.HEARTBEAT_MS + 700;

    private Institution institution;
    private Gazetteer gazetteer;
    private Consignee consignee;
    private Moment lastTold = Moment.NEVER;
    private Moment lastToldHere = Moment.NEVER;
    private int tries;

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
        Almanac almanac = host.almanac();
        consignee = new Consignee(almanac, host.find(Postbag.class), host.tally(), almanac.wallMillis());
        host.offer(Consignee.class, consignee);
        host.tally().gauge("courier.epoch", consignee::epoch);
        host.tally().gauge("courier.edition", () -> consignee.inForce().edition().value());
        host.tally().gauge("courier.silence.ms", () -> almanac.now().since(consignee.lastHeard()));
        almanac.execute(this::tell);
        almanac.every(LOOP_MS, this::reconcile);
        almanac.after(EAGER_MS, this::hurry);
    }

    /** Without a table nothing can be served: asks again and again. */
    private void hurry() {
        if (consignee.inForce().isEmpty()) {
            tell();
            institution.almanac().after(EAGER_MS, this::hurry);
        }
    }

    private void reconcile() {
        Moment now = institution.almanac().now();
        boolean lost = now.since(consignee.lastHeard()) > SILENCE_MS && now.since(lastTold) > LOST_MS;
        if (lost || now.since(lastTold) > TELL_MS) {
            tell();
        } else if (now.since(lastToldHere) > TELL_HERE_MS) {
            tellHere(now);
        }
    }

    /**
     * Tells the zone's own registrars more often: one that has just started takes the zone's duty within a second,
     * and has to know then whom to send to. Inside the zone this costs nothing.
     */
    private void tellHere(Moment now) {
        lastToldHere = now;
        String zone = institution.rules().zone();
        byte[] body = new Signpost(consignee.life(), zone, consignee.inForce().isEmpty(), false,
                consignee.inForce().edition().value()).pack();
        for (Placename p : gazetteer.known(Role.REGISTRAR, zone)) {
            if (p.zone().equals(zone)) {
                institution.find(Postbag.class).send(p.imprint(), Postbag.Topic.SIGNPOST, body);
            }
        }
    }

    /** Tells registrars of this proxy: all of them now and then, those of the zone first when in need. */
    private void tell() {
        Moment now = institution.almanac().now();
        boolean empty = consignee.inForce().isEmpty();
        boolean lost = now.since(consignee.lastHeard()) > SILENCE_MS;
        byte[] body = new Signpost(consignee.life(), institution.rules().zone(), empty, lost,
                consignee.inForce().edition().value()).pack();
        List<Imprint> targets = gazetteer.known(Role.REGISTRAR, institution.rules().zone()).stream()
                .map(Placename::imprint).toList();
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
