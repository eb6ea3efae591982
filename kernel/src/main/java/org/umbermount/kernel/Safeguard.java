package org.umbermount.kernel;

/**
 * The mechanisms that the arguments of docs/control.md rest on, each under a name. All of them hold, always. Tests leave one
 * out at a time, to show that the checks notice when it is missing: a check that passes without its safeguard shows nothing.
 */
public enum Safeguard {
    /** A refusal of an order is given only after a majority has confirmed the view that it rests on. */
    REFUSAL_CONFIRMED,
    /** A read of the configuration is answered only after a majority has confirmed the view, asked after the read came in. */
    READ_CONFIRMED,
    /** A request that is not safe is sent again only with the proof that it has not run. */
    SENT_ONCE,
    /** A client is promised that its request has not run only if no sending is underway and none may have run. */
    PROMISE_ONLY_IF_NOT_RUN,
    /** A server's answer counts only for the request whose id it shows. */
    ANSWER_MATCHED_BY_ATTEMPT,
    /** A connection to a server on which anything follows a whole answer is not used again. */
    SURPLUS_RETIRES_CONNECTION,
    /** A request that is not safe uses no connection that a server may have forgotten. */
    CONNECTION_RESTED_TOO_LONG,
    /** A client's connection ends with the answer that says so, whatever has come behind it meanwhile. */
    CLOSE_AS_TOLD,
    /** An answer without a server takes no other request's place among a client's answers. */
    REFUSAL_IN_ITS_PLACE,
    /** A count that was asked for by an earlier life of a daemon is not spent by this one. */
    REPLY_MATCHED_BY_LIFE,
    /** The parts of a long message are put together only if one life of the sender has sent them. */
    PARTS_OF_ONE_LIFE;

    private static volatile Safeguard leftOut;

    /** Whether the mechanism is in place; false only within a test that leaves it out. */
    public boolean holds() {
        return leftOut != this;
    }

    /** For tests of the same package alone: null puts everything in place again. */
    static void leaveOut(Safeguard one) {
        leftOut = one;
    }
}
