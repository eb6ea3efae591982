package org.umbermount.circulation;

import java.util.List;
import java.util.Random;
import org.umbermount.archive.Regulations;
import org.umbermount.kernel.Almanac;
import org.umbermount.kernel.Moment;

/** Chooses the server: of two drawn from the own zone the better one, and one elsewhere where that is worth it. */
final class Concierge {
    /** What leaving the zone has to save, as a part of the route's aim. */
    private static final double ELSEWHERE = 0.5;
    /** How far over its slots a server is offered requests: nothing tells how long its queue is. */
    private static final double QUEUE_SAFE = 0.67;
    private static final double QUEUE_UNSAFE = 0.67;
    private static final double HEDGE_AT = 1.8;
    private static final int DRAWS = 6;

    private final Almanac almanac;
    private final Random random;

    Concierge(Almanac almanac, Random random) {
        this.almanac = almanac;
        this.random = random;
    }

    /** A server with room, or null. */
    Repository choose(Wing wing, Regulations.Route route, List<Repository> tried, Moment deadline) {
        Moment now = almanac.now();
        double queue = route.safe() ? QUEUE_SAFE : QUEUE_UNSAFE;
        Repository local = chooseLocal(wing, tried, now, queue);
        double localMs = local == null ? Double.MAX_VALUE : local.expectedMs(now);
        if (local != null && local.load(now) + 1 <= local.instance.capacity() && localMs <= route.targetLatencyMs() * 0.8) {
            return local;
        }
        Repository best = local;
        double bestMs = localMs;
        double penalty = route.targetLatencyMs() * ELSEWHERE;
        for (Repository r : wing.repositories) {
            if (r == local || tried.contains(r) || !r.usable(now) || !r.hasRoom(now, r.instance.capacity() * queue)) {
                continue;
            }
            double ms = r.expectedMs(now) * (0.95 + 0.1 * random.nextDouble())
                    + (r.local ? 0 : penalty);
            if (ms < bestMs) {
                best = r;
                bestMs = ms;
            }
        }
        return best;
    }

    private Repository chooseLocal(Wing wing, List<Repository> tried, Moment now, double queue) {
        Repository first = draw(wing, tried, now, queue, null);
        Repository second = first == null ? null : draw(wing, tried, now, queue, first);
        if (second != null) {
            return better(first, second, now);
        }
        // Few are left: look at each of them.
        first = null;
        int seen = 0;
        for (Repository r : wing.local) {
            if (tried.contains(r) || !r.usable(now) || !r.hasRoom(now, r.instance.capacity() * queue)) {
                continue;
            }
            seen++;
            // Two at random out of a stream of unknown length.
            if (first == null) {
                first = r;
            } else if (second == null) {
                second = r;
            } else {
                int draw = random.nextInt(seen);
                if (draw == 0) {
                    first = r;
                } else if (draw == 1) {
                    second = r;
                }
            }
        }
        return second == null ? first : better(first, second, now);
    }

    /** One at random that has room; null if a few draws find none. */
    private Repository draw(Wing wing, List<Repository> tried, Moment now, double queue, Repository not) {
        int n = wing.local.size();
        for (int i = 0; n > 0 && i < DRAWS; i++) {
            Repository r = wing.local.get(random.nextInt(n));
            if (r != not && !tried.contains(r) && r.usable(now) && r.hasRoom(now, r.instance.capacity() * queue)) {
                return r;
            }
        }
        return null;
    }

    private Repository better(Repository first, Repository second, Moment now) {
        double a = first.expectedMs(now);
        double b = second.expectedMs(now);
        if (Math.abs(a - b) < 0.02 * a) {
            return random.nextBoolean() ? first : second;
        }
        return a < b ? first : second;
    }

    /** How long the first server has before a second is asked. */
    long hedgeAfterMs(Wing wing, Regulations.Route route) {
        return (long) Math.max(4.0 * wing.typicalMs, HEDGE_AT * route.targetLatencyMs());
    }
}
