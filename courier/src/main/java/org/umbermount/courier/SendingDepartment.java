package org.umbermount.courier;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.umbermount.archive.ConfigurationState;
import org.umbermount.archive.Census;
import org.umbermount.archive.CensusEntry;
import org.umbermount.archive.Replica;
import org.umbermount.archive.MajorityContact;
import org.umbermount.archive.ChainClient;
import org.umbermount.archive.Regulations;
import org.umbermount.archive.FailureDetector;
import org.umbermount.archive.StatusPage;
import org.umbermount.archive.LeaseOffice;
import org.umbermount.gazetteer.Gazetteer;
import org.umbermount.gazetteer.Placename;
import org.umbermount.kernel.Clock;
import org.umbermount.kernel.Department;
import org.umbermount.kernel.Edition;
import org.umbermount.kernel.HouseRules;
import org.umbermount.kernel.Imprint;
import org.umbermount.kernel.Institution;
import org.umbermount.kernel.Moment;
import org.umbermount.kernel.Postbag;
import org.umbermount.kernel.Pressmark;
import org.umbermount.kernel.Role;
import org.umbermount.kernel.Safeguard;
import org.umbermount.kernel.Script;

/** The sending side as a plug-in of the registrar: one sender for each proxy of the zones whose duty is held. */
public final class SendingDepartment implements Department {
    private static final Logger LOG = LoggerFactory.getLogger("courier");
    private static final long LOOP_MS = 500;
    private static final long FORGET_MS = 20_000;
    /** A lector speaks up to every registrar that it knows within 5 s. */
    private static final long INTRODUCE_MS = 6_000;
    private static final long ASKER_LOOK_MS = 20;
    private static final int ASKER_LOOKS = 25;
    private static final String QUOTA = "quota/";
    private static final long ATTEST_MS = 450;
    private static final long RENEW_MS = 1_100;
    private static final long VOUCH_MS = 5_000;

    private final Map<Imprint, Known> proxies = new TreeMap<>();
    private final Map<Imprint, Consignor> consignors = new HashMap<>();
    private final Map<Imprint, Long> askers = new HashMap<>();
    private Institution institution;
    private Clock clock;
    private Postbag post;
    private Replica replica;
    private Census census;
    private LeaseOffice leases;
    private FailureDetector detector;
    private MajorityContact contact;
    private boolean dirty = true;
    private boolean assured;
    private Inventory table = Inventory.EMPTY;
    private Edition packedEdition = Edition.NONE;
    private Map<String, byte[]> packedConfiguration = Map.of();

    private final Map<Imprint, Signpost> waitingForVouch = new HashMap<>();
    private ChainClient chainClient;
    private boolean strict;
    private Moment vouchedUntil = Moment.NEVER;
    private final Vouching vouching = new Vouching() {
        @Override
        public Edition edition() {
            return chainClient.attested();
        }

        @Override
        public Moment at() {
            return chainClient.attestedAt();
        }
    };

    private Map<Pressmark, Packed> packedServers = Map.of();

    private record Packed(CensusEntry entry, String key, byte[] bytes) {
    }

    private static final class Known {
        long stamp;
        final String zone;
        long life;
        Moment heard;

