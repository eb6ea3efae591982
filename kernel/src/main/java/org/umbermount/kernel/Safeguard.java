package org.umbermount.kernel;

/**
 * The mechanisms that the arguments of docs/control.md rest on, each under a name. All of them hold, always. Tests leave one
 * out at a time, to show that the checks notice when it is missing: a check that passes without its safeguard shows nothing.
 */
public enum Safeguard {
    /** An order that was refused since the version it builds on is not there yet is not taken when that version comes. */
    AHEAD_BARRED,
    /** A server's answer counts only for the request whose id it shows. */
    ANSWER_MATCHED_BY_ATTEMPT,
    /** A client's connection ends with the answer that says so, whatever has come behind it meanwhile. */
    CLOSE_AS_TOLD,
    /** What is held counts as committed only if it is the very configuration that is, and not another under its number. */
    COMMITTED_BY_CONTENT,
    /** A request that is not safe uses no connection that a server may have forgotten. */
    CONNECTION_RESTED_TOO_LONG,
    /** Beats and sign-offs are answered only while a majority answers roll calls sent lately. */
    CONTACT_BEFORE_BEATS,
    /** An order counts as taken only if the digest of its call is that of the one which was taken under its number. */
    DIGEST_COMPARED,
    /** An error on the disk's thread is told to the loop as a refusal, like an exception. */
    DISK_ERRORS_REPORTED,
    /** A duty is left to a controller of its zone only if that one says that a majority answers it. */
    DUTY_LEFT_TO_ONE_IN_CONTACT,
    /** A signal that comes before the event loop runs is kept for it. */
    EARLY_SIGNALS_KEPT,
    /** Tables are offered only after the edition was confirmed as the newest, and anew after each break of the contact. */
    EDITION_CONFIRMED_BEFORE_TABLES,
    /** A life of a proxy that was followed by another is not served again, unless it answers what was sent since. */
    ENDED_LIFE_NOT_SERVED,
    /** A voter that restarts grants only lease epochs above all that it may have granted before. */
    EPOCHS_RISE_OVER_RESTARTS,
    /** A proxy drops what a sender of a lower epoch sends. */
    FENCED_BY_EPOCH,
    /** What an earlier process wrote and may not have waited for is synced before anything rests on it. */
    FILE_SYNCED_AT_OPENING,
    /** Nothing is said of an order whose number is at or below the newest one that is no longer remembered. */
    FLOOR_RESPECTED,
    /** A file counts as safe only when its folder has been synced after the file was made. */
    FOLDER_SYNCED,
    /** A duty is held only once a majority of the voters has granted it. */
    GRANTED_BY_MAJORITY,
    /** Leases count only grants of voters that are in the view of whoever asks, and not promised to the next. */
    GRANTS_OF_ONE_VIEW,
    /** Who comes to vote grants nothing while a lease may run that the voter before it in its seat has granted. */
    GRANTS_WAIT_AFTER_JOINING,
    /** Who has restarted grants nothing while a lease that it has forgotten may run. */
    GRANTS_WAIT_AFTER_RESTART,
    /** A voter that has lost its memory grants no lease before a view counts it with its new one. */
    GRANTS_WITH_MEMORY_OF_VIEW,
    /** A voter of which a higher incarnation is known takes the next above it. */
    INCARNATION_RAISED,
    /** What is new in a state is added only to the very state that it builds on. */
    INCREMENT_BASE_COMPARED,
    /** A named change that is invalid on the version held here is refused only after a confirmed reading of it. */
    INVALIDITY_CONFIRMED,
    /** A roll call of another life of its sender counts only if it answers something later than the life before it did. */
    LATER_LIFE_ANSWERS_LATER,
    /** An answer that comes after its caller's time, as to a process that stood still, is not handed on. */
    LATE_ANSWERS_DROPPED,
    /** The lease is looked at each time that something is sent to a proxy, not only when it is known to have ended. */
    LEASE_CHECKED_ON_SENDING,
    /** A lease is counted from the moment at which it was asked for. */
    LEASE_COUNTED_FROM_ASKING,
    /** Whoever grants a zone's duty anew tells its holder which proxies of the zone it has heard. */
    PROXIES_INTRODUCED,
    /** A view starts from the newest state among the promises of a majority. */
    NEWEST_PROMISED_STATE,
    /** News of a server is acknowledged only once a majority of the voters holds it. */
    NEWS_WITH_MAJORITY,
    /** Notes on servers are read again only if they were made since the machine's start, and their age is known by it. */
    NOTES_DATED_BY_UPTIME,
    /** Within its life a proxy takes no table with an older edition than the one in force. */
    NO_WAY_BACK,
    /** An operation is refused only after a majority has confirmed the view, asked after the refusal was decided. */
    OPERATION_REFUSAL_CONFIRMED,
    /** An answer that is owed once an order is committed is not given in a later view, where the order may have given way. */
    OWED_WITHIN_ONE_VIEW,
    /** The parts of a long message are put together only if one life of the sender has sent them. */
    PARTS_OF_ONE_LIFE,
    /** A voter that has promised itself to the next view takes no part in the chain of the present one. */
    PROMISE_FREEZES,
    /** A client is promised that its request has not run only if no sending is underway and none may have run. */
    PROMISE_ONLY_IF_NOT_RUN,
    /** A purge is confirmed only after a majority has confirmed the view, asked after the call came in. */
    PURGE_CONFIRMED,
    /** Quota is granted, and limits are applied, only under a lease that holds at that moment and a confirmed edition. */
    QUOTA_UNDER_CONFIRMED_EDITION,
    /** A read of the configuration is answered only after a majority has confirmed the view, asked after the read came in. */
    READ_CONFIRMED,
    /** A voter without its memory reads so many others that they meet every majority it may have been in. */
    RECOVERY_MEETS_MAJORITIES,
    /** A refusal of an order is given only after a majority has confirmed the view that it rests on. */
    REFUSAL_CONFIRMED,
    /** An answer without a server takes no other request's place among a client's answers. */
    REFUSAL_IN_ITS_PLACE,
    /** Grants that come after a duty was given up do not bring it back. */
    RELEASED_FOR_GOOD,
    /** News that was not acknowledged the first time is not acknowledged to a repeat for its being known here. */
    REPEATED_NEWS_WAITS,
    /** An order that is already committed is confirmed to its caller only after a majority has confirmed the view. */
    REPEAT_CONFIRMED,
    /** A count that was asked for by an earlier life of a daemon is not spent by this one. */
    REPLY_MATCHED_BY_LIFE,
    /** An answer counts only for the life of the process that asked. */
    REPLY_OF_THIS_LIFE,
    /** A long file is written anew beside the old one, which is emptied only when the new one is safe. */
    REWRITTEN_BESIDE,
    /** A roll call counts only for the life of the process that it names. */
    ROLL_CALL_NAMES_LIFE,
    /** Seats change again only when the leases that the voters before may have granted have run out. */
    SEATS_REST,
    /** A voter that is gone gives up its seat while there are more than 2f + 1, or it is taken by one that is well. */
    SEAT_GIVEN_UP,
    /** A request that is not safe is sent again only with the proof that it has not run. */
    SENT_ONCE,
    /** A chain that has become too short takes in who is well at once, also while others have to be dropped. */
    SHORT_CHAIN_FILLED,
    /** Who asks for a duty at the same time as others, and has a part of the voters only, gives them back for a time. */
    SPLIT_GRANTS_GIVEN_BACK,
    /** A connection to a server on which anything follows a whole answer is not used again. */
    SURPLUS_RETIRES_CONNECTION,
    /** A controller that stands still again and again holds no duties while a majority of the voters does not. */
    SLOW_STANDS_BACK,
    /** What is behind the last whole record is cut off before the next record is written. */
    TORN_TAIL_DROPPED,
    /** The head repeats what a view begins with until the tail has committed it. */
    VIEW_BEGINNING_REPEATED,
    /** A vote counts only from a member of the view asked about that no promise binds, in its newest incarnation. */
    VOTES_OF_THE_VIEW_ONLY;

    private volatile boolean leftOut;

    /** Whether the mechanism is in place; false only within a test that leaves it out. */
    public boolean holds() {
        return !leftOut;
    }

    /** For tests of the same package alone. */
    void leaveOut(boolean out) {
        leftOut = out;
    }
}
