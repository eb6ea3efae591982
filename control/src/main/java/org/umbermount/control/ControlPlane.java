package org.umbermount.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.TreeSet;
import java.util.concurrent.Executor;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.umbermount.kernel.Clock;
import org.umbermount.kernel.DaemonAddress;
import org.umbermount.kernel.MachineUptime;
import org.umbermount.kernel.Messenger;
import org.umbermount.kernel.Metrics;
import org.umbermount.kernel.RandomNumbers;
import org.umbermount.kernel.Role;
import org.umbermount.kernel.Settings;
import org.umbermount.storage.AppendOnlyFile;
import org.umbermount.storage.DiskWriter;

/** The control plane of one controller, put together: chain and views, roll call, servers, leases. */
final class ControlPlane {
    private static final Logger LOG = LoggerFactory.getLogger("control");
    /** A write that waits longer than this makes the chain go on without this daemon. */
    private static final long DISK_PATIENCE_MS = 900;

    /** After so long without a break a change of another controller that was missed has been asked for. */
    private static final long IN_TOUCH_MS = 1_500;

    final Replica replica;
    final ChainClient chainClient;
    final ServerRegistry serverRegistry;
    final FailureDetector detector;
    final MajorityContact contact;
    final LeaseManager leases;
    final DiskWriter room;
    private final ViewProposer convener;
    private final RegistrySnapshotFile notebook;
    private final Clock clock;
    private final Settings rules;

    /**
     * @param memory the file of the chain and the views
     * @param notes the file of the servers seen
     * @param disk runs what may wait for the disk
     * @param random where the numbers come from that tell lives apart
     * @param uptime by which the notes of an earlier life are dated
     */
    ControlPlane(
            Clock clock,
            Messenger messenger,
            Settings rules,
            DaemonAddress control,
            AppendOnlyFile memory,
            AppendOnlyFile notes,
            Executor disk,
            Metrics metrics,
            Random random,
            MachineUptime uptime)
            throws java.io.IOException {
        this.clock = clock;
        this.rules = rules;
        long life = RandomNumbers.life(random);
        room = new DiskWriter(memory, disk, clock);
        ReplicaStorage loaded = load(memory);
        List<DaemonAddress> seeds = rules.seedNodes().stream()
                .map(s -> rules.mailAddress(s, Role.CONTROLLER))
                .toList();
        View genesis = rules.bootstrap() && loaded == null && seeds.contains(messenger.self()) ? genesis(seeds) : null;
        boolean newcomer = rules.bootstrap() && genesis == null;
        replica = new Replica(
                clock, messenger, room, metrics, loaded, notedCommitted(loaded, memory), genesis, newcomer, random);
        chainClient = new ChainClient(replica, clock);
        serverRegistry = new ServerRegistry(clock, messenger, metrics, rules.heartbeatMs(), life);
        notebook = new RegistrySnapshotFile(serverRegistry, notes, disk, clock, uptime);
        notebook.recall();
        detector = new FailureDetector(
                clock,
                messenger,
                metrics,
                life,
                (heard, connected, slowPeers) -> report(heard, connected, slowPeers, control));
        contact = new MajorityContact(clock, detector, replica);
        convener = new ViewProposer(
                replica,
                detector,
                this::diskGood,
                clock,
                random,
                metrics,
                messenger.self(),
                rules.zone(),
                rules.toleratedMachines());
        replica.listen(convener, chainClient);
        leases = new LeaseManager(
                clock,
                messenger,
                replica,
                detector,
                metrics,
                new LeaseEpochs(room, memory),
                rules.zone(),
                new TreeSet<>(
                        rules.zones().isEmpty()
                                ? List.of(rules.zone())
                                : rules.zones().keySet()),
                rules.guarantees(Settings.QUOTA) ? LeaseManager.QUOTA_DUTIES : List.of(),
                random);
        seeds.forEach(detector::enlist);
        replica.onView(c -> c.electorate().forEach(f -> detector.enlist(f.daemonAddress())));
        replica.view().electorate().forEach(f -> detector.enlist(f.daemonAddress()));
        detector.observe(this::compare);
        detector.observe(replica::compareIncarnations);
    }

    void start() {
        clock.every(FailureDetector.INTERVAL_MS, this::refreshAudience);
        refreshAudience();
        replica.start();
        convener.start();
        detector.start();
        serverRegistry.start(
                detector,
                replica::view,
                () -> contact.unbrokenMs() > IN_TOUCH_MS,
                () -> !detector.unsettled(2 * rules.heartbeatMs()) && contact.unbrokenMs() > 2 * rules.heartbeatMs());
        notebook.start();
        leases.start();
    }

    private boolean diskGood() {
        return room.healthy(DISK_PATIENCE_MS) && replica.companion().diskGood(DISK_PATIENCE_MS);
    }

    private FailureDetector.Report report(
            List<DaemonAddress> heard,
            List<DaemonAddress> connected,
            List<DaemonAddress> slowPeers,
            DaemonAddress control) {
        return new FailureDetector.Report(
                replica.incarnation(),
                replica.standing() == Replica.Standing.MEMBER,
                replica.mayMove(),
                contact.holds(),
                diskGood(),
                detector.isLeaving(),
                replica.view().number(),
                replica.committed().edition().value(),
                replica.newestEdition().value(),
                serverRegistry.boot(),
                serverRegistry.seq(),
                serverRegistry.digest(),
                serverRegistry.ready(),
                replica.companion().settledView(),
                leases.activeDuties(),
                rules.zone(),
                control,
                heard,
                connected,
                detector.isSlow(replica.view()),
                leases.standsBack(),
                slowPeers);
    }

    private static ReplicaStorage load(AppendOnlyFile stack) throws java.io.IOException {
        try {
            return ReplicaStorage.load(stack);
        } catch (AppendOnlyFile.DamagedException e) {
            LOG.error("{} What it held is rebuilt from the others.", e.getMessage());
            stack.clear();
            return null;
        }
    }

    private static boolean notedCommitted(ReplicaStorage loaded, AppendOnlyFile stack) {
        try {
            return loaded != null && loaded.isNotedCommitted(stack);
        } catch (AppendOnlyFile.DamagedException e) {
            LOG.warn("{} What is committed is asked of the others.", e.getMessage());
            return false;
        }
    }

    private static View genesis(List<DaemonAddress> seeds) {
        List<DaemonAddress> members = new ArrayList<>(new TreeSet<>(seeds));
        return new View(1, members.stream().map(m -> new Voter(m, 0)).toList(), members);
    }

    private void refreshAudience() {
        replica.audience(detector.peers().stream()
                .map(FailureDetector.Peer::daemonAddress)
                .filter(i -> detector.connected(i) || replica.standing() == Replica.Standing.RECOVERING)
                .toList());
    }

    /** Asks a peer that is ahead for its view and state. */
    private void compare(FailureDetector.Peer peer) {
        FailureDetector.Report r = peer.report();
        if (r.view() > replica.view().number() && replica.standing() != Replica.Standing.RECOVERING
                || r.edition() > replica.committed().edition().value()) {
            replica.fetch(peer.daemonAddress());
        }
    }
}
