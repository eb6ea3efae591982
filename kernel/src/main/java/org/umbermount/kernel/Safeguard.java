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
    /** Nothing is said of an order whose number is at or below the newest one that is no longer remembered. */
    FLOOR_RESPECTED,
    /** An order counts as taken only if the digest of its call is that of the one which was taken under its number. */
    DIGEST_COMPARED,
    /** The tail answers a debt that came down the chain only if its order is in the state that is committed. */
    OWED_ONLY_IF_TAKEN,
    /** An answer counts only for the life of the process that asked. */
    REPLY_OF_THIS_LIFE,
    /** An order that was refused since the version it builds on is not there yet is not taken when that version comes. */
    AHEAD_BARRED,
    /** What is held counts as committed only if it is the very configuration that is, and not another under its number. */
    COMMITTED_BY_CONTENT;

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
