package org.umbermount.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.umbermount.control.ControlCaller;
import org.umbermount.control.Fleet;
import org.umbermount.distribution.RoutingTable;
import org.umbermount.distribution.Tables;
import org.umbermount.kernel.MessagePackCodec;

/**
 * Servers that say over HTTP that they are there, drain and sign off. Once a daemon has acknowledged that one drains or
 * is gone, no proxy sends to it for longer than the rule allows, and a late beat of its does not bring it back.
 */
final class Servers {
    private static final int COUNT = 3;
    /** Late beats are of one of so many that left last. */
    private static final int LATELY = 3;

    private static final long BEAT_MS = 1_500;
    private static final long ANSWER_MS = 1_000;
    private static final long DRAIN_MS = 3_000;
    /** How long a server that drains goes on after that was acknowledged. */
    private static final long SERVE_ON_MS = 3_300;
    /** How late a beat may come: a machine that stands still for so long keeps the call waiting. */
    private static final long LATEST_BEAT_MS = 25_000;

    private static final int OK = 200;

    private enum Status {
        IN_SERVICE,
        DRAINING,
        GONE
    }

    /** One life of a server. */
    private final class Server {
        private final String id;
        private final int number;
        private Status status = Status.IN_SERVICE;
        private long sequence;
        private int at = -1;
        private int calls;
        /** When a daemon first acknowledged that it drains or is gone. */
        private long leavingAcknowledgedAt = SimulatedCluster.NEVER;

        Server(int number) {
            this.number = number;
            this.id = "server-" + number;
        }

        /** Beats until it has signed off. */
        void beat() {
            if (status == Status.GONE) {
                return;
            }
            tell(status, ++sequence);
            cluster.later(BEAT_MS, this::beat);
        }

        private String request(Status said, long stamp) {
            if (said == Status.GONE) {
                return ControlCaller.request("DELETE", "/instances/" + id, null, "");
            }
            return ControlCaller.request(
                    "PUT",
                    "/instances/" + id,
                    null,
                    "{\"upstream\":\"s\",\"address\":\"10.200.0." + (1 + number % 250) + ":8080\",\"zone\":\""
                            + Fleet.zone(0) + "\",\"revision\":\"v1\",\"capacity\":6,"
                            + "\"status\":\"" + (said == Status.DRAINING ? "draining" : "in_service")
                            + "\",\"warmupLeftMs\":0,\"sequence\":" + stamp + "}");
        }

        private void tell(Status said, long stamp) {
            int call = ++calls;
            if (at < 0) {
                at = cluster.machines.anyAnswering(random);
            }
            if (at < 0 || !cluster.fleet.isRunning(at)) {
                at = -1;
                cluster.later(ANSWER_MS, () -> repeat(call, said));
                return;
            }
            boolean[] answered = new boolean[1];
            cluster.calls.send(at, request(said, stamp), answer -> {
                answered[0] = answer.status() == OK;
                if (answered[0]) {
                    acknowledged(said);
                }
            });
            cluster.later(ANSWER_MS, () -> {
                if (!answered[0]) {
                    at = -1;
                    repeat(call, said);
                }
            });
        }

        /** Calls the next daemon, unless it has had something newer to say since. */
        private void repeat(int call, Status said) {
            if (call == calls) {
                tell(said, ++sequence);
            }
        }

        private void acknowledged(Status said) {
            if (said != Status.IN_SERVICE && leavingAcknowledgedAt == SimulatedCluster.NEVER) {
                leavingAcknowledgedAt = cluster.now();
                cluster.note(id + ": " + said + " is acknowledged");
                cluster.later(SERVE_ON_MS, this::signOff);
            }
        }

        void drain() {
            status = Status.DRAINING;
            cluster.note(id + " drains");
            tell(status, ++sequence);
        }

        private void signOff() {
            if (status != Status.GONE) {
                status = Status.GONE;
                cluster.note(id + " signs off");
                tell(status, ++sequence);
            }
        }

        /** A beat from before it drained comes to some daemon only now. */
        void lateBeat() {
            int machine = cluster.machines.anyAnswering(random);
            boolean possible = leavingAcknowledgedAt == SimulatedCluster.NEVER
                    || cluster.now() - leavingAcknowledgedAt < LATEST_BEAT_MS;
            if (machine >= 0 && possible) {
                cluster.calls.send(machine, request(Status.IN_SERVICE, 1), answer -> {});
            }
        }
    }

    private final SimulatedCluster cluster;
    private final Random random;
    private final List<Server> inService = new ArrayList<>();
    private final List<Server> leaving = new ArrayList<>();
    private int made;

    Servers(SimulatedCluster cluster, long seed) {
        this.cluster = cluster;
        this.random = new Random(seed);
    }

    /** The first ones come. */
    void start() {
        while (inService.size() < COUNT) {
            add();
        }
    }

    private void add() {
        Server server = new Server(made++);
        inService.add(server);
        cluster.later(random.nextInt((int) BEAT_MS), server::beat);
    }

    /** One drains and another comes for it; or one that left lately is heard of late. */
    void change(Random salt) {
        if (salt.nextInt(3) == 0 && !leaving.isEmpty()) {
            leaving.get(leaving.size() - 1 - salt.nextInt(Math.min(leaving.size(), LATELY)))
                    .lateBeat();
            return;
        }
        Server server = inService.remove(salt.nextInt(inService.size()));
        leaving.add(server);
        server.drain();
        add();
    }

    /** What must be true of a proxy's table; its machine and the core have been in touch for long enough. */
    void check(Proxies.Proxy proxy, long now) {
        for (Server server : leaving) {
            boolean due = server.leavingAcknowledgedAt != SimulatedCluster.NEVER
                    && now - server.leavingAcknowledgedAt > DRAIN_MS;
            if (due && sendsTo(proxy.table, server.id)) {
                cluster.broken(proxy.daemonAddress + " still sends to " + server.id + " "
                        + (now - server.leavingAcknowledgedAt) + " ms after it was acknowledged that it leaves");
            }
        }
    }

    /** Servers that have been there for long are in every table when all is calm. */
    void checkPresent(Proxies.Proxy proxy) {
        for (Server server : inService) {
            if (server.sequence > 2 && !sendsTo(proxy.table, server.id)) {
                cluster.broken(proxy.daemonAddress + " does not know " + server.id + " at the end");
            }
        }
    }

    /** One goes on as if nothing had been acknowledged, for a day that is to be found broken. */
    void goOnAfterLeaving() {
        Server server = inService.remove(0);
        leaving.add(server);
        server.leavingAcknowledgedAt = cluster.now();
    }

    /** One is in service and nobody has heard of it, for a day that is to be found broken. */
    void addUnheard() {
        Server server = new Server(made++);
        server.sequence = Long.MAX_VALUE;
        inService.add(server);
    }

    private static boolean sendsTo(Map<String, byte[]> table, String id) {
        for (Map.Entry<String, byte[]> entry : table.entrySet()) {
            if (entry.getKey().startsWith(RoutingTable.INSTANCE)) {
                try {
                    Tables.Instance instance = Tables.readInstance(entry.getValue());
                    if (instance.id().value().equals(id) && !instance.draining()) {
                        return true;
                    }
                } catch (MessagePackCodec.UnreadableException e) {
                    throw new IllegalStateException(e);
                }
            }
        }
        return false;
    }
}
