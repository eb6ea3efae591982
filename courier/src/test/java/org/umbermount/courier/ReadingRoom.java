package org.umbermount.courier;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.umbermount.archive.Custodian;
import org.umbermount.archive.Fleet;
import org.umbermount.archive.MortalAlmanac;
import org.umbermount.gazetteer.Gazetteer;
import org.umbermount.gazetteer.Placename;
import org.umbermount.kernel.Edition;
import org.umbermount.kernel.HouseRules;
import org.umbermount.kernel.Imprint;
import org.umbermount.kernel.Institution;
import org.umbermount.kernel.Postbag;
import org.umbermount.kernel.Role;
import org.umbermount.kernel.Tally;
import org.umbermount.kernel.testing.FakePost;

/**
 * Registrars and lectors as they are, from the chain to the table, on a fake clock, network and disks: an operator's
 * changes and races go on while daemons are killed, frozen, cut off and robbed of their disks by a seed, and what the rules
 * say of configurations is checked after every step. Nothing here knows how the parts work.
 */
final class ReadingRoom {
    static final int LECTORS_A_ZONE = 2;
    private static final long CONTACT_MS = 4_000;
    private static final long APPLY_MS = 3_000;
    private static final long SKEW_MS = 12_000;
    private static final long ACK_MS = 5_000;
    private static final long STEP_MS = 50;
    private static final long NEVER = Long.MIN_VALUE / 4;

    /** A rule is broken. */
    static final class BrokenException extends RuntimeException {
        BrokenException(String message) {
            super(message);
        }
    }

    /** One proxy and what it has had in force. */
    private static final class Lector {
        final Imprint imprint;
        final String zone;
        MortalAlmanac clock;
        Consignee consignee;
        long edition;
        boolean up;
        boolean frozen;
        long lastEvent = NEVER;
        boolean cut;

        Lector(Imprint imprint, String zone) {
            this.imprint = imprint;
            this.zone = zone;
        }
    }

    /** One change as an operator knows it. */
    private final class Change {
        final long match;
        final long edition;
        final String text;
        final long since = now();
        /** Since when the core has been settled without a break while this was asked. */
        long settledSince = now();
        int tries;
        Boolean taken;
        long takenAt;
        boolean givenUp;

        Change(long match, long edition) {
            this.match = match;
            this.edition = edition;
            this.text = text(edition);
        }

        void ask() {
            if (taken != null || givenUp) {
                return;
            }
            if (now() - since > 9_000) {
                givenUp = true;
                return;
            }
            int mine = ++tries;
            List<Integer> up = answering();
            if (!up.isEmpty()) {
                int at = up.get(random.nextInt(up.size()));
                fleet.porter(at).submit(new Edition(match), new Edition(edition), text.getBytes(), 850, v -> {
                    // A caller that has turned to another daemon does not hear what this one says.
                    if (tries == mine && taken == null && !givenUp) {
                        heard(v, at);
                    }
                }, () -> { });
            }
            fleet.almanac.after(1_000, () -> {
                if (tries == mine) {
                    ask();
                }
            });
        }

        private void heard(Custodian.Verdict verdict, int at) {
            taken = verdict == Custodian.Verdict.TAKEN;
            takenAt = now();
            note("edition " + edition + " on " + match + ": " + verdict + " from " + at);
            if (taken) {
                for (Change other : changes) {
                    if (other != this && other.taken != null && other.taken && other.match == match) {
                        broken("two changes on version " + match + " were confirmed: " + other.edition + " and " + edition);
                    }
                }
                firstAcknowledged = Math.min(firstAcknowledged, now());
                acknowledged = Math.max(acknowledged, edition);
                base = Math.max(base, edition);
            } else {
                if (inForceAnywhere.contains(edition)) {
                    broken("edition " + edition + " is in force and was refused");
                }
                refused.add(edition);
                readBack();
            }
        }
    }

