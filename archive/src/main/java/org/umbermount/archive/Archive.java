package org.umbermount.archive;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.TreeSet;
import java.util.concurrent.Executor;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.umbermount.kernel.Almanac;
import org.umbermount.kernel.HouseRules;
import org.umbermount.kernel.Imprint;
import org.umbermount.kernel.Postbag;
import org.umbermount.kernel.Role;
import org.umbermount.kernel.Script;
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

    final Custodian custodian;
    final Porter porter;
    final Census census;
    final RollCall rollCall;
    final MajorityContact contact;
    final TenureOffice tenures;
    final StackRoom room;
    private final Convener convener;
    private final CensusNotebook notebook;
    private final Almanac almanac;
    private final HouseRules rules;

    /**
     * @param memory the file of the chain and the views
     * @param notes the file of the servers seen
     * @param disk runs what may wait for the disk
     */
    Archive(Almanac almanac, Postbag post, HouseRules rules, Imprint control, Stack memory, Stack notes, Executor disk,
            Tally tally) throws java.io.IOException {
        this.almanac = almanac;
        this.rules = rules;
        Random random = new Random(post.self().packed() * 31 + almanac.wallMillis());
        room = new StackRoom(memory, disk, almanac);
        Memory loaded = load(memory);
        List<Imprint> seeds = rules.seedNodes().stream().map(s -> rules.mailAddress(s, Role.REGISTRAR)).toList();
        Charter genesis = rules.bootstrap() && loaded == null && seeds.contains(post.self()) ? genesis(seeds) : null;
        boolean newcomer = rules.bootstrap() && genesis == null;
        custodian = new Custodian(almanac, post, room, tally, loaded, notedCommitted(loaded, memory), genesis,
                newcomer);
        porter = new Porter(custodian, almanac);
        census = new Census(almanac, post, tally, rules.heartbeatMs(), almanac.wallMillis());
        notebook = new CensusNotebook(census, notes, disk, almanac);
        notebook.recall();
        rollCall = new RollCall(almanac, post, (heard, connected) -> report(heard, connected, control));
        contact = new MajorityContact(almanac, rollCall, custodian);
        convener = new Convener(custodian, rollCall, this::diskGood, almanac, random, tally, post.self(),
                rules.zone(), rules.toleratedMachines());
        custodian.listen(convener, porter);
        tenures = new TenureOffice(almanac, post, custodian, rollCall, tally, rules.zone(),
                new TreeSet<>(rules.zones().isEmpty() ? List.of(rules.zone()) : rules.zones().keySet()),
                rules.guarantees(HouseRules.QUOTA) ? TenureOffice.QUOTA_DUTIES : List.of());
        seeds.forEach(rollCall::enlist);
        custodian.onCharter(c -> c.electorate().forEach(f -> rollCall.enlist(f.imprint())));
        custodian.charter().electorate().forEach(f -> rollCall.enlist(f.imprint()));
        rollCall.observe(this::compare);
    }

    void start() {
        almanac.every(RollCall.INTERVAL_MS, this::refreshAudience);
        refreshAudience();
        custodian.start();
        convener.start();
        rollCall.start();
        census.start(rollCall, custodian::charter, () -> contact.unbrokenMs() > IN_TOUCH_MS,
                () -> !rollCall.unsettled(2 * rules.heartbeatMs()) && contact.unbrokenMs() > 2 * rules.heartbeatMs());
        notebook.start();
        tenures.start();
    }

    private boolean diskGood() {
        return room.healthy(DISK_PATIENCE_MS) && custodian.companion().diskGood(DISK_PATIENCE_MS);
    }

    private RollCall.Report report(List<Imprint> heard, List<Imprint> connected, Imprint control) {
        return new RollCall.Report(custodian.incarnation(), custodian.standing() == Custodian.Standing.MEMBER,
                custodian.mayMove(), contact.holds(), diskGood(), rollCall.isLeaving(), custodian.charter().number(),
                custodian.committed().edition().value(), custodian.newestEdition().value(), census.boot(), census.seq(),
                census.digest(), census.ready(),
                custodian.companion().settledView(), tenures.activeDuties(), rules.zone(), control, heard,
                connected);
    }

    private static Memory load(Stack stack) throws java.io.IOException {
        try {
            return Memory.load(stack);
        } catch (Script.UnreadableException e) {
            LOG.error("The memory on disk cannot be read: {}. It is rebuilt from the others.", e.getMessage());
            stack.clear();
            return null;
        }
    }

    private static boolean notedCommitted(Memory loaded, Stack stack) {
        try {
            return loaded != null && loaded.isNotedCommitted(stack);
        } catch (Script.UnreadableException e) {
            return false;
        }
    }

    private static Charter genesis(List<Imprint> seeds) {
        List<Imprint> members = new ArrayList<>(new TreeSet<>(seeds));
        return new Charter(1, members.stream().map(m -> new Fellow(m, 0)).toList(), members);
    }

    private void refreshAudience() {
        custodian.audience(rollCall.peers().stream().map(RollCall.Peer::imprint)
                .filter(i -> rollCall.connected(i) || custodian.standing() == Custodian.Standing.RECOVERING).toList());
    }

    /** Asks a peer that is ahead for its view and state. */
    private void compare(RollCall.Peer peer) {
        RollCall.Report r = peer.report();
        if (r.view() > custodian.charter().number() && custodian.standing() != Custodian.Standing.RECOVERING
                || r.edition() > custodian.committed().edition().value()) {
            custodian.fetch(peer.imprint());
        }
    }
}
