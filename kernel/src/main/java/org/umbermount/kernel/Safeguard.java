package org.umbermount.kernel;

/**
 * The mechanisms that the arguments of docs/control.md rest on, each under a name. All of them hold, always. Tests leave one
 * out at a time, to show that the checks notice when it is missing: a check that passes without its safeguard shows nothing.
 */
public enum Safeguard {
    /** A refusal of an order is given only after a majority has confirmed the view that it rests on. */
    REFUSAL_CONFIRMED,
    /** A read of the configuration is answered only after a majority has confirmed the view, asked after the read came in. */
    READ_CONFIRMED;

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
