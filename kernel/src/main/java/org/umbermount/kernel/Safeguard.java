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
    /** A voter that is gone gives up its seat while there are more than 2f + 1, or it is taken by one that is well. */
    SEAT_GIVEN_UP,
    /** Seats change again only when the leases that the voters before may have granted have run out. */
    SEATS_REST,
    /** Leases count only grants of voters that are in the view of whoever asks, and not promised to the next. */
    GRANTS_OF_ONE_VIEW;

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