    final Fleet fleet;
    private final int registrars;
    private final Random random;
    private final List<Lector> lectors = new ArrayList<>();
    private final List<Change> changes = new ArrayList<>();
    private final List<Long> refused = new ArrayList<>();
    private final List<Long> inForceAnywhere = new ArrayList<>();
    private final StringBuilder log = new StringBuilder();
    private final Map<Integer, Boolean> isolated = new TreeMap<>();
    private final Set<Integer> frozen = new java.util.TreeSet<>();
    private final Set<Integer> diskTrouble = new java.util.TreeSet<>();
    private long lastCoreEvent;
    private long acknowledged;
    private long firstAcknowledged = Long.MAX_VALUE / 4;
    private long base;
    private long nextEdition = 1;
    private long lossEnds;
    private int reads;

    ReadingRoom(long seed) throws IOException {
        random = new Random(seed);
        registrars = seed % 4 == 3 ? 6 : 4;
        fleet = new Fleet(registrars, 3, seed, registrars == 6 ? 2 : 1, null);
        fleet.network.loss = random.nextInt(3) == 0 ? 0.03 : 0.005;
        fleet.network.jitterMs = 1 + random.nextInt(6);
        fleet.network.doubles = 0.01;
        for (int i = 0; i < registrars; i++) {
            furnish(i);
            for (int k = 0; k < LECTORS_A_ZONE; k++) {
                Lector l = new Lector(Imprint.parse("10." + (i + 1) + ".1." + (k + 1) + ":7001"), Fleet.zone(i));
                lectors.add(l);
                open(l);
            }
        }
        lastCoreEvent = now();
    }

    long now() {
        return fleet.almanac.now().millis();
    }

    private void note(String what) {
        log.append(now()).append(' ').append(what).append('\n');
    }

    private void broken(String what) {
        note("BROKEN: " + what);
        throw new BrokenException(what + "\n" + log);
    }

    // ---- daemons ----

    private HouseRules rules(String zone, Imprint self) {
        Map<String, String> zones = new HashMap<>();
        List<Imprint> seeds = new ArrayList<>();
        for (int z = 0; z < registrars; z++) {
            zones.put(Fleet.zone(z), "r");
            if (z < 3) {
                seeds.add(Fleet.imprint(z).withPort(8000));
            }
        }
        return new HouseRules("n", zone, zones, self.host(), Map.of(), 7000, 7010, seeds, false, "", 100, 1000, 1500, 1,
                Set.of(), new HouseRules.Bounds(CONTACT_MS, ACK_MS, 3000, 6000, APPLY_MS, 0.2, 10_000, 60, 4000));
    }

    private Gazetteer gazetteer(Institution host, Imprint self, Role role, String zone, FakePost.Bag bag) {
        List<Imprint> seeds = List.of(Fleet.imprint(0), Fleet.imprint(1), Fleet.imprint(2));
        Gazetteer g = new Gazetteer(new Placename(self, role, zone, 0), seeds, host.almanac(), bag, new Tally(),
                new Random(random.nextLong()));
        host.offer(Postbag.class, bag);
        host.offer(Gazetteer.class, g);
        g.start();
        return g;
    }

    /** Gives a registrar that has started its sending side. */
    private void furnish(int i) {
        Imprint self = Fleet.imprint(i);
        Institution host = fleet.host(i, rules(Fleet.zone(i), self));
        gazetteer(host, self, Role.REGISTRAR, Fleet.zone(i), fleet.bag(i));
        new SendingDepartment().open(host);
    }

    private void open(Lector l) {
        l.clock = new MortalAlmanac(fleet.almanac);
        FakePost.Bag bag = fleet.network.bag(l.imprint);
        Institution host = new Institution(Role.LECTOR, rules(l.zone, l.imprint), l.clock);
        gazetteer(host, l.imprint, Role.LECTOR, l.zone, bag);
        new ReceivingDepartment().open(host);
        l.consignee = host.find(Consignee.class);
        l.edition = 0;
        l.up = true;
        l.consignee.observe(t -> inForce(l, t.edition().value()));
    }

