package org.umbermount.simulation;

import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.umbermount.control.FailureDetector;
import org.umbermount.control.Fleet;
import org.umbermount.distribution.TableReceiverPlugin;
import org.umbermount.distribution.TableSenderPlugin;
import org.umbermount.idempotency.OperationClientPlugin;
import org.umbermount.idempotency.OperationKeeperPlugin;
import org.umbermount.kernel.Clock;
import org.umbermount.kernel.DaemonAddress;
import org.umbermount.kernel.Messenger;
import org.umbermount.kernel.Metrics;
import org.umbermount.kernel.PluginHost;
import org.umbermount.kernel.Role;
import org.umbermount.kernel.Settings;
import org.umbermount.kernel.testing.FakeMessenger;
import org.umbermount.membership.MemberDescriptor;
import org.umbermount.membership.PeerSampling;
import org.umbermount.quota.QuotaClientPlugin;
import org.umbermount.quota.QuotaGranterPlugin;
import org.umbermount.storage.DiskAccess;
import org.umbermount.storage.testing.FakeDirectory;

/** Starts controllers and proxies as the programs do, plug-in by plug-in, on what is simulated beneath them. */
final class Daemons {
    private static final Settings.Bounds BOUNDS = new Settings.Bounds(
            Checks.CONTACT_MS, Checks.ACK_MS, 3000, 6000, Checks.APPLY_MS, 0.2, 10_000, 60, 4000, Clients.SHARING);

    private final SimulatedCluster cluster;
    private final Random random;

    Daemons(SimulatedCluster cluster, Random random) {
        this.cluster = cluster;
        this.random = random;
    }

    private Settings rules(String zone, DaemonAddress self, List<DaemonAddress> seeds) {
        Map<String, String> zones = new HashMap<>();
        for (int z = 0; z < cluster.machines.size(); z++) {
            zones.put(Fleet.zone(z), "r");
        }
        return new Settings(
                "n",
                zone,
                zones,
                self.host(),
                Map.of(),
                7000,
                7010,
                seeds.stream().map(s -> s.withPort(8000)).toList(),
                false,
                "",
                100,
                1000,
                1500,
                cluster.hasClients() ? cluster.machines.tolerated() : 1,
                cluster.guarantees(),
                BOUNDS);
    }

    private PeerSampling peerSampling(
            PluginHost host,
            DaemonAddress self,
            Role role,
            String zone,
            List<DaemonAddress> seeds,
            FakeMessenger.Bag bag) {
        PeerSampling g = new PeerSampling(
                new MemberDescriptor(self, role, zone, 0),
                seeds,
                host.clock(),
                bag,
                new Metrics(),
                new Random(random.nextLong()));
        host.offer(Messenger.class, bag);
        host.offer(PeerSampling.class, g);
        g.start();
        return g;
    }

    private static List<DaemonAddress> imprints(List<Integer> machines) {
        return machines.stream().map(Fleet::daemonAddress).toList();
    }

    /** Gives a controller that has started the plug-ins beside its control plane. */
    void openPlugIns(int i, List<Integer> seeds) {
        DaemonAddress self = Fleet.daemonAddress(i);
        PluginHost host = cluster.fleet.host(i, rules(cluster.machines.zone(i), self, imprints(seeds)));
        PeerSampling g = peerSampling(
                host, self, Role.CONTROLLER, cluster.machines.zone(i), imprints(seeds), cluster.fleet.bag(i));
        g.observe(p -> {
            if (p.role() == Role.CONTROLLER) {
                host.find(FailureDetector.class).enlist(p.daemonAddress());
            }
        });
        if (cluster.hasClients()) {
            openRecordsAndCounts(i, host);
        }
        new TableSenderPlugin().open(host);
    }

    /** Gives a controller its operation records and counts. */
    private void openRecordsAndCounts(int i, PluginHost host) {
        FakeDirectory disk = cluster.fleet.disks.get(i);
        host.offer(DiskAccess.class, new DiskAccess(disk, disk.executor()));
        try {
            new OperationKeeperPlugin().open(host);
        } catch (Exception e) {
            throw new IllegalStateException("Controller " + i + " cannot open its operation records.", e);
        }
        new QuotaGranterPlugin().open(host);
    }

    /** Starts a controller; the list of those that it is told of is the operator's. */
    List<Integer> start(int i) {
        try {
            List<Integer> seeds = cluster.machines.seeds(random);
            cluster.fleet.start(i, cluster.machines.zone(i), seeds);
            cluster.fleet.disks.get(i).chance(random.nextLong());
            openPlugIns(i, seeds);
            return seeds;
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Starts a proxy. */
    PluginHost openProxy(DaemonAddress self, String zone, Clock clock) {
        List<DaemonAddress> seeds = imprints(cluster.machines.seeds(random));
        FakeMessenger.Bag bag = cluster.fleet.network.bag(self);
        PluginHost host = new PluginHost(Role.PROXY, rules(zone, self, seeds), clock, new Random(random.nextLong()));
        peerSampling(host, self, Role.PROXY, zone, seeds, bag);
        new TableReceiverPlugin().open(host);
        if (cluster.hasClients()) {
            new OperationClientPlugin().open(host);
            new QuotaClientPlugin().open(host);
        }
        return host;
    }
}
