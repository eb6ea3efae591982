package org.umbermount.control;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.umbermount.kernel.Clock;
import org.umbermount.kernel.ConfigurationRevision;
import org.umbermount.kernel.DaemonAddress;
import org.umbermount.kernel.MachineUptime;
import org.umbermount.kernel.Messenger;
import org.umbermount.kernel.Metrics;
import org.umbermount.kernel.PluginHost;
import org.umbermount.kernel.Role;
import org.umbermount.kernel.Settings;
import org.umbermount.kernel.testing.FakeClock;
import org.umbermount.kernel.testing.FakeMessenger;
import org.umbermount.storage.AppendOnlyFile;
import org.umbermount.storage.testing.FakeDirectory;

/** Controllers on a fake clock, network and disk. */
public final class Fleet {
    /** Puts something beside the configuration of a daemon that starts. */
    public interface Attachment {
        /** Called for each controller that starts, with its own clock, messenger, replica and disk. */
        void attach(int i, Clock clock, Messenger bag, Replica replica, FakeDirectory disk) throws IOException;
    }

    public final FakeClock almanac = new FakeClock();
    public final FakeMessenger network;
    final Map<Integer, ControlPlane> running = new TreeMap<>();
    public final Map<Integer, FakeDirectory> disks = new HashMap<>();
    private final Map<Integer, FakeMessenger.Bag> bags = new HashMap<>();
    final Map<Integer, Metrics> tallies = new HashMap<>();
    private final int size;
    private final int seeds;
    private final int tolerated;
    private final Attachment attachment;
    private final java.util.Set<String> guarantees;
    /** Over which length the files of controllers that start from now on are rewritten. */
    long rewriteOver = 1 << 16;

    private final java.util.Random lives;
    /** How often each machine has started. */
    private final Map<Integer, Integer> boots = new HashMap<>();

    private final Map<Integer, Long> bootedAt = new HashMap<>();
    private final Map<Integer, Long> wallOffsets = new HashMap<>();

    /** The clock of a machine, which goes on while processes end and start. */
    private final class Uptime implements MachineUptime {
        private final int machine;

        Uptime(int machine) {
            this.machine = machine;
        }

        @Override
        public String bootId() {
            return machine + "-" + boots.getOrDefault(machine, 0);
        }

        @Override
        public long millis() {
            return almanac.now().millis() - bootedAt.getOrDefault(machine, 0L);
        }
    }

    /** One process: its timers die with it. */
    private final Map<Integer, MortalClock> clocks = new HashMap<>();

    private final Map<Integer, String> zones = new HashMap<>();

    Fleet(int size, int seeds, long seed) throws IOException {
        this(size, seeds, seed, 0, null);
    }

    /** A fleet whose daemons enforce none of the optional guarantees. */
    public Fleet(int size, int seeds, long seed, int tolerated, Attachment attachment) throws IOException {
        this(size, seeds, seed, tolerated, attachment, java.util.Set.of());
    }

    /**
     * A fleet of {@code size} controllers, of which the first {@code seeds} form the first view; {@code tolerated}
     * machines may be lost at a time. All of them are started.
     */
    public Fleet(int size, int seeds, long seed, int tolerated, Attachment attachment, java.util.Set<String> guarantees)
            throws IOException {
        this.size = size;
        this.guarantees = guarantees;
        this.tolerated = tolerated;
        this.attachment = attachment;
        this.network = new FakeMessenger(almanac, seed);
        this.seeds = seeds;
        this.lives = new java.util.Random(seed * 31 + 7);
        for (int i = 0; i < size; i++) {
            zones.put(i, zone(i));
        }
        for (int i = 0; i < size; i++) {
            disks.put(i, new FakeDirectory());
            start(i, true);
        }
    }

    /** The address of a controller by its number. */
    public static DaemonAddress daemonAddress(int i) {
        return DaemonAddress.parse("10." + (i + 1) + ".0.1:7000");
    }

    /** The zone of a controller by its number: each has one of its own. */
    public static String zone(int i) {
        return "z" + i;
    }

