package org.umbermount.archive;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.TreeSet;
import java.util.concurrent.Executor;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.umbermount.kernel.Clock;
import org.umbermount.kernel.HouseRules;
import org.umbermount.kernel.Imprint;
import org.umbermount.kernel.MachineUptime;
import org.umbermount.kernel.Postbag;
import org.umbermount.kernel.RandomNumbers;
import org.umbermount.kernel.Role;
import org.umbermount.kernel.Tally;
import org.umbermount.stacks.Stack;
import org.umbermount.stacks.StackRoom;

/** The control plane of one registrar, put together: chain and views, roll call, servers, leases. */
final class Archive {
    private static final Logger LOG = LoggerFactory.getLogger("archive");
    /** A write that waits longer than this makes the chain go on without this daemon. */
    private static final long DISK_PATIENCE_MS = 900;

    /** After so long without a break a change of another registrar that was missed has been asked for. */
    private static final long IN_TOUCH_MS = 1_500;

    final Replica replica;
    final ChainClient chainClient;
    final Census census;
    final FailureDetector detector;
    final MajorityContact contact;
    final LeaseOffice leases;
    final StackRoom room;
    private final ViewProposer convener;
    private final CensusNotebook notebook;
    private final Clock clock;
    private final HouseRules rules;

    /**
     * @param memory the file of the chain and the views
     * @param notes the file of the servers seen
     * @param disk runs what may wait for the disk
     * @param random where the numbers come from that tell lives apart
     * @param uptime by which the notes of an earlier life are dated
     */
    Archive(Clock clock, Postbag post, HouseRules rules, Imprint control, Stack memory, Stack notes, Executor disk,
            Tally tally, Random random, MachineUptime uptime) throws java.io.IOException {
        this.clock = clock;
        this.rules = rules;
        long life = RandomNumbers.life(random);
        room = new StackRoom(memory, disk, clock);
        Memory loaded = load(memory);
        List<Imprint> seeds = rules.seedNodes().stream().map(s -> rules.mailAddress(s, Role.REGISTRAR)).toList();
        View genesis = rules.bootstrap() && loaded == null && seeds.contains(post.self()) ? genesis(seeds) : null;
        boolean newcomer = rules.bootstrap() && genesis == null;
        replica = new Replica(clock, post, room, tally, loaded, notedCommitted(loaded, memory), genesis,
                newcomer, random);
        chainClient = new ChainClient(replica, clock);
        census = new Census(clock, post, tally, rules.heartbeatMs(), life);
        notebook = new CensusNotebook(census, notes, disk, clock, uptime);
        notebook.recall();
        detector = new FailureDetector(clock, post, tally, life,
                (heard, connected, slowPeers) -> report(heard, connected, slowPeers, control));
        contact = new MajorityContact(clock, detector, replica);
        convener = new ViewProposer(replica, detector, this::diskGood, clock, random, tally, post.self(),
                rules.zone(), rules.toleratedMachines());
        replica.listen(convener, chainClient);
        leases = new LeaseOffice(clock, post, replica, detector, tally, new LeaseEpochs(room, memory), rules.zone(),
                new TreeSet<>(rules.zones().isEmpty() ? List.of(rules.zone()) : rules.zones().keySet()),
                rules.guarantees(HouseRules.QUOTA) ? LeaseOffice.QUOTA_DUTIES : List.of(), random);
        seeds.forEach(detector::enlist);
        replica.onView(c -> c.electorate().forEach(f -> detector.enlist(f.imprint())));
        replica.view().electorate().forEach(f -> detector.enlist(f.imprint()));
        detector.observe(this::compare);
        detector.observe(replica::compareIncarnations);
    }

    void start() {
        clock.every(FailureDetector.INTERVAL_MS, this::refreshAudience);
        refreshAudience();
        replica.start();
        convener.start();
        detector.start();
        census.start(detector, replica::view, () -> contact.unbrokenMs() > IN_TOUCH_MS,
                () -> !detector.unsettled(2 * rules.heartbeatMs()) && contact.unbrokenMs() > 2 * rules.heartbeatMs());
        notebook.start();
        leases.start();
    }

    private boolean diskGood() {
        return room.healthy(DISK_PATIENCE_MS) && replica.companion().diskGood(DISK_PATIENCE_MS);
    }

    private FailureDetector.Report report(List<Imprint> heard, List<Imprint> connected, List<Imprint> slowPeers,
            Imprint control) {
        return new FailureDetector.Report(replica.incarnation(), replica.standing() == Replica.Standing.MEMBER,
                replica.mayMove(), contact.holds(), diskGood(), detector.isLeaving(), replica.view().number(),
                replica.committed().edition().value(), replica.newestEdition().value(), census.boot(), census.seq(),
                census.digest(), census.ready(),
                replica.companion().settledView(), leases.activeDuties(), rules.zone(), control, heard,
                connected, detector.isSlow(replica.view()), leases.standsBack(), slowPeers);
    }

    private static Memory load(Stack stack) throws java.io.IOException {
        try {
            return Memory.load(stack);
        } catch (Stack.DamagedException e) {
            LOG.error("{} What it held is rebuilt from the others.", e.getMessage());
            stack.clear();
            return null;
        }
    }

    private static boolean notedCommitted(Memory loaded, Stack stack) {
        try {
            return loaded != null && loaded.isNotedCommitted(stack);
        } catch (Stack.DamagedException e) {
            LOG.warn("{} What is committed is asked of the others.", e.getMessage());
            return false;
        }
    }

    private static View genesis(List<Imprint> seeds) {
        List<Imprint> members = new ArrayList<>(new TreeSet<>(seeds));
        return new View(1, members.stream().map(m -> new Voter(m, 0)).toList(), members);
    }

    private void refreshAudience() {
        replica.audience(detector.peers().stream().map(FailureDetector.Peer::imprint)
                .filter(i -> detector.connected(i) || replica.standing() == Replica.Standing.RECOVERING).toList());
    }

    /** Asks a peer that is ahead for its view and state. */
    private void compare(FailureDetector.Peer peer) {
        FailureDetector.Report r = peer.report();
        if (r.view() > replica.view().number() && replica.standing() != Replica.Standing.RECOVERING
                || r.edition() > replica.committed().edition().value()) {
            replica.fetch(peer.imprint());
        }
    }
}
