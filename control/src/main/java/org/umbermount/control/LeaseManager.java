package org.umbermount.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.umbermount.kernel.Clock;
import org.umbermount.kernel.DaemonAddress;
import org.umbermount.kernel.MessagePackCodec;
import org.umbermount.kernel.Messenger;
import org.umbermount.kernel.Metrics;
import org.umbermount.kernel.MonotonicTime;
import org.umbermount.kernel.Safeguard;

/**
 * Leases on duties, one for each zone. A majority of the voters grants; the holder counts from when it asked
 * and stops before the grants end; the epoch rises with each new holder.
 */
public final class LeaseManager {
    private static final Logger LOG = LoggerFactory.getLogger("control");
    public static final long TERM_MS = 1_500;
    /** Each keeps the counts of a share of the tenants. */
    public static final List<String> QUOTA_DUTIES =
            List.of("quota/0", "quota/1", "quota/2", "quota/3", "quota/4", "quota/5", "quota/6", "quota/7");

    private static final long LOOP_MS = 200;
    private static final long RENEW_MS = 450;
    private static final long MARGIN_MS = 150;
    /** A grant that took longer to arrive is not used, so that who has become a holder shows soon after. */
    private static final long GRANT_MS = 300;
    /** How many waits of two rounds there are to draw from, none included, when the voters of several are split. */
    private static final int SPLIT_WAITS = 3;

    private static final long REPORTED_MS = GRANT_MS + 150;

    private enum Kind {
        ASK,
        GRANT,
        DENY,
        RELEASE
    }

    private static final class Granted {
        DaemonAddress holder;
        long epoch;
        MonotonicTime until = MonotonicTime.NEVER;
    }

    private static final class Held {
        long epoch;
        MonotonicTime until = MonotonicTime.NEVER;
        MonotonicTime asked = MonotonicTime.NEVER;
        final Set<DaemonAddress> granted = new HashSet<>();
        final Set<DaemonAddress> grantedLate = new HashSet<>();
        final Set<DaemonAddress> denied = new HashSet<>();
        MonotonicTime notAskedBefore = MonotonicTime.NEVER;
        MonotonicTime vacantSince;
        boolean active;
    }

    /** Told when a duty begins or ends here. */
    public interface Observer {
        /** The lease on a duty has been granted to this daemon under the given epoch. */
        void began(String zone, long epoch);

        /** The lease on a duty is no longer held here: it ran out, was released, or its view ended. */
        void ended(String zone);

        /** A grant that this daemon has given has changed hands. */
        default void moved(String duty) {}
    }

    private final Clock clock;
    private final Messenger messenger;
    private final Replica replica;
    private final FailureDetector detector;
    private final Metrics metrics;
    private final LeaseEpochs epochs;
    private final String ownZone;
    private final DutyCandidates candidates;
    private final List<String> zones;
    private final List<String> quotas;
    private final Random random;
    /** Since when this daemon knows what it has granted: its start, or when it came to vote. */
    private MonotonicTime grantsKnownSince;

    private boolean voting;
    private final Map<String, Granted> grants = new HashMap<>();
    private final Map<String, Held> held = new TreeMap<>();
    private final List<Observer> observers = new ArrayList<>();

    /** Manages a lease for each zone and for each of the quota duties; nothing is asked for before {@link #start}. */
    LeaseManager(
            Clock clock,
            Messenger messenger,
            Replica replica,
            FailureDetector detector,
            Metrics metrics,
            LeaseEpochs epochs,
            String ownZone,
            Iterable<String> zones,
            List<String> quotas,
            Random random) {
        this.quotas = List.copyOf(quotas);
        this.clock = clock;
        this.messenger = messenger;
        this.replica = replica;
        this.detector = detector;
        this.metrics = metrics;
        this.epochs = epochs;
        this.ownZone = ownZone;
        this.candidates = new DutyCandidates(messenger.self(), replica, detector, ownZone);
        this.zones = new ArrayList<>();
        zones.forEach(this.zones::add);
        this.zones.addAll(quotas);
        this.random = random;
        this.grantsKnownSince = clock.now();
        this.voting = replica.view().votes(messenger.self());
        replica.onView(this::viewChanged);
        messenger.subscribe(Messenger.Topic.LEASE, this::receive);
    }

    /** Begins to ask for the duties that this daemon should hold. */
    public void start() {
        epochs.start();
        clock.every(LOOP_MS, this::reconcile);
        askForReports();
    }

    /** Asks the others what they hold; who answers this could not become a holder by what is not known here. */
    private void askForReports() {
        clock.after(REPORTED_MS + 1, detector::callNow);
    }

    /** Adds an observer of the duties held here; it is called on the event loop. */
    public void observe(Observer observer) {
        observers.add(observer);
    }