    /** Starts a controller of the first days, which is told of all others of them. */
    public void start(int i, boolean bootstrap) throws IOException {
        List<Integer> first = new ArrayList<>();
        for (int s = 0; s < seeds; s++) {
            first.add(s);
        }
        ControlPlane controlPlane = launch(i, bootstrap, first);
        for (int other = 0; other < size; other++) {
            controlPlane.detector.enlist(daemonAddress(other));
        }
    }

    /** Starts a controller, perhaps one that there was none of before, which is told of its seeds alone. */
    public void start(int i, String zone, List<Integer> seedNodes) throws IOException {
        zones.put(i, zone);
        disks.computeIfAbsent(i, n -> new FakeDirectory());
        launch(i, false, seedNodes);
    }

    private ControlPlane launch(int i, boolean bootstrap, List<Integer> seedNodes) throws IOException {
        MortalClock clock = new MortalClock(almanac, () -> wallOffsets.getOrDefault(i, 0L));
        clocks.put(i, clock);
        List<DaemonAddress> seedImprints =
                seedNodes.stream().map(s -> daemonAddress(s).withPort(8000)).toList();
        Map<String, String> allZones = new HashMap<>();
        zones.values().forEach(z -> allZones.put(z, "r"));
        Settings rules = new Settings(
                "n" + i,
                zones.get(i),
                allZones,
                daemonAddress(i).host(),
                Map.of(),
                7000,
                7010,
                seedImprints,
                bootstrap,
                "/data",
                100,
                1000,
                1500,
                tolerated,
                guarantees,
                new Settings.Bounds(4000, 5000, 3000, 6000, 3000, 0.2, 10_000, 60, 4000));
        FakeDirectory disk = disks.get(i);
        disk.clock(clock);
        FakeMessenger.Bag bag = network.bag(daemonAddress(i));
        bags.put(i, bag);
        Metrics metrics = new Metrics();
        tallies.put(i, metrics);
        ControlPlane controlPlane = new ControlPlane(
                clock,
                bag,
                rules,
                daemonAddress(i).withPort(8000),
                AppendOnlyFile.open(disk, "memory", rewriteOver),
                AppendOnlyFile.open(disk, "census", 1 << 16),
                disk.executor(),
                metrics,
                new java.util.Random(lives.nextLong()),
                new Uptime(i));
        running.put(i, controlPlane);
        if (attachment != null) {
            attachment.attach(i, clock, bag, controlPlane.replica, disk);
        }
        controlPlane.start();
        return controlPlane;
    }

    /** The epoch under which a controller that runs holds a duty now, or 0. */
    public long epoch(int i, String duty) {
        return running.get(i).leases.epoch(duty);
    }

    /** What a controller that runs holds to be so, for a reader. */
    public String describe(int i) {
        ControlPlane a = running.get(i);
        return a.replica.standing().name().toLowerCase(java.util.Locale.ROOT) + ", " + a.replica.view() + ", committed "
                + a.replica.committed().edition() + " in view "
                + a.replica.committed().view() + ", newest "
                + a.replica.newestEdition() + ", duties " + a.leases.activeDuties()
                + (a.serverRegistry.ready() ? "" : ", no server list")
                + (a.detector.reachesMajority(a.replica.view()) ? "" : ", reaches no majority");
    }

    /** Says that a controller is leaving, as before a planned stop. */
    public void leave(int i) {
        running.get(i).leases.releaseAll();
        running.get(i).detector.leaving();
    }

    /** Ends the process; what was not synced is lost if the power goes too. */
    public void kill(int i, boolean power) {
        clocks.get(i).die();
        network.down(daemonAddress(i));
        running.remove(i);
        if (power) {
            disks.get(i).losePower();
        }
    }

    /** The machine of a process that has ended starts again: its uptime is counted anew. */
    public void reboot(int i) {
        boots.merge(i, 1, Integer::sum);
        bootedAt.put(i, almanac.now().millis());
    }

    /** The process stands still, and what is sent to it waits. */
    public void freeze(int i) {
        freeze(i, false);
    }

