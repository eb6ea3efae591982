package org.umbermount.control;

import java.io.IOException;
import java.util.Map;
import java.util.TreeMap;
import org.umbermount.kernel.DaemonAddress;
import org.umbermount.kernel.Messenger;
import org.umbermount.kernel.net.Fragmentation;
import org.umbermount.storage.testing.FakeDirectory;

/**
 * Measures what one change of a configuration costs: four controllers on a fake clock, network and disk, whose state
 * remembers as many orders as it can. Each change gives one route another time limit, and is handed in whole. Bytes, messages
 * and syncs do not depend on the machine; the processor time does, and is that of all four in one thread.
 */
final class ChangeCost {
    private static final int CONTROLLERS = 4;
    private static final long REWRITE_OVER = 4 << 20;
    private static final long BETWEEN_CHANGES_MS = 50;

    /** What one change cost on average, over the whole fleet unless it says otherwise. */
    record Figures(
            int configurationBytes,
            int hops,
            double hopBytes,
            double hopDatagramBytes,
            double chainBytes,
            double diskBytesEach,
            double syncsEach,
            double processorMs) {}

    private final Fleet fleet = new Fleet(CONTROLLERS, CONTROLLERS - 1, 17);
    private final Fragmentation parcels = new Fragmentation(fleet.almanac);
    private final Map<Integer, Long> bytesByKind = new TreeMap<>();
    private final int routes;
    private boolean measuring;
    private long hopDatagramBytes;
    private long newest;

    private ChangeCost(int routes) throws IOException {
        this.routes = routes;
        fleet.run(6_000);
        fleet.rewriteOver = REWRITE_OVER;
        for (int i = 0; i < CONTROLLERS; i++) {
            fleet.kill(i, false);
            fleet.start(i, false);
            fleet.run(6_000);
        }
        fleet.network.tap = this::count;
    }

    /** The average over some changes of a configuration with so many routes. */
    static Figures measure(int routes, int changes) throws IOException {
        return new ChangeCost(routes).run(changes);
    }

    private Figures run(int changes) throws IOException {
        for (int i = 0; i < TakenOrders.REMEMBERED; i++) {
            change(configuration(1, newest + 1));
        }
        change(configuration(routes, newest + 1));
        change(configuration(routes, newest + 1));
        long bytesBefore =
                fleet.disks.values().stream().mapToLong(d -> d.bytesWritten).sum();
        long syncsBefore = syncs();
        long took = 0;
        measuring = true;
        for (int i = 0; i < changes; i++) {
            String text = configuration(routes, newest + 1);
            long began = System.nanoTime();
            change(text);
            took += System.nanoTime() - began;
        }
        measuring = false;
        int hops = fleet.replica(0).view().chain().size() - 1;
        long disk = fleet.disks.values().stream().mapToLong(d -> d.bytesWritten).sum() - bytesBefore;
        long hopBytes = bytesByKind.entrySet().stream()
                .filter(e -> isBetweenNeighbours(e.getKey()))
                .mapToLong(Map.Entry::getValue)
                .sum();
        long chainBytes = bytesByKind.values().stream().mapToLong(n -> n).sum();
        double each = changes * (double) CONTROLLERS;
        return new Figures(
                configuration(routes, newest).length(),
                hops,
                hopBytes / (double) changes / hops,
                hopDatagramBytes / (double) changes / hops,
                chainBytes / (double) changes,
                disk / each,
                (syncs() - syncsBefore) / each,
                took / 1e6 / changes);
    }

    private long syncs() {
        return fleet.disks.values().stream()
                .mapToLong((FakeDirectory d) -> d.fileForces + d.folderForces)
                .sum();
    }

    private void change(String text) throws IOException {
        long match = newest++;
        Fleet.Reply reply = fleet.submit((int) (newest % CONTROLLERS), match, newest, text);
        fleet.run(BETWEEN_CHANGES_MS);
        if (reply.verdict != Replica.Verdict.TAKEN) {
            throw new IllegalStateException("edition " + newest + " is not taken");
        }
    }

    private boolean count(DaemonAddress from, DaemonAddress to, Messenger.Topic topic, byte[] body) {
        if (measuring && topic == Messenger.Topic.CHAIN) {
            bytesByKind.merge((int) body[0], (long) body.length, Long::sum);
            if (isBetweenNeighbours(body[0])) {
                hopDatagramBytes += parcels.wrap(topic, body).stream()
                        .mapToLong(part -> part.length)
                        .sum();
            }
        }
        return true;
    }

    /** Whether a message of this kind carries or asks for a state between neighbours of the chain: WRITE and what is new. */
    private static boolean isBetweenNeighbours(int kind) {
        return kind == 2 || kind > 9;
    }

    private static String configuration(int routes, long revision) {
        StringBuilder out = new StringBuilder("{\"revision\":").append(revision).append(",\"routeTable\":[");
        for (int i = 0; i < routes; i++) {
            boolean changed = i == revision * 7_919 % routes;
            out.append(i == 0 ? "" : ",")
                    .append("{\"label\":\"r")
                    .append(i)
                    .append("\",\"upstream\":\"s")
                    .append(i % 980)
                    .append("\",\"timeoutMs\":")
                    .append(changed ? 5_000 + revision : 900)
                    .append('}');
        }
        return out.append("]}").toString();
    }
}
