package org.umbermount.control;

import java.util.LinkedHashMap;
import java.util.Map;
import org.umbermount.kernel.MonotonicTime;
import org.umbermount.kernel.Safeguard;

/**
 * The orders that the head of a view refused because the version they build on is not there. A copy of one that is late on the
 * network, or under way through another controller, must not be taken when that version comes. Kept for longer than a call
 * waits; nobody remembers them in the next view, and they are put to this one alone. What an earlier life of this process
 * refused in this view is not known either: while calls of that time may wait, a life takes no order that may be one of them.
 */
final class RefusedAhead {
    private static final long KEPT_MS = 10_000;
    /** Calls wait for 850 ms. */
    private static final long STARTING_MS = 1_000;

    private static final int MOST = 256;

    private final Map<Order, MonotonicTime> refused = new LinkedHashMap<>();
    private final MonotonicTime started;

    RefusedAhead(MonotonicTime started) {
        this.started = started;
    }

    /** Bars an order that is about to be refused; false if there is no room, and it must not be refused then. */
    boolean bar(Order order, MonotonicTime now) {
        refused.values().removeIf(at -> now.since(at) > KEPT_MS);
        if (refused.size() >= MOST && !refused.containsKey(order)) {
            return false;
        }
        refused.put(order, now);
        return true;
    }

    /** Whether an order must not be taken now; {@code ahead} says that its base was not known where it came in. */
    boolean bars(Order order, boolean ahead, MonotonicTime now) {
        MonotonicTime at = refused.get(order);
        boolean barred = at != null && now.since(at) <= KEPT_MS || ahead && now.since(started) <= STARTING_MS;
        return barred && Safeguard.AHEAD_BARRED.holds();
    }

    void clear() {
        refused.clear();
    }
}
