package org.umbermount.control;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.umbermount.kernel.Clock;
import org.umbermount.kernel.DaemonAddress;
import org.umbermount.kernel.Messenger;
import org.umbermount.kernel.Metrics;
import org.umbermount.kernel.MonotonicTime;
import org.umbermount.kernel.Plugin;
import org.umbermount.kernel.PluginHost;
import org.umbermount.kernel.ProcUptime;
import org.umbermount.kernel.Role;
import org.umbermount.kernel.Settings;
import org.umbermount.kernel.net.LoopClock;
import org.umbermount.membership.MemberDescriptor;
import org.umbermount.membership.PeerSampling;
import org.umbermount.storage.AppendOnlyFile;
import org.umbermount.storage.DiskAccess;
import org.umbermount.storage.LocalDirectory;

/** The control plane as a plug-in of the controller. */
public final class ControlPlugin implements Plugin {
    private static final Logger LOG = LoggerFactory.getLogger("control");
    private static final long REWRITE_OVER = 4 << 20;
    /** How long the others have to hear that this daemon leaves, and at most to go on without it. */
    private static final long LEAVE_MS = 700;

    private static final long LET_GO_MS = 3_500;
    private static final long LOOK_MS = 50;

    private PluginHost pluginHost;
    private ControlPlane controlPlane;
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
        pluginHost = host;
        Settings rules = host.rules();
        Clock clock = host.clock();
        Messenger messenger = host.find(Messenger.class);
        DaemonAddress control = rules.listeners().get("controlPlane");
        if (control == null) {
            throw new IllegalStateException("The settings name no controlPlane listener.");
        }
        ExecutorService thread = Executors.newSingleThreadExecutor(r -> {
            Thread t = new Thread(null, r, "storage", 128 << 10);
            t.setDaemon(true);
            return t;
        });
        LocalDirectory directory = directory(rules);
        host.offer(DiskAccess.class, new DiskAccess(directory, thread));
        controlPlane = new ControlPlane(
                clock,
                messenger,
                rules,
                control,
                stackFor(directory, "memory.stack"),
                stackFor(directory, "registry.stack"),
                thread,
                host.metrics(),
                host.random(),
                new ProcUptime());
        host.find(PeerSampling.class).observe(this::noticed);
        host.offer(Replica.class, controlPlane.replica);
        host.offer(ServerRegistry.class, controlPlane.serverRegistry);
        host.offer(LeaseManager.class, controlPlane.leases);
        host.offer(FailureDetector.class, controlPlane.detector);
        host.offer(MajorityContact.class, controlPlane.contact);
        host.offer(ChainClient.class, controlPlane.chainClient);
        meter(host.metrics());
        controlPlane.start();
        desk = new ControlApi(controlPlane, clock, messenger.self(), control, rules.zone(), host.metrics());
        host.offer(StatusPage.class, desk);
        desk.bind(
                ((LoopClock) clock).loop(),
                e -> host.fatal("The control address " + control + " cannot be used: " + e.getMessage() + "."));
    }

    private void meter(Metrics metrics) {
        Replica replica = controlPlane.replica;
        metrics.gauge("control.view", () -> replica.view().number());
        metrics.gauge("control.edition", () -> replica.committed().edition().value());
        metrics.gauge("control.standing", () -> replica.standing().ordinal());
        metrics.gauge("control.frozen.ms", replica::frozenMs);
        metrics.gauge("control.disk.stuck.ms", controlPlane.room::stuckMs);
        metrics.gauge("control.disk.slowest.ms", controlPlane.room::slowestMs);
        metrics.gauge("control.disk.refusing", () -> controlPlane.room.refusing() ? 1 : 0);
        metrics.gauge("control.reaches.majority", () -> controlPlane.contact.holds() ? 1 : 0);
        metrics.gauge("control.slow", () -> controlPlane.detector.isSlow(controlPlane.replica.view()) ? 1 : 0);
        metrics.gauge("registry.servers", () -> controlPlane.serverRegistry.entries().stream()
                .filter(e -> !e.standing().isGone())
                .count());
    }

    private static LocalDirectory directory(Settings rules) throws IOException {
        if (rules.dataPath().isEmpty()) {
            throw new IllegalStateException("The settings name no dataPath, and a controller needs a disk.");
        }
        return new LocalDirectory(Path.of(rules.dataPath()));
    }

    private static AppendOnlyFile stackFor(LocalDirectory directory, String name) throws IOException {
        try {
            return AppendOnlyFile.open(directory, name, REWRITE_OVER);
        } catch (AppendOnlyFile.DamagedException e) {
            LOG.error("{} What it held is rebuilt from the others.", e.getMessage());
            AppendOnlyFile.discard(directory, name);
            return AppendOnlyFile.open(directory, name, REWRITE_OVER);
        }
    }

    private void noticed(MemberDescriptor memberDescriptor) {
        if (memberDescriptor.role() == Role.CONTROLLER) {
            controlPlane.detector.enlist(memberDescriptor.daemonAddress());
        }
    }

    @Override
    public void leave(Runnable done) {
        controlPlane.leases.releaseAll();
        controlPlane.detector.leaving();
        desk.close();
        Clock clock = pluginHost.clock();
        clock.after(LEAVE_MS, () -> onceLetGo(clock.now().plus(LET_GO_MS - LEAVE_MS), done));
    }

    /** Ends only when the others go on without this daemon's copy and vote, if they bring that about in time. */
    private void onceLetGo(MonotonicTime latest, Runnable done) {
        Clock clock = pluginHost.clock();
        View view = controlPlane.replica.view();
        DaemonAddress self = pluginHost.find(Messenger.class).self();
        boolean needed = view.chains(self)
                || view.votes(self)
                        && MembershipPlan.hasSeatToSpare(
                                view, pluginHost.rules().toleratedMachines());
        if (needed && clock.now().isBefore(latest)) {
            clock.after(LOOK_MS, () -> onceLetGo(latest, done));
        } else {
            done.run();
        }
    }

    @Override
    public void reread(Settings rules) {
        rules.seedNodes().forEach(s -> controlPlane.detector.enlist(rules.mailAddress(s, Role.CONTROLLER)));
    }
}
