package org.umbermount.distribution;

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
import org.umbermount.control.ChainClient;
import org.umbermount.control.Configuration;
import org.umbermount.control.ConfigurationState;
import org.umbermount.control.FailureDetector;
import org.umbermount.control.LeaseManager;
import org.umbermount.control.MajorityContact;
import org.umbermount.control.RegisteredServer;
import org.umbermount.control.Replica;
import org.umbermount.control.ServerRegistry;
import org.umbermount.control.StatusPage;
import org.umbermount.kernel.Clock;
import org.umbermount.kernel.ConfigurationRevision;
import org.umbermount.kernel.DaemonAddress;
import org.umbermount.kernel.InstanceId;
import org.umbermount.kernel.MessagePackCodec;
import org.umbermount.kernel.Messenger;
import org.umbermount.kernel.MonotonicTime;
import org.umbermount.kernel.Plugin;
import org.umbermount.kernel.PluginHost;
import org.umbermount.kernel.Role;
import org.umbermount.kernel.Safeguard;
import org.umbermount.kernel.Settings;
import org.umbermount.membership.MemberDescriptor;
import org.umbermount.membership.PeerSampling;

/** The sending side as a plug-in of the controller: one sender for each proxy of the zones whose duty is held. */
public final class TableSenderPlugin implements Plugin {
    private static final Logger LOG = LoggerFactory.getLogger("distribution");
    private static final long LOOP_MS = 500;
    private static final long FORGET_MS = 20_000;
    /** A proxy speaks up to every controller that it knows within 5 s. */
    private static final long INTRODUCE_MS = 6_000;

    private static final long ASKER_LOOK_MS = 20;
    private static final int ASKER_LOOKS = 25;
    private static final String QUOTA = "quota/";
    private static final long ATTEST_MS = 450;
    private static final long RENEW_MS = 1_100;
    private static final long VOUCH_MS = 5_000;

    private final Map<DaemonAddress, Known> proxies = new TreeMap<>();
    private final Map<DaemonAddress, StateSender> stateSenders = new HashMap<>();
    private final Map<DaemonAddress, Long> askers = new HashMap<>();
    private PluginHost pluginHost;
    private Clock clock;
    private Messenger messenger;
    private Replica replica;
    private ServerRegistry serverRegistry;
    private LeaseManager leases;
    private FailureDetector detector;
    private MajorityContact contact;
    private boolean dirty = true;
    private boolean assured;
    private RoutingTable table = RoutingTable.EMPTY;
    private ConfigurationRevision packedEdition = ConfigurationRevision.NONE;
    private Map<String, byte[]> packedConfiguration = Map.of();

    private final Map<DaemonAddress, ProxyAnnouncer> waitingForVouch = new HashMap<>();
    private ChainClient chainClient;
    private boolean strict;
    private MonotonicTime vouchedUntil = MonotonicTime.NEVER;
    private final TableFreshness vouching = new TableFreshness() {
        @Override
        public ConfigurationRevision edition() {
            return chainClient.attested();
        }

        @Override
        public MonotonicTime at() {
            return chainClient.attestedAt();
        }
    };

    private Map<InstanceId, Packed> packedServers = Map.of();

    private record Packed(RegisteredServer entry, String key, byte[] bytes) {}

    private static final class Known {
        long stamp;
        final String zone;
        long life;
        MonotonicTime heard;

        Known(String zone, long life, MonotonicTime heard) {
            this.zone = zone;
            this.life = life;
            this.heard = heard;
        }
    }

    @Override
    public String name() {
        return "distribution";
    }

    @Override
    public int order() {
        return 30;
    }

    @Override
    public boolean serves(Role role) {
        return role == Role.CONTROLLER;
    }