    /** The epoch of a duty held here now, or 0. */
    public long epoch(String zone) {
        Held h = held.get(zone);
        return h != null && h.active && clock.now().isBefore(h.until) ? h.epoch : 0;
    }

    /** All duties: the zones first, then those of the quotas. */
    public List<String> zones() {
        return zones;
    }

    /** Who holds a zone's duty as far as this daemon has granted it; null if nobody. */
    public DaemonAddress holder(String zone) {
        if (epoch(zone) > 0) {
            return messenger.self();
        }
        Granted g = grants.get(zone);
        return g != null && clock.now().isBefore(g.until) ? g.holder : null;
    }

    /** Who takes the seat of another does not know what that one has granted, as after a restart. */
    private void viewChanged(View view) {
        boolean votes = view.votes(messenger.self());
        if (votes && !voting && Safeguard.GRANTS_WAIT_AFTER_JOINING.holds()) {
            grantsKnownSince = clock.now();
            askForReports();
        }
        voting = votes;
    }

    /** Makes sure that the next epoch asked for is above one that was met. */
    public void noteEpoch(String zone, long epoch) {
        Held h = held.computeIfAbsent(zone, z -> new Held());
        if (epoch > h.epoch) {
            end(zone, h, "a later epoch was met");
            h.epoch = epoch;
            askAgain(zone, h);
        }
    }

    /** Gives up every duty, as before a planned stop. */
    public void releaseAll() {
        for (String zone : zones) {
            release(zone, "this daemon is leaving");
        }
    }

    private void reconcile() {
        MonotonicTime now = clock.now();
        for (String zone : zones) {
            Held h = held.computeIfAbsent(zone, z -> new Held());
            if (h.active && !now.isBefore(h.until)) {
                end(zone, h, "the lease ran out");
            }
            if (!wanted(zone, h, now)) {
                if (h.active || now.since(h.asked) < TERM_MS) {
                    release(
                            zone,
                            candidates.selfStandsBack() ? "this daemon is slow" : "a daemon of the zone takes it");
                }
                continue;
            }
            if (isSplit(h, now)) {
                release(zone, "its voters are split");
                h.notAskedBefore = now.plus(2 * LOOP_MS * random.nextInt(SPLIT_WAITS));
            }
            if (!now.isBefore(h.notAskedBefore) && now.since(h.asked) >= (h.active ? RENEW_MS : 2 * LOOP_MS)) {
                ask(zone, h, now);
            }
        }
    }

    /**
     * Whether this daemon and others each have a part of the voters, and none a majority. Each would keep its part by asking
     * again; so whoever finds it so gives its part back, and waits for a time that is drawn.
     */
    private static boolean isSplit(Held h, MonotonicTime now) {
        long waited = now.since(h.asked);
        return !h.active
                && waited > GRANT_MS
                && waited < TERM_MS
                && h.granted.size() > 1
                && !h.denied.isEmpty()
                && Safeguard.SPLIT_GRANTS_GIVEN_BACK.holds();
    }

    /** Whether this daemon should have the duty. */
    private boolean wanted(String zone, Held h, MonotonicTime now) {
        if (detector.isLeaving()
                || !replica.view().votes(messenger.self())
                || replica.standing() == Replica.Standing.RECOVERING
                || !detector.reachesMajority(replica.view())
                || candidates.selfStandsBack()) {
            h.vacantSince = null;
            return false;
        }
        if (zone.equals(ownZone)) {
            return candidates.isFirst(zone, 0);
        }
        if (quotas.contains(zone) && h.active && tooMany() && !candidates.isFirst(zone, zone.hashCode())) {
            return false;
        }
        if (candidates.hasLocalPeer(zone, h.active ? DutyCandidates.STEADY_MS : 0)) {
            h.vacantSince = null;
            return false;
        }
        if (h.active) {
            return true;
        }
        DaemonAddress other = holder(zone);
        if (other != null && !other.equals(messenger.self())) {
            h.vacantSince = null;
            return false;
        }
        if (h.vacantSince == null) {
            h.vacantSince = now;
        }
        return now.since(h.vacantSince) > LOOP_MS
                && !detector.unsettled(DutyCandidates.STEADY_MS)
                && candidates.isFirst(zone, zone.hashCode());
    }

    /** Whether this daemon has clearly more than its share of the quota duties, as the first one up has. */
    private boolean tooMany() {
        int mine = 0;
        for (String q : quotas) {
            Held h = held.get(q);
            mine += h != null && h.active ? 1 : 0;
        }
        int daemons = 1;
        for (FailureDetector.Peer p : detector.peers()) {
            daemons += detector.goodForMs(p.daemonAddress()) >= DutyCandidates.STEADY_MS ? 1 : 0;
        }
        return mine > (quotas.size() + daemons - 1) / daemons + 1;
    }