    private void inForce(Lector l, long edition) {
        if (edition < l.edition) {
            broken(l.imprint + " went back from edition " + l.edition + " to " + edition);
        }
        if (refused.contains(edition)) {
            broken(l.imprint + " has edition " + edition + " in force, which was refused");
        }
        if (edition != l.edition) {
            note(l.imprint + " has " + edition);
        }
        l.edition = edition;
        if (!inForceAnywhere.contains(edition)) {
            inForceAnywhere.add(edition);
        }
    }

    // ---- the operator ----

    private static String text(long edition) {
        return "{\"revision\":" + edition + ",\"routeTable\":[],\"upstreams\":[]}";
    }

    private List<Integer> answering() {
        List<Integer> up = new ArrayList<>();
        for (int i = 0; i < registrars; i++) {
            if (fleet.isRunning(i) && !frozen.contains(i)) {
                up.add(i);
            }
        }
        return up;
    }

    private boolean pending() {
        return changes.stream().anyMatch(c -> c.taken == null && !c.givenUp);
    }

    /** One change, or several on the same version at once. */
    void change(int how) {
        if (pending()) {
            return;
        }
        long match = base;
        for (int i = 0; i < how; i++) {
            nextEdition += 1 + random.nextInt(3);
            Change c = new Change(match, nextEdition);
            changes.add(c);
            c.ask();
        }
    }

    /** Changes one upon the other, faster than what is lost is found out. */
    private void storm(int left, long gap) {
        change(1);
        if (left > 0) {
            later(gap, () -> storm(left - 1, gap));
        }
    }

    private void readBack() {
        List<Integer> up = answering();
        if (up.isEmpty() || reads > 3) {
            return;
        }
        long least = acknowledged;
        reads++;
        fleet.porter(up.get(random.nextInt(up.size()))).read(850, state -> {
            reads--;
            if (state.edition().value() < least) {
                broken("edition " + state.edition() + " was read when " + least + " had been confirmed");
            }
            String text = new String(state.blob());
            if (state.edition().value() > 0 && !text.equals(text(state.edition().value()))) {
                broken("under " + state.edition() + " stands " + text);
            }
            base = Math.max(base, state.edition().value());
        }, () -> reads--);
    }

    // ---- troubles ----

    private void coreEvent(int i, String what) {
        lastCoreEvent = now();
        note("registrar " + i + " " + what);
    }

    private void later(long ms, Runnable then) {
        fleet.almanac.after(ms, then);
    }