        Known(String zone, long life, Moment heard) {
            this.zone = zone;
            this.life = life;
            this.heard = heard;
        }
    }

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
        return role == Role.REGISTRAR;
    }

    @Override
    public void open(Institution host) {
        institution = host;
        clock = host.clock();
        post = host.find(Postbag.class);
        replica = host.find(Replica.class);
        census = host.find(Census.class);
        leases = host.find(LeaseOffice.class);
        detector = host.find(FailureDetector.class);
        contact = host.find(MajorityContact.class);
        chainClient = host.find(ChainClient.class);
        strict = host.rules().bounds().sharing().strictRevocation();
        post.subscribe(Postbag.Topic.SIGNPOST, (from, body) -> met(from, Signpost.unpack(body)));
        post.subscribe(Postbag.Topic.INTRODUCTION, (from, body) -> introduced(body));
        post.subscribe(Postbag.Topic.DISPATCH, (from, body) -> acknowledged(from, Dispatch.unpack(body)));
        host.find(Gazetteer.class).observe(this::noticed);
        replica.onCommit(c -> {
            changed();
            beginOnceAssured();
        });
        detector.observe(p -> beginOnceAssured());
        census.observe(this::changed);
        leases.observe(new LeaseOffice.Observer() {
            @Override
            public void began(String zone, long epoch) {
                reconcile();
            }

            @Override
            public void ended(String zone) {
                reconcile();
            }

            @Override
            public void moved(String duty) {
                if (duty.startsWith(QUOTA)) {
                    changed();
                } else if (Safeguard.LECTORS_INTRODUCED.holds()) {
                    introduce(duty);
                }
            }
        });
        replica.onView(c -> changed());
        if (strict) {
            clock.every(ATTEST_MS, this::attest);
            chainClient.onAttested(this::vouchWaiting);
        }
        host.find(StatusPage.class).addSection(this::show);
        host.tally().gauge("courier.proxies.known", proxies::size);
        host.tally().gauge("courier.proxies.served", consignors::size);
        clock.every(LOOP_MS, this::reconcile);
    }

    /** What each proxy is known and assumed to hold. */
    private void show(ObjectNode page) {
        page.putObject("table").put("edition", table.edition().value()).put("entries", table.entries().size())
                .put("vouchedEdition", vouching.at() == null ? 0 : vouching.edition().value())
                .put("vouchedMsAgo", vouching.at() == null ? -1 : clock.now().since(vouching.at()));
        ArrayNode list = page.putArray("proxies");
        for (Map.Entry<Imprint, Known> e : proxies.entrySet()) {
            Consignor c = consignors.get(e.getKey());
            ObjectNode one = list.addObject().put("daemon", e.getKey().toString()).put("zone", e.getValue().zone)
                    .put("heardMsAgo", clock.now().since(e.getValue().heard)).put("servedHere", c != null);
            if (c != null) {
                one.put("knownNum", c.knownNum()).put("knownEdition", c.knownEdition().value())
                        .put("assumedNum", c.assumedNum()).put("rttMs", c.smoothedRtt());
            }
        }
    }

    /** Tells the new holder of a zone's duty which lectors of the zone are there: it may have been heard of by none of them. */
    private void introduce(String zone) {
        Imprint holder = leases.holder(zone);
        List<Map.Entry<Imprint, Known>> there = new ArrayList<>();
        for (Map.Entry<Imprint, Known> e : proxies.entrySet()) {
            if (e.getValue().zone.equals(zone) && clock.now().since(e.getValue().heard) < INTRODUCE_MS) {
                there.add(e);
            }
        }
        if (holder != null && !holder.equals(post.self()) && !there.isEmpty()) {
            post.send(holder, Postbag.Topic.INTRODUCTION, Script.write().text(zone)
                    .list(there, (o, e) -> o.imprint(e.getKey()).num(e.getValue().life)).done());
        }
    }

    private void introduced(byte[] body) throws Script.UnreadableException {
        Script.Reader in = Script.read(body);
        String zone = in.text();
        boolean any = false;
        for (Signpost.Proxy p : in.list(one -> new Signpost.Proxy(one.imprint(), zone, one.num()))) {
            any |= proxies.putIfAbsent(p.imprint(), new Known(zone, p.life(), clock.now())) == null;
        }
        if (any) {
            changed();
            reconcile();
        }
    }

    private void noticed(Placename p) {
        if (p.role() == Role.LECTOR && p.age() == 0 && !proxies.containsKey(p.imprint())) {
            proxies.put(p.imprint(), new Known(p.zone(), 0, clock.now()));
            reconcile();
        }
    }

    /** Keeps the word on the newest edition fresh while there is someone to pass it on to. */
    private void attest() {
        if (replica.standing() != Replica.Standing.RECOVERING
                && (!consignors.isEmpty() || clock.now().isBefore(vouchedUntil))) {
            chainClient.askNewest();
        }
    }

    /** Tells a proxy that is not served here, or late served, how fresh its table is. */
    private void vouch(Imprint to, Signpost s, Consignor consignor) {
        Moment now = clock.now();
        vouchedUntil = now.plus(VOUCH_MS);
        if (vouching.at() == null || now.since(vouching.at()) > 2 * ATTEST_MS) {
            if (waitingForVouch.isEmpty() || waitingForVouch.size() % 16 == 0) {
                chainClient.askNewest();
            }
            waitingForVouch.put(to, s);
            return;
        }
        if (consignor != null) {
            consignor.renew();
        } else if (vouching.at() != null) {
            post.send(to, Postbag.Topic.DISPATCH, new Dispatch(0, s.life(), 0, 0, 0, 0, 0, s.stamp(), null,
                    vouching.edition().value(), now.since(vouching.at())).pack());
        }
    }

    private void vouchWaiting() {
        Map<Imprint, Signpost> waiting = new HashMap<>(waitingForVouch);
        waitingForVouch.clear();
        waiting.forEach((to, s) -> vouch(to, s, consignors.get(to)));
    }

    private void met(Imprint from, Signpost s) {
        Known known = proxies.get(from);
        boolean fresh = known == null || !known.zone.equals(s.zone());
        if (fresh) {
            known = new Known(s.zone(), s.life(), clock.now());
            proxies.put(from, known);
            changed();
        }
        known.heard = clock.now();
        known.life = s.life();
        known.stamp = s.stamp();
        if (fresh) {
            reconcile();
        }
        Consignor consignor = consignors.get(from);
        if (consignor != null) {
            consignor.announced(s.life());
        }
        if (consignor != null) {
            consignor.stamped(s.life(), s.stamp(), known.heard);
        }
        if (strict && s.wantsVoucher()) {
            vouch(from, s, consignor);
        }
        if (s.empty() && consignor == null && askers.put(from, s.life()) == null && askers.size() == 1) {
            serveAskers(ASKER_LOOKS);
        }
    }

    /** Gives empty proxies a baseline as soon as this daemon can vouch for what it holds. */
    private void serveAskers(int looksLeft) {
        if (reliable()) {
            Inventory.Difference everything = table().since(Inventory.EMPTY);
            for (Map.Entry<Imprint, Long> e : askers.entrySet()) {
                post.send(e.getKey(), Postbag.Topic.DISPATCH,
                        baseline(e.getKey(), e.getValue(), everything).pack());
                institution.tally().count("courier.baselines");
            }
            askers.clear();
        } else if (looksLeft > 0) {
            clock.after(ASKER_LOOK_MS, () -> serveAskers(looksLeft - 1));
        } else {
            // Those that still have nothing ask again.
            askers.clear();
        }
    }

    private Dispatch baseline(Imprint to, long life, Inventory.Difference everything) {
        Known known = proxies.get(to);
        boolean vouch = strict && known != null && known.life == life && vouching.at() != null;
        if (strict) {
            vouchedUntil = clock.now().plus(VOUCH_MS);
            if (vouching.at() == null) {
                chainClient.askNewest();
            }
        }
        return new Dispatch(0, life, 0, 1, 0, 0, 0, vouch ? known.stamp : -1, everything,
                vouch ? vouching.edition().value() : -1, vouch ? clock.now().since(vouching.at()) : 0);
    }

    /**
     * Whether what this daemon holds may be handed out to a lector that has nothing: whole, and confirmed just now as the
     * newest by a majority, none of those heard of holding anything newer.
     */
    private boolean reliable() {
        Edition edition = replica.committed().edition();
        if (!census.ready() || !assured() || replica.newestEdition().isAfter(edition)
                || Safeguard.EDITION_CONFIRMED_BEFORE_TABLES.holds() && !contact.confirms(edition)) {
            return false;
        }
        for (FailureDetector.Peer p : detector.peers()) {
            if (detector.connected(p.imprint()) && p.report().newestEdition() > edition.value()) {
                return false;
            }
        }
        return true;
    }

    /**
     * Whether what this daemon holds has been confirmed as the newest since it was last without contact, or without its
     * memory. A lector that holds nothing would take an older edition for the one in force.
     */
    private boolean assured() {
        boolean now = contact.assured();
        assured = Safeguard.EDITION_CONFIRMED_BEFORE_TABLES.holds() ? now : assured || now;
        return assured;
    }

    private void beginOnceAssured() {
        boolean before = assured;
        if (!before && assured()) {
            reconcile();
            offerAll();
        }
    }

    private void acknowledged(Imprint from, Dispatch ack) {
        Known known = proxies.get(from);
        if (known == null) {
            return;
        }
        known.heard = clock.now();
        Consignor consignor = consignors.get(from);
        if (consignor == null) {
            return;
        }
        long epoch = leases.epoch(known.zone);
        if (ack.epoch() > epoch) {
            leases.noteEpoch(known.zone, ack.epoch());
            return;
        }
        consignor.acknowledged(ack);
    }

    private void changed() {
        if (!dirty) {
            dirty = true;
            clock.execute(this::offerAll);
        }
    }

    private void offerAll() {
        if (consignors.isEmpty() || !census.ready() || !assured()) {
            return;
        }
        Inventory now = table();
        consignors.values().forEach(c -> c.offer(now));
    }

    /** Wanted: a sender for each proxy of each zone whose duty is held here. */
    private void reconcile() {
        Moment now = clock.now();
        boolean forgot = proxies.values().removeIf(k -> now.since(k.heard) > FORGET_MS);
        Iterator<Map.Entry<Imprint, Consignor>> it = consignors.entrySet().iterator();
        while (it.hasNext()) {
            Map.Entry<Imprint, Consignor> e = it.next();
            Known known = proxies.get(e.getKey());
            if (known == null || leases.epoch(known.zone) == 0) {
                e.getValue().close();
                it.remove();
            }
        }
        boolean ready = census.ready() && assured();
        for (Map.Entry<Imprint, Known> e : proxies.entrySet()) {
            long epoch = leases.epoch(e.getValue().zone);
            if (epoch > 0 && ready && !consignors.containsKey(e.getKey())) {
                Consignor c = new Consignor(e.getKey(), e.getValue().life, epoch, clock, post, institution.tally());
                consignors.put(e.getKey(), c);
                if (strict) {
                    c.vouch(vouching, RENEW_MS);
                    if (e.getValue().life != 0) {
                        c.stamped(e.getValue().life, e.getValue().stamp, e.getValue().heard);
                    }
                }
                String zone = e.getValue().zone;
                c.under(() -> leases.epoch(zone) == epoch);
                c.offer(table());
            }
        }
        if (forgot) {
            changed();
        }
    }

    /** The table as it is now: the committed configuration joined with the servers. */
    private Inventory table() {
        if (!dirty) {
            return table;
        }
        dirty = false;
        ConfigurationState committed = replica.committed();
        if (!committed.edition().equals(packedEdition)) {
            Regulations regulations = replica.regulations();
            if (regulations != null) {
                packedConfiguration = Tables.packConfiguration(regulations);
                packedEdition = committed.edition();
            }
        }
        Map<String, byte[]> entries = new HashMap<>(packedConfiguration);
        Map<Pressmark, Packed> fresh = new HashMap<>();
        for (CensusEntry e : census.entries()) {
            if (!e.standing().isGone()) {
                Packed old = packedServers.get(e.id());
                Packed now = old != null && old.entry.sameNews(e) && old.entry.warmMs() == e.warmMs()
                        ? old : new Packed(e, Inventory.INSTANCE + e.id(), Tables.packInstance(e));
                fresh.put(e.id(), now);
                entries.put(now.key, now.bytes);
            }
        }
        packedServers = fresh;
        HouseRules rules = institution.rules();
        Imprint head = replica.view().head();
        if (rules.guarantees(HouseRules.KEYS) && head != null) {
            entries.put(Inventory.DUTY + "loans", Script.write().imprint(head).done());
        }
        entries.put(Inventory.REGISTRAR + post.self(), Tables.packRegistrar(post.self(), rules.zone()));
        for (FailureDetector.Peer p : detector.peers()) {
            if (p.report() != null && detector.lostForMs(p.imprint()) < FORGET_MS) {
                entries.put(Inventory.REGISTRAR + p.imprint(), Tables.packRegistrar(p.imprint(), p.report().zone()));
            }
        }
        for (String duty : rules.guarantees(HouseRules.QUOTA) ? LeaseOffice.QUOTA_DUTIES : List.<String>of()) {
            Imprint holder = leases.holder(duty);
            if (holder != null) {
                entries.put(Inventory.DUTY + duty, Script.write().imprint(holder).done());
            }
        }
        entries.put(Inventory.FLEET, Script.write().num(proxies.size()).done());
        table = Inventory.of(entries);
        return table;
    }
}
