package org.umbermount.archive;

import java.util.LinkedHashMap;
import java.util.Map;
import org.umbermount.kernel.Moment;
import org.umbermount.kernel.Safeguard;

/**
 * The orders that the head of a view refused because the version they build on is not there. A copy of one that is late on the
 * network, or under way through another registrar, must not be taken when that version comes. Kept for longer than a call
 * waits; nobody remembers them in the next view, and they are put to this one alone.
 */
final class RefusedAhead {
    private static final long KEPT_MS = 10_000;
    private static final int MOST = 256;

    private final Map<Order, Moment> refused = new LinkedHashMap<>();

    /** Bars an order that is about to be refused; false if there is no room, and it must not be refused then. */
    boolean bar(Order order, Moment now) {
        refused.values().removeIf(at -> now.since(at) > KEPT_MS);
        if (refused.size() >= MOST && !refused.containsKey(order)) {
            return false;
        }
        refused.put(order, now);
        return true;
    }

    boolean bars(Order order, Moment now) {
        Moment at = refused.get(order);
        return at != null && now.since(at) <= KEPT_MS && Safeguard.AHEAD_BARRED.holds();
    }

    void clear() {
        refused.clear();
    }
}