    private void start(int i) {
        try {
            fleet.start(i, false);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
        furnish(i);
        coreEvent(i, "starts");
    }

    private void kill(int i, boolean power, boolean wipe, long forMs) {
        if (!fleet.isRunning(i)) {
            return;
        }
        fleet.kill(i, power);
        if (wipe) {
            fleet.wipe(i);
        }
        frozen.remove(i);
        coreEvent(i, wipe ? "loses its disk" : power ? "loses power" : "is killed");
        later(forMs, () -> start(i));
    }

    /** Trouble for one registrar: it counts as lost until some time after. */
    private void troubleCore() {
        if (now() < lossEnds) {
            return;
        }
        int i = random.nextInt(registrars);
        long forMs = 200 + random.nextInt(5_300);
        lossEnds = now() + forMs + CONTACT_MS + 500;
        switch (random.nextInt(9)) {
            case 0 -> kill(i, false, false, forMs);
            case 1 -> kill(i, true, false, forMs);
            case 2 -> kill(i, true, true, forMs);
            case 3, 4 -> {
                int way = random.nextInt(3);
                for (int o = 0; o < registrars; o++) {
                    if (o != i && way != 1) {
                        fleet.network.cut(Fleet.imprint(i), Fleet.imprint(o));
                    }
                    if (o != i && way != 2) {
                        fleet.network.cut(Fleet.imprint(o), Fleet.imprint(i));
                    }
                }
                isolated.put(i, true);
                coreEvent(i, "is cut off, way " + way + ", for " + forMs);
                later(forMs, () -> {
                    for (int o = 0; o < registrars; o++) {
                        fleet.network.join(Fleet.imprint(i), Fleet.imprint(o));
                        fleet.network.join(Fleet.imprint(o), Fleet.imprint(i));
                    }
                    isolated.remove(i);
                    coreEvent(i, "is joined");
                });
            }
            case 5, 6 -> {
                fleet.freeze(i);
                frozen.add(i);
                coreEvent(i, "freezes for " + forMs);
                later(forMs, () -> {
                    frozen.remove(i);
                    fleet.thaw(i);
                    coreEvent(i, "thaws");
                });
            }
            default -> {
                int how = random.nextInt(3);
                diskTrouble.add(i);
                fleet.disks.get(i).full = how == 0;
                fleet.disks.get(i).hung = how == 1;
                fleet.disks.get(i).delayMs = how == 2 ? 125 : 1;
                coreEvent(i, "has a disk in trouble, " + how + ", for " + forMs);
                later(forMs, () -> {
                    diskTrouble.remove(i);
                    fleet.disks.get(i).full = false;
                    fleet.disks.get(i).delayMs = 1;
                    if (how == 1) {
                        fleet.disks.get(i).unhang();
                    }
                    coreEvent(i, "has a good disk");
                });
            }
        }
    }

    private void killAll() {
        if (now() < lossEnds) {
            return;
        }
        lossEnds = now() + 6_500;
        boolean power = random.nextBoolean();
        for (int i = 0; i < registrars; i++) {
            kill(i, power, false, 300 + random.nextInt(1_500));
        }
        for (Lector l : lectors) {
            if (l.up && !l.frozen && random.nextBoolean()) {
                killLector(l, 300 + random.nextInt(1_500));
            }
        }
    }

    private void killLector(Lector l, long forMs) {
        l.up = false;
        l.clock.die();
        fleet.network.down(l.imprint);
        l.lastEvent = now();
        note(l.imprint + " is killed");
        later(forMs, () -> {
            open(l);
            l.lastEvent = now();
            note(l.imprint + " starts");
        });
    }

    private void troubleLector() {
        Lector l = lectors.get(random.nextInt(lectors.size()));
        if (!l.up || l.frozen || l.cut) {
            return;
        }
        long forMs = 200 + random.nextInt(5_300);
        l.lastEvent = now();
        switch (random.nextInt(3)) {
            case 0 -> killLector(l, forMs);
            case 1 -> {
                l.frozen = true;
                l.clock.freeze();
                fleet.network.freeze(l.imprint);
                note(l.imprint + " freezes for " + forMs);
                later(forMs, () -> {
                    l.frozen = false;
                    l.lastEvent = now();
                    fleet.network.thaw(l.imprint);
                    l.clock.thaw();
                    note(l.imprint + " thaws");
                });
            }
            default -> {
                l.cut = true;
                note(l.imprint + " is cut off for " + forMs);
                for (int i = 0; i < registrars; i++) {
                    fleet.network.cutBoth(l.imprint, Fleet.imprint(i));
                }
                later(forMs, () -> {
                    l.cut = false;
                    l.lastEvent = now();
                    note(l.imprint + " is joined");
                    for (int i = 0; i < registrars; i++) {
                        fleet.network.join(l.imprint, Fleet.imprint(i));
                        fleet.network.join(Fleet.imprint(i), l.imprint);
                    }
                });
            }
        }
    }

    // ---- the rules ----

    private boolean majorityRuns() {
        int n = 0;
        for (int i = 0; i < registrars; i++) {
            n += fleet.isRunning(i) && !frozen.contains(i) && !isolated.containsKey(i) && !diskTrouble.contains(i) ? 1 : 0;
        }
        return n > registrars / 2;
    }

    private boolean settled() {
        return majorityRuns() && diskTrouble.isEmpty() && now() - lastCoreEvent >= CONTACT_MS;
    }

    private long majoritySince = NEVER;

    private void check() {
        long now = now();
        if (!majorityRuns()) {
            majoritySince = now + STEP_MS;
        }
        boolean settled = settled();
        for (Lector l : lectors) {
            if (!l.up || l.frozen || l.cut || now - l.lastEvent < CONTACT_MS) {
                continue;
            }
            for (Change c : changes) {
                if (c.taken == null || !c.taken || l.edition >= c.edition) {
                    continue;
                }
                boolean late = settled && now - c.takenAt > APPLY_MS;
                boolean veryLate = now - c.takenAt > APPLY_MS + SKEW_MS && now - majoritySince > APPLY_MS + SKEW_MS;
                if (late || veryLate) {
                    broken(l.imprint + " still has " + l.edition + " when " + c.edition + " was confirmed " + (now - c.takenAt)
                            + " ms ago, core " + (settled ? "settled" : "not settled"));
                }
            }
            if (settled && now - firstAcknowledged > APPLY_MS && l.edition == 0) {
                broken(l.imprint + " has no table");
            }
        }
        for (Change c : changes) {
            if (!settled) {
                c.settledSince = now;
            } else if (c.taken == null && !c.givenUp && now - c.settledSince > ACK_MS) {
                broken("edition " + c.edition + " got no answer in " + (now - c.settledSince) + " ms of calm");
            }
        }
    }

    private void run(long ms) {
        for (long t = 0; t < ms; t += STEP_MS) {
            fleet.run(STEP_MS);
            check();
        }
    }

    /** Plays one day and ends in calm. */
    void play(int steps) {
        run(5_000);
        change(1);
        run(2_000);
        for (int i = 0; i < steps; i++) {
            switch (random.nextInt(12)) {
                case 0, 1, 2 -> troubleCore();
                case 3, 4 -> troubleLector();
                case 5 -> {
                    if (random.nextInt(4) == 0) {
                        killAll();
                    } else if (random.nextInt(3) == 0) {
                        long by = (random.nextInt(7_200) - 3_600) * 1_000L;
                        note("the time of day steps by " + by);
                        fleet.almanac.stepWallClock(by);
                    }
                }
                case 6 -> change(2);
                case 7 -> readBack();
                case 8 -> storm(4 + random.nextInt(12), 60 + random.nextInt(600));
                default -> change(1);
            }
            run(random.nextInt(3) == 0 ? 50 + random.nextInt(4_000) : 20 + random.nextInt(500));
        }
        run(8_000);
        change(1);
        run(CONTACT_MS + APPLY_MS + 2_000);
        if (pending() || !settled()) {
            broken("no calm at the end");
        }
        readBack();
        run(2_000);
        for (Lector l : lectors) {
            if (l.edition < acknowledged) {
                broken(l.imprint + " has " + l.edition + " at the end, and " + acknowledged + " was confirmed");
            }
        }
    }

    /** Plays a calm day on which something goes on that the checks are not told of. */
    void playUntold(Consumer<ReadingRoom> what) {
        run(5_000);
        change(1);
        run(2_000);
        what.accept(this);
        change(1);
        run(20_000);
    }

    /** A lector that nobody reaches any more. */
    void forget() {
        for (int i = 0; i < registrars; i++) {
            fleet.network.cutBoth(lectors.get(0).imprint, Fleet.imprint(i));
        }
    }

    /** A control plane that answers nobody. */
    void muteAll() {
        for (int i = 0; i < registrars; i++) {
            for (int o = 0; o < registrars; o++) {
                fleet.network.cut(Fleet.imprint(i), Fleet.imprint(o));
            }
        }
    }

    /** A lector that takes whatever it is given. */
    void handOld() {
        inForce(lectors.get(0), 0);
    }

    /** A change that is refused and then delivered. */
    void deliverRefused() {
        refused.add(99L);
        inForce(lectors.get(0), 99);
    }

    /** A second change on the version of the first. */
    void confirmTwice() {
        Change twin = new Change(changes.get(0).match, 50);
        changes.add(twin);
        twin.heard(Custodian.Verdict.TAKEN, 0);
    }
}
