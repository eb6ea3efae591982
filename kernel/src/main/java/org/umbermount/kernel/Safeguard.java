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
    /** A vote counts only from a member of the view asked about that no promise binds, in its newest incarnation. */
    VOTES_OF_THE_VIEW_ONLY,
    /** An order that is already committed is confirmed to its caller only after a majority has confirmed the view. */
    REPEAT_CONFIRMED,
    /** An answer that comes after its caller's time, as to a process that stood still, is not handed on. */
    LATE_ANSWERS_DROPPED,
    /** A named change that is invalid on the version held here is refused only after a confirmed reading of it. */
    INVALIDITY_CONFIRMED,
    /** A purge is confirmed only after a majority has confirmed the view, asked after the call came in. */
    PURGE_CONFIRMED,
    /** Beats and sign-offs are answered only while a majority answers roll calls sent lately. */
    CONTACT_BEFORE_BEATS,
    /** News of a server is acknowledged only once a majority of the voters holds it. */
    NEWS_WITH_MAJORITY,
    /** News that was not acknowledged the first time is not acknowledged to a repeat for its being known here. */
    REPEATED_NEWS_WAITS,
    /** Tables are offered only after the edition was confirmed as the newest, and anew after each break of the contact. */
    EDITION_CONFIRMED_BEFORE_TABLES,
    /** The lease is looked at each time that something is sent to a lector, not only when it is known to have ended. */
    LEASE_CHECKED_ON_SENDING,
    /** A lease is counted from the moment at which it was asked for. */
    LEASE_COUNTED_FROM_ASKING,
    /** Who has restarted grants nothing while a lease that it has forgotten may run. */
    GRANTS_WAIT_AFTER_RESTART,
    /** Quota is granted, and limits are applied, only under a lease that holds at that moment and a confirmed edition. */
    QUOTA_UNDER_CONFIRMED_EDITION,
    /** An operation is refused only after a majority has confirmed the view, asked after the refusal was decided. */
    OPERATION_REFUSAL_CONFIRMED;

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
