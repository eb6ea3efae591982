package org.umbermount.archive;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.umbermount.gazetteer.Gazetteer;
import org.umbermount.gazetteer.Placename;
import org.umbermount.kernel.Clock;
import org.umbermount.kernel.Department;
import org.umbermount.kernel.HouseRules;
import org.umbermount.kernel.Imprint;
import org.umbermount.kernel.Institution;
import org.umbermount.kernel.Moment;
import org.umbermount.kernel.Postbag;
import org.umbermount.kernel.ProcUptime;
import org.umbermount.kernel.Role;
import org.umbermount.kernel.Tally;
import org.umbermount.kernel.net.LoopClock;
import org.umbermount.stacks.Cellar;
import org.umbermount.stacks.Shelving;
import org.umbermount.stacks.Stack;

/** The control plane as a plug-in of the registrar. */
public final class ArchiveDepartment implements Department {
    private static final Logger LOG = LoggerFactory.getLogger("archive");
    private static final long REWRITE_OVER = 4 << 20;
    /** How long the others have to hear that this daemon leaves, and at most to go on without it. */
    private static final long LEAVE_MS = 700;
    private static final long LET_GO_MS = 3_500;
    private static final long LOOK_MS = 50;

    private Institution institution;
    private Archive archive;
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
        Clock clock = host.clock();
        Postbag post = host.find(Postbag.class);
        Imprint control = rules.listeners().get("controlPlane");
        if (control == null) {
            throw new IllegalStateException("The settings name no controlPlane listener.");
        }
        ExecutorService thread = Executors.newSingleThreadExecutor(r -> {
            Thread t = new Thread(null, r, "stacks", 128 << 10);
            t.setDaemon(true);
            return t;
        });
        Shelving shelving = shelving(rules);
        host.offer(Cellar.class, new Cellar(shelving, thread));
        archive = new Archive(clock, post, rules, control, stackFor(shelving, "memory.stack"),
                stackFor(shelving, "census.stack"), thread, host.tally(), host.random(),
                new ProcUptime());
        host.find(Gazetteer.class).observe(this::noticed);
        host.offer(Replica.class, archive.replica);
        host.offer(Census.class, archive.census);
        host.offer(LeaseOffice.class, archive.leases);
        host.offer(FailureDetector.class, archive.detector);
        host.offer(MajorityContact.class, archive.contact);
        host.offer(ChainClient.class, archive.chainClient);
        meter(host.tally());
        archive.start();
        desk = new ControlDesk(archive, clock, post.self(), control, rules.zone(), host.tally());
        host.offer(StatusPage.class, desk);
        desk.bind(((LoopClock) clock).loop(),
                e -> host.fatal("The control address " + control + " cannot be used: " + e.getMessage() + "."));
    }

    private void meter(Tally tally) {
        Replica replica = archive.replica;
        tally.gauge("archive.view", () -> replica.view().number());
        tally.gauge("archive.edition", () -> replica.committed().edition().value());
        tally.gauge("archive.standing", () -> replica.standing().ordinal());
        tally.gauge("archive.frozen.ms", replica::frozenMs);
        tally.gauge("archive.disk.stuck.ms", archive.room::stuckMs);
        tally.gauge("archive.disk.slowest.ms", archive.room::slowestMs);
        tally.gauge("archive.disk.refusing", () -> archive.room.refusing() ? 1 : 0);
        tally.gauge("archive.reaches.majority", () -> archive.contact.holds() ? 1 : 0);
        tally.gauge("archive.slow", () -> archive.detector.isSlow(archive.replica.view()) ? 1 : 0);
        tally.gauge("census.servers", () -> archive.census.entries().stream().filter(e -> !e.standing().isGone()).count());
    }

    private static Shelving shelving(HouseRules rules) throws IOException {
        if (rules.dataPath().isEmpty()) {
            throw new IllegalStateException("The settings name no dataPath, and a registrar needs a disk.");
        }
        return new Shelving(Path.of(rules.dataPath()));
    }

    private static Stack stackFor(Shelving shelving, String name) throws IOException {
        try {
            return Stack.open(shelving, name, REWRITE_OVER);
        } catch (Stack.DamagedException e) {
            LOG.error("{} What it held is rebuilt from the others.", e.getMessage());
            Stack.discard(shelving, name);
            return Stack.open(shelving, name, REWRITE_OVER);
        }
    }

    private void noticed(Placename placename) {
        if (placename.role() == Role.REGISTRAR) {
            archive.detector.enlist(placename.imprint());
        }
    }

    @Override
    public void leave(Runnable done) {
        archive.leases.releaseAll();
        archive.detector.leaving();
        desk.close();
        Clock clock = institution.clock();
        clock.after(LEAVE_MS, () -> onceLetGo(clock.now().plus(LET_GO_MS - LEAVE_MS), done));
    }

    /** Ends only when the others go on without this daemon's copy and vote, if they bring that about in time. */
    private void onceLetGo(Moment latest, Runnable done) {
        Clock clock = institution.clock();
        View view = archive.replica.view();
        Imprint self = institution.find(Postbag.class).self();
        boolean needed = view.chains(self) || view.votes(self)
                && MembershipPlan.hasSeatToSpare(view, institution.rules().toleratedMachines());
        if (needed && clock.now().isBefore(latest)) {
            clock.after(LOOK_MS, () -> onceLetGo(latest, done));
        } else {
            done.run();
        }
    }

    @Override
    public void reread(HouseRules rules) {
        rules.seedNodes().forEach(s -> archive.detector.enlist(rules.mailAddress(s, Role.REGISTRAR)));
    }
}