    private void ask(String zone, Held h, MonotonicTime now) {
        if (!h.active) {
            h.epoch = nextEpoch(zone, h);
        }
        h.asked = now;
        h.granted.clear();
        h.grantedLate.clear();
        h.denied.clear();
        byte[] body = MessagePackCodec.write()
                .num(Kind.ASK.ordinal())
                .text(zone)
                .num(h.epoch)
                .num(now.millis())
                .num(replica.view().number())
                .done();
        for (Voter f : replica.view().electorate()) {
            if (f.daemonAddress().equals(messenger.self())) {
                grantOwn(zone, h.epoch, now, replica.view().number());
            } else if (detector.connected(f.daemonAddress())) {
                messenger.send(f.daemonAddress(), Messenger.Topic.LEASE, body);
            }
        }
    }

    /** Above every epoch of the duty that is known here, and of the present view. */
    private long nextEpoch(String zone, Held h) {
        Granted g = grants.get(zone);
        long known = LeaseEpochs.join(h.epoch, g == null ? 0 : g.epoch);
        return LeaseEpochs.join(known, LeaseEpochs.of(replica.view().number(), epochs.first())) + 1;
    }

    private void grantOwn(String zone, long epoch, MonotonicTime asked, long view) {
        epochs.whenCovered(epoch, () -> {
            if (clock.now().since(asked) <= GRANT_MS && grant(zone, messenger.self(), epoch, view)) {
                granted(messenger.self(), zone, epoch, asked.millis());
            }
        });
    }

    /** Asks at once where the last question failed only for its epoch. */
    private void askAgain(String zone, Held h) {
        MonotonicTime now = clock.now();
        if (zones.contains(zone) && wanted(zone, h, now)) {
            ask(zone, h, now);
        }
    }

    private void receive(DaemonAddress from, byte[] body) throws MessagePackCodec.UnreadableException {
        MessagePackCodec.Reader in = MessagePackCodec.read(body);
        int kind = (int) in.num();
        if (kind < 0 || kind >= Kind.values().length) {
            throw new MessagePackCodec.UnreadableException("an unknown message about leases", null);
        }
        String zone = in.text();
        long epoch = in.num();
        switch (Kind.values()[kind]) {
            case ASK -> {
                long asked = in.num();
                long view = in.num();
                if (view == replica.view().number()) {
                    MonotonicTime came = clock.now();
                    epochs.whenCovered(epoch, () -> {
                        // Whoever asked uses no grant that comes later.
                        if (clock.now().since(came) <= GRANT_MS) {
                            answer(from, zone, epoch, asked, view);
                        }
                    });
                } else {
                    answer(from, zone, epoch, asked, view);
                }
            }
            case GRANT -> granted(from, zone, epoch, in.num());
            case DENY -> {
                Held h = held.get(zone);
                if (h != null && h.asked.millis() == in.num()) {
                    h.denied.add(from);
                }
                if (h != null && !h.active && LeaseEpochs.join(epoch, h.epoch) > h.epoch) {
                    h.epoch = LeaseEpochs.join(epoch, h.epoch);
                    askAgain(zone, h);
                }
            }
            case RELEASE -> {
                Granted g = grants.get(zone);
                if (g != null && from.equals(g.holder) && g.epoch == epoch) {
                    g.until = MonotonicTime.NEVER;
                }
            }
            default -> throw new IllegalStateException();
        }
    }

    private void answer(DaemonAddress from, String zone, long epoch, long asked, long view) {
        boolean yes = grant(zone, from, epoch, view);
        Granted g = grants.get(zone);
        long newest = LeaseEpochs.join(g == null ? 0 : g.epoch, epochs.floor());
        messenger.send(
                from,
                Messenger.Topic.LEASE,
                MessagePackCodec.write()
                        .num((yes ? Kind.GRANT : Kind.DENY).ordinal())
                        .text(zone)
                        .num(yes ? epoch : newest)
                        .num(asked)
                        .done());
    }

    private boolean grant(String zone, DaemonAddress who, long epoch, long view) {
        MonotonicTime now = clock.now();
        // Grants of one view only are counted together, and none is given under a promise: so whoever asks the voters
        // of a
        // later view meets one that has granted.
        if ((view != replica.view().number() || replica.promised()) && Safeguard.GRANTS_OF_ONE_VIEW.holds()) {
            return false;
        }
        // What was granted before the memory was lost is above no floor here; in a later view every epoch is above it.
        if (!replica.holdsMemoryOfView() && Safeguard.GRANTS_WITH_MEMORY_OF_VIEW.holds()) {
            return false;
        }
        // What was granted before a restart is not remembered: let it run out first, unless all who could hold it say
        // that they do not.
        if (!replica.view().votes(messenger.self())
                || Safeguard.GRANTS_WAIT_AFTER_RESTART.holds()
                        && now.since(grantsKnownSince) < TERM_MS
                        && !nobodyHolds(zone, who)) {
            return false;
        }
        Granted g = grants.computeIfAbsent(zone, z -> new Granted());
        boolean same = who.equals(g.holder) && epoch == g.epoch;
        boolean free = !now.isBefore(g.until) || who.equals(g.holder);
        if (!same && (!free || epoch <= g.epoch || LeaseEpochs.counter(epoch) <= epochs.floor())) {
            return false;
        }
        boolean moved = !who.equals(g.holder);
        g.holder = who;
        g.epoch = epoch;
        g.until = now.plus(TERM_MS);
        if (moved) {
            observers.forEach(o -> o.moved(zone));
        }
        return true;
    }

