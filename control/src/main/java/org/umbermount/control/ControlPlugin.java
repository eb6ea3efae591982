package org.umbermount.control;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.umbermount.membership.PeerSampling;
import org.umbermount.membership.MemberDescriptor;
import org.umbermount.kernel.Clock;
import org.umbermount.kernel.Plugin;
import org.umbermount.kernel.Settings;
import org.umbermount.kernel.DaemonAddress;
import org.umbermount.kernel.PluginHost;
import org.umbermount.kernel.MonotonicTime;
import org.umbermount.kernel.Messenger;
import org.umbermount.kernel.Role;
import org.umbermount.kernel.Metrics;
import org.umbermount.kernel.net.LoopClock;
import org.umbermount.storage.DiskAccess;
import org.umbermount.storage.LocalDirectory;
import org.umbermount.storage.AppendOnlyFile;

/** The control plane as a plug-in of the controller. */
public final class ControlPlugin implements Plugin {
    private static final Logger LOG = LoggerFactory.getLogger("control");
    private static final long REWRITE_OVER = 4 << 20;
    /** How long the others have to hear that this daemon leaves, and at most to go on without it. */
    private static final long LEAVE_MS = 700;
    private static final long LET_GO_MS = 3_500;
    private static final long LOOK_MS = 50;

    private PluginHost institution;
    private ControlPlane archive;
    private ControlApi desk;

    @Override
    public String name() {
        return "control";
    }

    @Override
    public int order() {
        return 20;
    }

    @Override
    public boolean serves(Role role) {
        return role == Role.CONTROLLER;
    }

    @Override
    public void open(PluginHost host) throws Exception {
        institution = host;
        Settings rules = host.rules();
        Clock clock = host.clock();
        Messenger post = host.find(Messenger.class);
        DaemonAddress control = rules.listeners().get("controlPlane");
        if (control == null) {
            throw new IllegalStateException("The settings name no controlPlane listener.");
        }
        ExecutorService thread = Executors.newSingleThreadExecutor(r -> {
            Thread t = new Thread(null, r, "storage", 128 << 10);
            t.setDaemon(true);
            return t;
        });
        LocalDirectory shelving = shelving(rules);
        host.offer(DiskAccess.class, new DiskAccess(shelving, thread));
        archive = new ControlPlane(clock, post, rules, control, stackFor(shelving, "memory.stack"),
                stackFor(shelving, "registry.stack"), thread, host.tally());
        host.find(PeerSampling.class).observe(this::noticed);
        host.offer(Replica.class, archive.replica);
        host.offer(ServerRegistry.class, archive.census);
        host.offer(LeaseManager.class, archive.leases);
        host.offer(FailureDetector.class, archive.detector);
        host.offer(MajorityContact.class, archive.contact);
        host.offer(ChainClient.class, archive.chainClient);
        meter(host.tally());
        archive.start();
        desk = new ControlApi(archive, clock, post.self(), control, rules.zone(), host.tally());
        host.offer(StatusPage.class, desk);
        desk.bind(((LoopClock) clock).loop(),
                e -> host.fatal("The control address " + control + " cannot be used: " + e.getMessage() + "."));
    }

    private void meter(Metrics tally) {
        Replica replica = archive.replica;
        tally.gauge("control.view", () -> replica.view().number());
        tally.gauge("control.edition", () -> replica.committed().edition().value());
        tally.gauge("control.standing", () -> replica.standing().ordinal());
        tally.gauge("control.frozen.ms", replica::frozenMs);
        tally.gauge("control.disk.stuck.ms", archive.room::stuckMs);
        tally.gauge("control.disk.slowest.ms", archive.room::slowestMs);
        tally.gauge("control.disk.refusing", () -> archive.room.refusing() ? 1 : 0);
        tally.gauge("control.reaches.majority", () -> archive.contact.holds() ? 1 : 0);
        tally.gauge("registry.servers", () -> archive.census.entries().stream().filter(e -> !e.standing().isGone()).count());
    }

    private static LocalDirectory shelving(Settings rules) throws IOException {
        if (rules.dataPath().isEmpty()) {
            throw new IllegalStateException("The settings name no dataPath, and a controller needs a disk.");
        }
        return new LocalDirectory(Path.of(rules.dataPath()));
    }

    private static AppendOnlyFile stackFor(LocalDirectory shelving, String name) throws IOException {
        try {
            return AppendOnlyFile.open(shelving, name, REWRITE_OVER);
        } catch (AppendOnlyFile.DamagedException e) {
            LOG.error("{} What it held is rebuilt from the others.", e.getMessage());
            AppendOnlyFile.discard(shelving, name);
            return AppendOnlyFile.open(shelving, name, REWRITE_OVER);
        }
    }

    private void noticed(MemberDescriptor placename) {
        if (placename.role() == Role.CONTROLLER) {
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
    private void onceLetGo(MonotonicTime latest, Runnable done) {
        Clock clock = institution.clock();
        View view = archive.replica.view();
        DaemonAddress self = institution.find(Messenger.class).self();
        boolean needed = view.chains(self) || view.votes(self)
                && MembershipPlan.hasSeatToSpare(view, institution.rules().toleratedMachines());
        if (needed && clock.now().isBefore(latest)) {
            clock.after(LOOK_MS, () -> onceLetGo(latest, done));
        } else {
            done.run();
        }
    }

    @Override
    public void reread(Settings rules) {
        rules.seedNodes().forEach(s -> archive.detector.enlist(rules.mailAddress(s, Role.CONTROLLER)));
    }
}
