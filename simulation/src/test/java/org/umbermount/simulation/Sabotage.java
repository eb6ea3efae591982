package org.umbermount.simulation;

import org.umbermount.control.ControlCaller;
import org.umbermount.control.Fleet;

/** What goes wrong behind the back of the checks, for days that have to be found broken. */
final class Sabotage {
    private Sabotage() {}

    /** A proxy that nobody reaches any more. */
    static void forget(SimulatedCluster cluster) {
        for (int i = 0; i < cluster.machines.size(); i++) {
            cluster.fleet.network.cutBoth(cluster.proxies.all().get(0).daemonAddress, Fleet.daemonAddress(i));
        }
    }

    /** A control plane that answers nobody. */
    static void muteAll(SimulatedCluster cluster) {
        for (int i = 0; i < cluster.machines.size(); i++) {
            for (int o = 0; o < cluster.machines.size(); o++) {
                cluster.fleet.network.cut(Fleet.daemonAddress(i), Fleet.daemonAddress(o));
            }
        }
    }

    /** A proxy that takes whatever it is given. */
    static void handOld(SimulatedCluster cluster) {
        cluster.proxies.inForce(cluster.proxies.all().get(0), 0);
    }

    /** A change that is refused and then delivered. */
    static void deliverRefused(SimulatedCluster cluster) {
        cluster.operators.refuse(99);
        cluster.operators.seen(99, Content.whole(99, 0).text(), "a proxy has it in force");
    }

    /** A configuration that no operator has asked for. */
    static void deliverUnordered(SimulatedCluster cluster) {
        cluster.operators.seen(98, Content.whole(98, 7_000).text(), "a proxy has it in force");
    }

    /** A call that cannot be read, and is taken. */
    static void takeMalformed(SimulatedCluster cluster) {
        cluster.malformedCalls.check(MalformedCalls.Fault.CUT_SHORT, new ControlCaller.Answer(200, "{}"));
    }

    /** A server that was heard to leave, and is sent to all the same. */
    static void goOnSending(SimulatedCluster cluster) {
        cluster.servers.start();
        cluster.later(3_000, cluster.servers::goOnAfterLeaving);
    }

    /** A server that no table has. */
    static void forgetServer(SimulatedCluster cluster) {
        cluster.servers.addUnheard();
    }

    /** An operation that has run, and runs again. */
    static void runTwice(SimulatedCluster cluster) {
        cluster.clients.run("a key", "the first run");
        cluster.clients.run("a key", "the second run");
    }

    /** A repeat that is told of another run than its own. */
    static void answerOtherwise(SimulatedCluster cluster) {
        cluster.clients.run("a key", "the only run");
        cluster.clients.repeat("a key", "another run");
    }

    /** A noted answer that a later try does not get. */
    static void loseAnswer(SimulatedCluster cluster) {
        cluster.clients.withoutAnswer(true, "a key", "unknown");
    }

    /** Nobody counts the tenant's requests. */
    static void allowAll(SimulatedCluster cluster) {
        for (int i = 0; i < 1_000; i++) {
            cluster.clients.allowed();
        }
    }

    /** Clients that get no answer any more. */
    static void serveNobody(SimulatedCluster cluster) {
        cluster.clients.stop();
    }

    /** A second change on the version of the first. */
    static void confirmTwice(SimulatedCluster cluster) {
        cluster.operators.confirmTwice();
    }
}
