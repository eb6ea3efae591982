package org.umbermount.simulation;

import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.umbermount.archive.FailureDetector;
import org.umbermount.archive.Fleet;
import org.umbermount.courier.ReceivingDepartment;
import org.umbermount.courier.SendingDepartment;
import org.umbermount.gazetteer.Gazetteer;
import org.umbermount.gazetteer.Placename;
import org.umbermount.kernel.Clock;
import org.umbermount.kernel.HouseRules;
import org.umbermount.kernel.Imprint;
import org.umbermount.kernel.Institution;
import org.umbermount.kernel.Postbag;
import org.umbermount.kernel.Role;
import org.umbermount.kernel.Tally;
import org.umbermount.kernel.testing.FakePost;
import org.umbermount.loans.CounterDepartment;
import org.umbermount.loans.LoansDepartment;
import org.umbermount.readership.CountingDepartment;
import org.umbermount.readership.ReadershipDepartment;
import org.umbermount.stacks.Cellar;
import org.umbermount.stacks.testing.FakeVault;

/** Starts registrars and proxies as the programs do, plug-in by plug-in, on what is simulated beneath them. */
final class Daemons {
    private static final HouseRules.Bounds BOUNDS = new HouseRules.Bounds(Checks.CONTACT_MS, Checks.ACK_MS, 3000, 6000,
            Checks.APPLY_MS, 0.2, 10_000, 60, 4000, Clients.SHARING);

    private final SimulatedCluster cluster;
    private final Random random;

    Daemons(SimulatedCluster cluster, Random random) {
        this.cluster = cluster;
        this.random = random;
    }

    private HouseRules rules(String zone, Imprint self, List<Imprint> seeds) {
        Map<String, String> zones = new HashMap<>();
        for (int z = 0; z < cluster.machines.size(); z++) {
            zones.put(Fleet.zone(z), "r");
        }
        return new HouseRules("n", zone, zones, self.host(), Map.of(), 7000, 7010,
                seeds.stream().map(s -> s.withPort(8000)).toList(), false, "", 100, 1000, 1500,
                cluster.hasClients() ? cluster.machines.tolerated() : 1, cluster.guarantees(), BOUNDS);
    }

    private Gazetteer gazetteer(Institution host, Imprint self, Role role, String zone, List<Imprint> seeds,
            FakePost.Bag bag) {
        Gazetteer g = new Gazetteer(new Placename(self, role, zone, 0), seeds, host.clock(), bag, new Tally(),
                new Random(random.nextLong()));
        host.offer(Postbag.class, bag);
        host.offer(Gazetteer.class, g);
        g.start();
        return g;
    }

    private static List<Imprint> imprints(List<Integer> machines) {
        return machines.stream().map(Fleet::imprint).toList();
    }

    /** Gives a registrar that has started the plug-ins beside its control plane. */
    void openPlugIns(int i, List<Integer> seeds) {
        Imprint self = Fleet.imprint(i);
        Institution host = cluster.fleet.host(i, rules(cluster.machines.zone(i), self, imprints(seeds)));
        Gazetteer g = gazetteer(host, self, Role.REGISTRAR, cluster.machines.zone(i), imprints(seeds),
                cluster.fleet.bag(i));
        g.observe(p -> {
            if (p.role() == Role.REGISTRAR) {
                host.find(FailureDetector.class).enlist(p.imprint());
            }
        });
        if (cluster.hasClients()) {
            openRecordsAndCounts(i, host);
        }
        new SendingDepartment().open(host);
    }

    /** Gives a registrar its operation records and counts. */
    private void openRecordsAndCounts(int i, Institution host) {
        FakeVault disk = cluster.fleet.disks.get(i);
        host.offer(Cellar.class, new Cellar(disk, disk.executor()));
        try {
            new LoansDepartment().open(host);
        } catch (Exception e) {
            throw new IllegalStateException("Registrar " + i + " cannot open its operation records.", e);
        }
        new ReadershipDepartment().open(host);
    }

    /** Starts a registrar; the list of those that it is told of is the operator's. */
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
    Institution openProxy(Imprint self, String zone, Clock clock) {
        List<Imprint> seeds = imprints(cluster.machines.seeds(random));
        FakePost.Bag bag = cluster.fleet.network.bag(self);
        Institution host = new Institution(Role.LECTOR, rules(zone, self, seeds), clock,
                new Random(random.nextLong()));
        gazetteer(host, self, Role.LECTOR, zone, seeds, bag);
        new ReceivingDepartment().open(host);
        if (cluster.hasClients()) {
            new CounterDepartment().open(host);
            new CountingDepartment().open(host);
        }
        return host;
    }
}
