package org.umbermount.control;

import java.util.Locale;
import org.umbermount.kernel.Metrics;

/** Counts the readable messages of views and chain that nothing is done about, by the reason for it. */
final class DroppedMessages {
    /** Why a message is dropped; the name in lower case is part of the meter's name. */
    enum Reason {
        /** It belongs to a view that has ended here, or to one that is not the daemon's own. */
        OLD_VIEW,
        /** It is of, or for, another incarnation of a voter than the newest one known. */
        FOREIGN_INCARNATION,
        /** Its sender has no part in the view that would let it say this. */
        NOT_A_MEMBER
    }

    private final Metrics metrics;

    DroppedMessages(Metrics metrics) {
        this.metrics = metrics;
    }

    void count(Reason reason) {
        metrics.count("control.messages.dropped." + reason.name().toLowerCase(Locale.ROOT));
    }
}
