package org.umbermount.kernel;

/**
 * The mechanisms that the arguments of docs/control.md rest on, each under a name. All of them hold, always. Tests leave one
 * out at a time, to show that the checks notice when it is missing: a check that passes without its safeguard shows nothing.
 */
public enum Safeguard {
    /** An order that was refused since the version it builds on is not there yet is not taken when that version comes. */
    AHEAD_BARRED,
    /** What is held counts as committed only if it is the very configuration that is, and not another under its number. */
    COMMITTED_BY_CONTENT,
    /** An order counts as taken only if the digest of its call is that of the one which was taken under its number. */
    DIGEST_COMPARED,
    /** What an earlier process wrote and may not have waited for is synced before anything rests on it. */
    FILE_SYNCED_AT_OPENING,
    /** Nothing is said of an order whose number is at or below the newest one that is no longer remembered. */
    FLOOR_RESPECTED,
    /** A file counts as safe only when its folder has been synced after the file was made. */
    FOLDER_SYNCED,
    /** Leases count only grants of voters that are in the view of whoever asks, and not promised to the next. */
    GRANTS_OF_ONE_VIEW,
    /** The tail answers a debt that came down the chain only if its order is in the state that is committed. */
    OWED_ONLY_IF_TAKEN,
    /** A read of the configuration is answered only after a majority has confirmed the view, asked after the read came in. */
    READ_CONFIRMED,
    /** A refusal of an order is given only after a majority has confirmed the view that it rests on. */
    REFUSAL_CONFIRMED,
    /** An answer counts only for the life of the process that asked. */
    REPLY_OF_THIS_LIFE,
    /** A long file is written anew beside the old one, which is emptied only when the new one is safe. */
    REWRITTEN_BESIDE,
    /** Seats change again only when the leases that the voters before may have granted have run out. */
    SEATS_REST,
    /** A voter that is gone gives up its seat while there are more than 2f + 1, or it is taken by one that is well. */
    SEAT_GIVEN_UP,
    /** What is behind the last whole record is cut off before the next record is written. */
    TORN_TAIL_DROPPED;

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
