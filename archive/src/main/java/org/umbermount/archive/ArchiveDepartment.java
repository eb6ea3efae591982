package org.umbermount.archive;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.TreeSet;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.umbermount.gazetteer.Gazetteer;
import org.umbermount.gazetteer.Placename;
import org.umbermount.kernel.Almanac;
import org.umbermount.kernel.Department;
import org.umbermount.kernel.HouseRules;
import org.umbermount.kernel.Imprint;
import org.umbermount.kernel.Institution;
import org.umbermount.kernel.Postbag;
import org.umbermount.kernel.Role;
import org.umbermount.kernel.Script;
import org.umbermount.kernel.net.LoopAlmanac;
import org.umbermount.stacks.Shelving;
import org.umbermount.stacks.Stack;
import org.umbermount.stacks.StackRoom;

/** The control plane as a plug-in of the registrar. */
public final class ArchiveDepartment implements Department {
    private static final Logger LOG = LoggerFactory.getLogger("archive");
    private static final long REWRITE_OVER = 4 << 20;
    /** A write that waits longer than this makes the chain go on without this daemon. */
    private static final long DISK_PATIENCE_MS = 900;
    private static final long LEAVE_MS = 700;

    private Institution institution;
    private Custodian custodian;
    private RollCall rollCall;
    private TenureOffice tenures;
    private ControlDesk desk;

    @Override
    public String name() {
        return "archive";
    }

    @Override
    public int order() {
        return 20;
    }

    @Override
    public boolean serves(Role role) {
        return role == Role.REGISTRAR;
    }

    @Override
    public void open(Institution host) throws Exception {
        institution = host;
        HouseRules rules = host.rules();
        Almanac almanac = host.almanac();
        Postbag post = host.find(Postbag.class);
        Gazetteer gazetteer = host.find(Gazetteer.class);
        Random random = new Random(post.self().packed() * 31 + almanac.wallMillis());
        Imprint control = rules.listeners().get("controlPlane");
        if (control == null) {
            throw new IllegalStateException("The settings name no controlPlane listener.");
        }

        Stack stack = stackFor(rules, "memory.stack");
        ExecutorService thread = Executors.newSingleThreadExecutor(r -> {
            Thread t = new Thread(null, r, "stacks", 128 << 10);
            t.setDaemon(true);
            return t;
        });
        StackRoom room = new StackRoom(stack, thread, almanac);
        Memory loaded = load(stack);
        List<Imprint> seeds = rules.seedNodes().stream().map(s -> rules.mailAddress(s, Role.REGISTRAR)).toList();
        Charter genesis = rules.bootstrap() && loaded == null && seeds.contains(post.self()) ? genesis(seeds) : null;
        boolean newcomer = rules.bootstrap() && genesis == null;
        custodian = new Custodian(almanac, post, room, host.tally(), random, loaded,
                notedCommitted(loaded, stack), genesis, newcomer);
        Porter porter = new Porter(custodian, almanac, random);
        Census census = new Census(almanac, post, host.tally(), rules.heartbeatMs(), almanac.wallMillis());
        CensusNotebook notebook = new CensusNotebook(census, stackFor(rules, "census.stack"), thread, almanac);
        notebook.recall();
        rollCall = new RollCall(almanac, post, heard -> new RollCall.Report(custodian.incarnation(),
                custodian.standing() == Custodian.Standing.MEMBER, room.healthy(DISK_PATIENCE_MS), rollCall.isLeaving(),
                custodian.charter().number(), custodian.committed().edition().value(),
                custodian.newestEdition().value(), census.boot(), census.seq(),
                census.digest(), census.ready(), rules.zone(), control, heard));
        Convener convener = new Convener(custodian, rollCall, () -> room.healthy(DISK_PATIENCE_MS), almanac, random,
                host.tally(), post.self());
        custodian.listen(convener, porter);
        tenures = new TenureOffice(almanac, post, custodian, rollCall, host.tally(), rules.zone(),
                new TreeSet<>(rules.zones().isEmpty() ? List.of(rules.zone()) : rules.zones().keySet()));

        seeds.forEach(rollCall::enlist);
        gazetteer.observe(this::noticed);
        custodian.onCharter(c -> c.electorate().forEach(f -> rollCall.enlist(f.imprint())));
        custodian.charter().electorate().forEach(f -> rollCall.enlist(f.imprint()));
        rollCall.observe(this::compare);
        almanac.every(RollCall.INTERVAL_MS, this::refreshAudience);
        refreshAudience();

        host.offer(Custodian.class, custodian);
        host.offer(Census.class, census);
        host.offer(TenureOffice.class, tenures);
        host.offer(RollCall.class, rollCall);
        host.tally().gauge("archive.view", () -> custodian.charter().number());
        host.tally().gauge("archive.edition", () -> custodian.committed().edition().value());
        host.tally().gauge("archive.disk.stuck.ms", room::stuckMs);
        host.tally().gauge("archive.disk.refusing", () -> room.refusing() ? 1 : 0);
        host.tally().gauge("archive.frozen.ms", custodian::frozenMs);
        host.tally().gauge("archive.reaches.majority", () -> rollCall.reachesMajority(custodian.charter()) ? 1 : 0);

        custodian.start();
        convener.start();
        rollCall.start();
        census.start(rollCall, () -> custodian.charter().electorate().size() <= 1, () -> !rollCall.unsettled(2 * rules.heartbeatMs())
                && rollCall.reachedForMs(custodian.charter()) > 2 * rules.heartbeatMs());
        notebook.start();
        tenures.start();
        desk = new ControlDesk(almanac, porter, custodian, census, tenures, rollCall, post.self(), control,
                rules.zone(), host.tally());
        desk.bind(((LoopAlmanac) almanac).loop());
    }

    private static Stack stackFor(HouseRules rules, String name) throws IOException {
        if (rules.dataPath().isEmpty()) {
            throw new IllegalStateException("The settings name no dataPath, and a registrar needs a disk.");
        }
        Shelving shelving = new Shelving(Path.of(rules.dataPath()));
        try {
            return Stack.open(shelving, name, REWRITE_OVER);
        } catch (Stack.DamagedException e) {
            LOG.error("{} What it held is rebuilt from the others.", e.getMessage());
            shelving.truncate(name, 0);
            return Stack.open(shelving, name, REWRITE_OVER);
        }
    }

    private static Memory load(Stack stack) throws IOException {
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

    private void noticed(Placename placename) {
        if (placename.role() == Role.REGISTRAR) {
            rollCall.enlist(placename.imprint());
        }
    }

    private void refreshAudience() {
        custodian.audience(rollCall.peers().stream().map(RollCall.Peer::imprint)
                .filter(i -> rollCall.connected(i) || custodian.standing() == Custodian.Standing.RECOVERING).toList());
    }

    /** Asks a peer that is ahead for its view and state. */
    private void compare(RollCall.Peer peer) {
        RollCall.Report r = peer.report();
        if (r.view() > custodian.charter().number() && custodian.standing() != Custodian.Standing.RECOVERING
                || r.view() == custodian.charter().number() && r.edition() > custodian.committed().edition().value()) {
            custodian.fetch(peer.imprint());
        }
    }

    @Override
    public void leave(Runnable done) {
        tenures.releaseAll();
        rollCall.leaving();
        desk.close();
        institution.almanac().after(LEAVE_MS, done);
    }

    @Override
    public void reread(HouseRules rules) {
        rules.seedNodes().forEach(s -> rollCall.enlist(rules.mailAddress(s, Role.REGISTRAR)));
    }
}
