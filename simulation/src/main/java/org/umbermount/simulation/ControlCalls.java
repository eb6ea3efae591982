package org.umbermount.simulation;

import java.util.function.Consumer;
import org.umbermount.control.ControlCaller;
import org.umbermount.control.Replica;
import org.umbermount.kernel.ConfigurationRevision;

/** How operators reach a daemon: by its calls over HTTP, or by what lies behind them. */
final class ControlCalls {
    private static final long PATIENCE_MS = 850;
    private static final int OK = 200;
    private static final int NOTHING_YET = 404;
    private static final int STALE = 412;

    private final SimulatedCluster cluster;
    private final ControlCaller caller;
    private final boolean overHttp;

    /** @param overHttp whether the calls go through HTTP, from bytes to status */
    ControlCalls(SimulatedCluster cluster, boolean overHttp) {
        this.cluster = cluster;
        this.caller = new ControlCaller(cluster.fleet);
        this.overHttp = overHttp;
    }

    /** Sends an order; what a daemon says of it is handed on, unless it says that it does not know. */
    void submit(int machine, Operators.Order order, Consumer<Replica.Verdict> verdict) {
        if (!overHttp) {
            cluster.fleet
                    .chainClient(machine)
                    .submit(
                            new ConfigurationRevision(order.match),
                            new ConfigurationRevision(order.edition),
                            order.text.getBytes(),
                            PATIENCE_MS,
                            verdict,
                            () -> {});
            return;
        }
        String request = order.amendment == null
                ? ControlCaller.request("PUT", "/config", Long.toString(order.match), order.text)
                : ControlCaller.request("PATCH", "/config", Long.toString(order.match), order.amendment);
        caller.call(machine, request, answer -> {
            Replica.Verdict said = verdict(answer.status());
            if (said != null) {
                verdict.accept(said);
            } else {
                cluster.note(order + ": status " + answer.status() + " from " + machine);
            }
        });
    }

    /** What a status says of an order; null if nothing. */
    private static Replica.Verdict verdict(int status) {
        if (status == OK) {
            return Replica.Verdict.TAKEN;
        }
        if (status == STALE) {
            return Replica.Verdict.STALE;
        }
        return isRefusal(status) ? Replica.Verdict.NOT_HIGHER : null;
    }

    /** Whether a status says that the call itself is wrong. */
    static boolean isRefusal(int status) {
        return status >= 400 && status < 500;
    }

    /** Reads the configuration, or an empty text if there is none; one of the two is called if the daemon lives on. */
    void read(int machine, Consumer<String> reading, Runnable gaveUp) {
        if (!overHttp) {
            cluster.fleet
                    .chainClient(machine)
                    .read(
                            PATIENCE_MS,
                            state -> reading.accept(state.edition().value() > 0 ? new String(state.blob()) : ""),
                            gaveUp);
            return;
        }
        caller.call(machine, ControlCaller.request("GET", "/config", null, ""), answer -> {
            switch (answer.status()) {
                case OK -> reading.accept(answer.body());
                case NOTHING_YET -> reading.accept("");
                default -> gaveUp.run();
            }
        });
    }

    /** Sends bytes as they are. */
    void send(int machine, String request, Consumer<ControlCaller.Answer> answered) {
        caller.call(machine, request, answered);
    }
}
