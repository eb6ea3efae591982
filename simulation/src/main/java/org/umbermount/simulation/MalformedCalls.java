package org.umbermount.simulation;

import java.util.Random;
import org.umbermount.control.ControlCaller;

/**
 * Calls that no daemon may take, from bytes that are no HTTP to a change that contradicts itself. Each gets a refusal,
 * from any daemon that can be called, and changes nothing: what they ask for is ordered by nobody, so that the checks
 * on contents notice it wherever it shows.
 */
final class MalformedCalls {
    /** The calls, each with what is wrong with it. */
    enum Fault {
        NO_HTTP,
        CUT_SHORT,
        MEMBER_TWICE,
        TEXT_FOR_A_NUMBER,
        SOMETHING_BEHIND,
        UNKNOWN_SERVICE,
        NO_VERSION,
        UNREADABLE_VERSION,
        NUMBER_THAT_DOES_NOT_RISE,
        CHANGE_OF_AN_UNKNOWN_LIST,
        CHANGE_THAT_CONTRADICTS_ITSELF,
        WRONG_METHOD,
        UNKNOWN_PATH,
        BEAT_WITHOUT_MEMBERS,
        PURGE_OF_NOTHING
    }

    /** What these calls carry as a variant, which no order has. */
    private static final long VARIANT = 9_000_000;

    private static final long ANSWER_MS = 1_000;
    private static final int UNAVAILABLE = 503;

    private final SimulatedCluster cluster;

    MalformedCalls(SimulatedCluster cluster) {
        this.cluster = cluster;
    }

    /** Sends one of them to a daemon that can be called. */
    void send(Random salt) {
        Fault fault = Fault.values()[salt.nextInt(Fault.values().length)];
        int machine = cluster.machines.anyAnswering(salt);
        if (machine < 0) {
            return;
        }
        long base = cluster.operators.base();
        boolean[] answered = new boolean[1];
        boolean well = cluster.machines.undisturbed(machine);
        long sent = cluster.now();
        cluster.calls.send(machine, request(fault, base, base + 1 + salt.nextInt(3)), answer -> {
            answered[0] = true;
            cluster.note("call with " + fault + ": status " + answer.status() + " from " + machine);
            check(fault, answer);
        });
        cluster.later(ANSWER_MS, () -> {
            if (!answered[0] && well && cluster.machines.undisturbed(machine) && cluster.machines.lastEvent() < sent) {
                cluster.broken("controller " + machine + " did not answer a call with " + fault);
            }
        });
    }

    /** Says whether the answer to one of them is a refusal. */
    void check(Fault fault, ControlCaller.Answer answer) {
        // A daemon that is cut off takes no beats at all, whatever they say.
        boolean cutOff = fault == Fault.BEAT_WITHOUT_MEMBERS && answer.status() == UNAVAILABLE;
        if (!ControlCalls.isRefusal(answer.status()) && !cutOff) {
            cluster.broken("a call with " + fault + " was answered with status " + answer.status());
        }
    }

    private static String request(Fault fault, long base, long edition) {
        String match = Long.toString(base);
        String whole = Content.whole(edition, VARIANT).text();
        String change =
                Content.whole(edition, VARIANT).amended(edition, VARIANT).amendment();
        return switch (fault) {
            case NO_HTTP -> "something else\r\n\r\n";
            case CUT_SHORT -> config("PUT", match, whole.substring(0, whole.length() - 1));
            case MEMBER_TWICE -> config("PUT", match, "{\"revision\":" + edition + "," + whole.substring(1));
            case TEXT_FOR_A_NUMBER -> config(
                    "PUT", match, whole.replace("\"revision\":" + edition, "\"revision\":\"" + edition + "\""));
            case SOMETHING_BEHIND -> config("PUT", match, whole + "{}");
            case UNKNOWN_SERVICE -> config(
                    "PUT",
                    match,
                    Content.whole(edition, VARIANT)
                            .amended(edition, VARIANT)
                            .text()
                            .replace("\"upstream\":\"s\"", "\"upstream\":\"other\""));
            case NO_VERSION -> config("PUT", null, whole);
            case UNREADABLE_VERSION -> config("PUT", "the last one", whole);
            case NUMBER_THAT_DOES_NOT_RISE -> config("PUT", Long.toString(edition), whole);
            case CHANGE_OF_AN_UNKNOWN_LIST -> config("PATCH", match, change.replace("routeTable", "routes"));
            case CHANGE_THAT_CONTRADICTS_ITSELF -> config(
                    "PATCH", match, change.substring(0, change.length() - 1) + ",\"remove\":{\"upstreams\":[\"s\"]}}");
            case WRONG_METHOD -> config("POST", match, whole);
            case UNKNOWN_PATH -> ControlCaller.request("PUT", "/configuration", match, whole);
            case BEAT_WITHOUT_MEMBERS -> ControlCaller.request(
                    "PUT", "/instances/nobody", null, "{\"status\":\"in_service\"}");
            case PURGE_OF_NOTHING -> ControlCaller.request("POST", "/purge", null, "{}");
        };
    }

    private static String config(String method, String match, String body) {
        return ControlCaller.request(method, "/config", match, body);
    }
}