    /** The process stands still, and its steady clock with it if so asked. */
    void freeze(int i, boolean clockToo) {
        if (clockToo) {
            clocks.get(i).suspend();
        } else {
            clocks.get(i).freeze();
        }
        network.freeze(daemonAddress(i));
    }

    /** Lets a frozen controller run again; overdue timers and waiting messages come at once. */
    public void thaw(int i) {
        clocks.get(i).resume();
        network.thaw(daemonAddress(i));
        clocks.get(i).thaw();
    }

    /** Offers the parts of a running controller to another host, on the controller's own clock. */
    public PluginHost host(int i, Settings rules) {
        ControlPlane controlPlane = running.get(i);
        PluginHost host = new PluginHost(Role.CONTROLLER, rules, clocks.get(i));
        host.offer(Replica.class, controlPlane.replica);
        host.offer(ServerRegistry.class, controlPlane.serverRegistry);
        host.offer(LeaseManager.class, controlPlane.leases);
        host.offer(FailureDetector.class, controlPlane.detector);
        host.offer(MajorityContact.class, controlPlane.contact);
        host.offer(ChainClient.class, controlPlane.chainClient);
        host.offer(StatusPage.class, section -> {});
        return host;
    }

    /** What a controller has counted since it last started. */
    public Metrics metrics(int i) {
        return tallies.get(i);
    }

    /** Sets the time of day of one machine; it stays so over ends and starts of processes. */
    public void stepWallClock(int i, long ms) {
        wallOffsets.merge(i, ms, Long::sum);
    }

    /** The number of the life of a process that runs. */
    public long life(int i) {
        return running.get(i).serverRegistry.boot();
    }

    /** The number of the life of another controller that one takes for the present one; 0 for none. */
    public long lifeKnown(int at, int other) {
        FailureDetector.Peer peer = running.get(at).detector.peer(daemonAddress(other));
        return peer == null || peer.report() == null ? 0 : peer.report().life();
    }

    /** The incarnation of another controller's memory that one takes for the present one. */
    public long incarnationKnown(int at, int other) {
        return running.get(at).replica.incarnationOf(daemonAddress(other));
    }

    /** The clock of a running process. */
    public Clock clock(int i) {
        return clocks.get(i);
    }

    /** The lease manager of a running controller. */
    public LeaseManager leases(int i) {
        return running.get(i).leases;
    }

    /** The majority contact of a running controller. */
    public MajorityContact contact(int i) {
        return running.get(i).contact;
    }

    /** The messenger of a controller. */
    public FakeMessenger.Bag bag(int i) {
        return bags.get(i);
    }

    /** The chain client of a running controller. */
    public ChainClient chainClient(int i) {
        return running.get(i).chainClient;
    }

    /** Replaces a controller's disk by an empty one. The controller must be down. */
    public void wipe(int i) {
        disks.put(i, new FakeDirectory());
    }

    /** Whether the controller has been started and not stopped since. */
    public boolean isRunning(int i) {
        return running.containsKey(i);
    }

    /** The replica of a running controller. */
    public Replica replica(int i) {
        return running.get(i).replica;
    }

    /** Advances the fleet's clock by so many milliseconds. */
    public void run(long ms) {
        almanac.advance(ms);
    }

    /** What a submission came to, once it has. */
    static final class Reply {
        Replica.Verdict verdict;
        boolean gaveUp;
    }

    Reply submit(int at, long match, long edition, String text) {
        Reply reply = new Reply();
        running.get(at)
                .chainClient
                .submit(
                        new ConfigurationRevision(match),
                        new ConfigurationRevision(edition),
                        text.getBytes(),
                        850,
                        v -> reply.verdict = v,
                        () -> reply.gaveUp = true);
        return reply;
    }

    ConfigurationState read(int at, long patience) {
        ConfigurationState[] out = new ConfigurationState[1];
        running.get(at).chainClient.read(patience, a -> out[0] = a, () -> {});
        run(patience);
        return out[0];
    }
}