    /**
     * Whether every voter but the one that asks has said, asked well after this daemon's start, that it does not hold the
     * duty. Only voters hold duties, and none becomes a holder later than {@link #GRANT_MS} after it asked.
     */
    private boolean nobodyHolds(String duty, DaemonAddress except) {
        for (Voter f : replica.view().electorate()) {
            DaemonAddress who = f.daemonAddress();
            if (who.equals(except) || who.equals(messenger.self())) {
                continue;
            }
            if (!detector.answeredSince(who, grantsKnownSince.plus(REPORTED_MS))
                    || detector.peer(who).report().duties().contains(duty)) {
                return false;
            }
        }
        return true;
    }

    /** Whether this daemon leaves duties to others, being slow. It alone says so, and all go by that. */
    boolean standsBack() {
        return candidates.selfStandsBack();
    }

    /** The duties that are held here now. */
    List<String> activeDuties() {
        List<String> active = new ArrayList<>();
        for (String duty : held.keySet()) {
            if (epoch(duty) > 0) {
                active.add(duty);
            }
        }
        return active;
    }

    private void granted(DaemonAddress from, String zone, long epoch, long asked) {
        Held h = held.get(zone);
        if (h == null || h.epoch != epoch || h.asked.millis() != asked) {
            return;
        }
        if (Safeguard.LEASE_COUNTED_FROM_ASKING.holds() && clock.now().since(h.asked) > GRANT_MS) {
            grantedLate(h, from);
            return;
        }
        h.granted.add(from);
        int needed = Safeguard.GRANTED_BY_MAJORITY.holds() ? replica.view().majority() : 1;
        if (replica.view().electorate().isEmpty() || votes(h.granted) < needed) {
            return;
        }
        MonotonicTime begins = Safeguard.LEASE_COUNTED_FROM_ASKING.holds() ? h.asked : clock.now();
        h.until = begins.plus(TERM_MS - MARGIN_MS);
        if (!h.active) {
            h.active = true;
            metrics.count("tenure.begun");
            LOG.info("Duty for {} begins with epoch {}.", zone, epoch);
            for (Observer o : observers) {
                o.began(zone, epoch);
            }
        }
    }

    private int votes(Set<DaemonAddress> grantors) {
        int votes = 0;
        for (DaemonAddress grantor : grantors) {
            if (replica.view().votes(grantor)) {
                votes++;
            }
        }
        return votes;
    }

    /** A majority that would have granted in time but for this daemon, or its links, is a sign of a pause here. */
    private void grantedLate(Held h, DaemonAddress from) {
        int needed = replica.view().majority();
        boolean inTime = votes(h.granted) >= needed;
        h.grantedLate.add(from);
        Set<DaemonAddress> all = new HashSet<>(h.granted);
        all.addAll(h.grantedLate);
        if (!inTime && votes(all) >= needed) {
            detector.pauseNoticed();
        }
    }

    private void end(String zone, Held h, String why) {
        if (h.active) {
            h.active = false;
            LOG.info("Duty for {} ends: {}.", zone, why);
            for (Observer o : observers) {
                o.ended(zone);
            }
        }
    }

    private void release(String zone, String why) {
        Held h = held.get(zone);
        // What was asked for and not granted by a majority is given back too: it would keep others waiting.
        boolean pending = h != null && clock.now().since(h.asked) < TERM_MS;
        if (h != null && Safeguard.RELEASED_FOR_GOOD.holds()) {
            // Grants that are still on their way are not wanted any more.
            h.asked = MonotonicTime.NEVER;
            h.granted.clear();
        }
        if (h == null || !h.active && !pending) {
            return;
        }
        end(zone, h, why);
        Granted own = grants.get(zone);
        if (own != null && messenger.self().equals(own.holder)) {
            own.until = MonotonicTime.NEVER;
        }
        byte[] body = MessagePackCodec.write()
                .num(Kind.RELEASE.ordinal())
                .text(zone)
                .num(h.epoch)
                .done();
        for (Voter f : replica.view().electorate()) {
            if (!f.daemonAddress().equals(messenger.self())) {
                messenger.send(f.daemonAddress(), Messenger.Topic.LEASE, body);
            }
        }
    }
}