    @Override
    public void open(PluginHost host) {
        pluginHost = host;
        clock = host.clock();
        messenger = host.find(Messenger.class);
        replica = host.find(Replica.class);
        serverRegistry = host.find(ServerRegistry.class);
        leases = host.find(LeaseManager.class);
        detector = host.find(FailureDetector.class);
        contact = host.find(MajorityContact.class);
        chainClient = host.find(ChainClient.class);
        strict = host.rules().bounds().sharing().strictRevocation();
        messenger.subscribe(Messenger.Topic.SIGNPOST, (from, body) -> met(from, ProxyAnnouncer.unpack(body)));
        messenger.subscribe(Messenger.Topic.INTRODUCTION, (from, body) -> introduced(body));
        messenger.subscribe(Messenger.Topic.DISPATCH, (from, body) -> acknowledged(from, Instruction.unpack(body)));
        host.find(PeerSampling.class).observe(this::noticed);
        replica.onCommit(c -> {
            changed();
            beginOnceAssured();
        });
        detector.observe(p -> beginOnceAssured());
        serverRegistry.observe(this::changed);
        leases.observe(new LeaseManager.Observer() {
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
                } else if (Safeguard.PROXIES_INTRODUCED.holds()) {
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
        host.metrics().gauge("distribution.proxies.known", proxies::size);
        host.metrics().gauge("distribution.proxies.served", stateSenders::size);
        clock.every(LOOP_MS, this::reconcile);
    }

    /** What each proxy is known and assumed to hold. */
    private void show(ObjectNode page) {
        page.putObject("table")
                .put("edition", table.edition().value())
                .put("entries", table.entries().size())
                .put(
                        "vouchedEdition",
                        vouching.at() == null ? 0 : vouching.edition().value())
                .put("vouchedMsAgo", vouching.at() == null ? -1 : clock.now().since(vouching.at()));
        ArrayNode list = page.putArray("proxies");
        for (Map.Entry<DaemonAddress, Known> e : proxies.entrySet()) {
            StateSender c = stateSenders.get(e.getKey());
            ObjectNode one = list.addObject()
                    .put("daemon", e.getKey().toString())
                    .put("zone", e.getValue().zone)
                    .put("heardMsAgo", clock.now().since(e.getValue().heard))
                    .put("servedHere", c != null);
            if (c != null) {
                one.put("knownNum", c.knownNum())
                        .put("knownEdition", c.knownEdition().value())
                        .put("assumedNum", c.assumedNum())
                        .put("rttMs", c.smoothedRtt());
            }
        }
    }

    /** Tells the new holder of a zone's duty which proxies of the zone are there: it may have been heard of by none of them. */
    private void introduce(String zone) {
        DaemonAddress holder = leases.holder(zone);
        List<Map.Entry<DaemonAddress, Known>> there = new ArrayList<>();
        for (Map.Entry<DaemonAddress, Known> e : proxies.entrySet()) {
            if (e.getValue().zone.equals(zone) && clock.now().since(e.getValue().heard) < INTRODUCE_MS) {
                there.add(e);
            }
        }
        if (holder != null && !holder.equals(messenger.self()) && !there.isEmpty()) {
            messenger.send(
                    holder,
                    Messenger.Topic.INTRODUCTION,
                    MessagePackCodec.write()
                            .text(zone)
                            .list(there, (o, e) -> o.daemonAddress(e.getKey()).num(e.getValue().life))
                            .done());
        }
    }

    private void introduced(byte[] body) throws MessagePackCodec.UnreadableException {
        MessagePackCodec.Reader in = MessagePackCodec.read(body);
        String zone = in.text();
        boolean any = false;
        for (ProxyAnnouncer.Proxy p : in.list(one -> new ProxyAnnouncer.Proxy(one.daemonAddress(), zone, one.num()))) {
            any |= proxies.putIfAbsent(p.daemonAddress(), new Known(zone, p.life(), clock.now())) == null;
        }
        if (any) {
            changed();
            reconcile();
        }
    }

    private void noticed(MemberDescriptor p) {
        if (p.role() == Role.PROXY && p.age() == 0 && !proxies.containsKey(p.daemonAddress())) {
            proxies.put(p.daemonAddress(), new Known(p.zone(), 0, clock.now()));
            reconcile();
        }
    }

    /** Keeps the word on the newest edition fresh while there is someone to pass it on to. */
    private void attest() {
        if (replica.standing() != Replica.Standing.RECOVERING
                && (!stateSenders.isEmpty() || clock.now().isBefore(vouchedUntil))) {
            chainClient.askNewest();
        }
    }

    /** Tells a proxy that is not served here, or late served, how fresh its table is. */
    private void vouch(DaemonAddress to, ProxyAnnouncer s, StateSender stateSender) {
        MonotonicTime now = clock.now();
        vouchedUntil = now.plus(VOUCH_MS);
        if (vouching.at() == null || now.since(vouching.at()) > 2 * ATTEST_MS) {
            if (waitingForVouch.isEmpty() || waitingForVouch.size() % 16 == 0) {
                chainClient.askNewest();
            }
            waitingForVouch.put(to, s);
            return;
        }
        if (stateSender != null) {
            stateSender.renew();
        } else if (vouching.at() != null) {
            messenger.send(
                    to,
                    Messenger.Topic.DISPATCH,
                    new Instruction(
                                    0,
                                    s.life(),
                                    0,
                                    0,
                                    0,
                                    0,
                                    0,
                                    s.stamp(),
                                    null,
                                    vouching.edition().value(),
                                    now.since(vouching.at()))
                            .pack());
        }
    }

    private void vouchWaiting() {
        Map<DaemonAddress, ProxyAnnouncer> waiting = new HashMap<>(waitingForVouch);
        waitingForVouch.clear();
        waiting.forEach((to, s) -> vouch(to, s, stateSenders.get(to)));
    }

    private void met(DaemonAddress from, ProxyAnnouncer s) {
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
        StateSender stateSender = stateSenders.get(from);
        if (stateSender != null) {
            stateSender.announced(s.life());
        }
        if (stateSender != null) {
            stateSender.stamped(s.life(), s.stamp(), known.heard);
        }
        if (strict && s.wantsVoucher()) {
            vouch(from, s, stateSender);
        }
        if (s.empty() && stateSender == null && askers.put(from, s.life()) == null && askers.size() == 1) {
            serveAskers(ASKER_LOOKS);
        }
    }

    /** Gives empty proxies a baseline as soon as this daemon can vouch for what it holds. */
    private void serveAskers(int looksLeft) {
        if (reliable()) {
            RoutingTable.Difference everything = table().since(RoutingTable.EMPTY);
            for (Map.Entry<DaemonAddress, Long> e : askers.entrySet()) {
                messenger.send(
                        e.getKey(),
                        Messenger.Topic.DISPATCH,
                        baseline(e.getKey(), e.getValue(), everything).pack());
                pluginHost.metrics().count("distribution.baselines");
            }
            askers.clear();
        } else if (looksLeft > 0) {
            clock.after(ASKER_LOOK_MS, () -> serveAskers(looksLeft - 1));
        } else {
            // Those that still have nothing ask again.
            askers.clear();
        }
    }

    private Instruction baseline(DaemonAddress to, long life, RoutingTable.Difference everything) {
        Known known = proxies.get(to);
        boolean vouch = strict && known != null && known.life == life && vouching.at() != null;
        if (strict) {
            vouchedUntil = clock.now().plus(VOUCH_MS);
            if (vouching.at() == null) {
                chainClient.askNewest();
            }
        }
        return new Instruction(
                0,
                life,
                0,
                1,
                0,
                0,
                0,
                vouch ? known.stamp : -1,
                everything,
                vouch ? vouching.edition().value() : -1,
                vouch ? clock.now().since(vouching.at()) : 0);
    }

    /**
     * Whether what this daemon holds may be handed out to a proxy that has nothing: whole, and confirmed just now as the
     * newest by a majority, none of those heard of holding anything newer.
     */
    private boolean reliable() {
        ConfigurationRevision edition = replica.committed().edition();
        if (!serverRegistry.ready()
                || !assured()
                || replica.newestEdition().isAfter(edition)
                || Safeguard.EDITION_CONFIRMED_BEFORE_TABLES.holds() && !contact.confirms(edition)) {
            return false;
        }
        for (FailureDetector.Peer p : detector.peers()) {
            if (detector.connected(p.daemonAddress()) && p.report().newestEdition() > edition.value()) {
                return false;
            }
        }
        return true;
    }

    /**
     * Whether what this daemon holds has been confirmed as the newest since it was last without contact, or without its
     * memory. A proxy that holds nothing would take an older edition for the one in force.
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

    private void acknowledged(DaemonAddress from, Instruction ack) {
        Known known = proxies.get(from);
        if (known == null) {
            return;
        }
        known.heard = clock.now();
        StateSender stateSender = stateSenders.get(from);
        if (stateSender == null) {
            return;
        }
        long epoch = leases.epoch(known.zone);
        if (ack.epoch() > epoch) {
            leases.noteEpoch(known.zone, ack.epoch());
            return;
        }
        stateSender.acknowledged(ack);
    }

    private void changed() {
        if (!dirty) {
            dirty = true;
            clock.execute(this::offerAll);
        }
    }

    private void offerAll() {
        if (stateSenders.isEmpty() || !serverRegistry.ready() || !assured()) {
            return;
        }
        RoutingTable now = table();
        stateSenders.values().forEach(c -> c.offer(now));
    }

    /** Wanted: a sender for each proxy of each zone whose duty is held here. */
    private void reconcile() {
        MonotonicTime now = clock.now();
        boolean forgot = proxies.values().removeIf(k -> now.since(k.heard) > FORGET_MS);
        Iterator<Map.Entry<DaemonAddress, StateSender>> it =
                stateSenders.entrySet().iterator();
        while (it.hasNext()) {
            Map.Entry<DaemonAddress, StateSender> e = it.next();
            Known known = proxies.get(e.getKey());
            if (known == null || leases.epoch(known.zone) == 0) {
                e.getValue().close();
                it.remove();
            }
        }
        boolean ready = serverRegistry.ready() && assured();
        for (Map.Entry<DaemonAddress, Known> e : proxies.entrySet()) {
            long epoch = leases.epoch(e.getValue().zone);
            if (epoch > 0 && ready && !stateSenders.containsKey(e.getKey())) {
                StateSender c =
                        new StateSender(e.getKey(), e.getValue().life, epoch, clock, messenger, pluginHost.metrics());
                stateSenders.put(e.getKey(), c);
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
    private RoutingTable table() {
        if (!dirty) {
            return table;
        }
        dirty = false;
        ConfigurationState committed = replica.committed();
        if (!committed.edition().equals(packedEdition)) {
            Configuration regulations = replica.regulations();
            if (regulations != null) {
                packedConfiguration = Tables.packConfiguration(regulations);
                packedEdition = committed.edition();
            }
        }
        Map<String, byte[]> entries = new HashMap<>(packedConfiguration);
        Map<InstanceId, Packed> fresh = new HashMap<>();
        for (RegisteredServer e : serverRegistry.entries()) {
            if (!e.standing().isGone()) {
                Packed old = packedServers.get(e.id());
                Packed now = old != null && old.entry.sameNews(e) && old.entry.warmMs() == e.warmMs()
                        ? old
                        : new Packed(e, RoutingTable.INSTANCE + e.id(), Tables.packInstance(e));
                fresh.put(e.id(), now);
                entries.put(now.key, now.bytes);
            }
        }
        packedServers = fresh;
        Settings rules = pluginHost.rules();
        DaemonAddress head = replica.view().head();
        if (rules.guarantees(Settings.KEYS) && head != null) {
            entries.put(
                    RoutingTable.DUTY + "loans",
                    MessagePackCodec.write().daemonAddress(head).done());
        }
        entries.put(RoutingTable.CONTROLLER + messenger.self(), Tables.packController(messenger.self(), rules.zone()));
        for (FailureDetector.Peer p : detector.peers()) {
            if (p.report() != null && detector.lostForMs(p.daemonAddress()) < FORGET_MS) {
                entries.put(
                        RoutingTable.CONTROLLER + p.daemonAddress(),
                        Tables.packController(p.daemonAddress(), p.report().zone()));
            }
        }
        for (String duty : rules.guarantees(Settings.QUOTA) ? LeaseManager.QUOTA_DUTIES : List.<String>of()) {
            DaemonAddress holder = leases.holder(duty);
            if (holder != null) {
                entries.put(
                        RoutingTable.DUTY + duty,
                        MessagePackCodec.write().daemonAddress(holder).done());
            }
        }
        entries.put(
                RoutingTable.FLEET, MessagePackCodec.write().num(proxies.size()).done());
        table = RoutingTable.of(entries);
        return table;
    }
}
