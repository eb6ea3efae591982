package org.umbermount.proxy;

import java.util.List;
import java.util.Random;
import org.umbermount.control.Configuration;
import org.umbermount.kernel.Clock;
import org.umbermount.kernel.MonotonicTime;

/** Chooses the server: of two drawn from the own zone the better one, and one elsewhere where that is worth it. */
final class LoadBalancer {
    /** What leaving the zone has to save, as a part of the route's aim. */
    private static final double ELSEWHERE = 0.35;
    /** How far over its slots a server is offered requests: nothing tells how long its queue is. */
    private static final double QUEUE_SAFE = 0.67;

    private static final double QUEUE_UNSAFE = 0.67;
    private static final double HEDGE_AT = 1.8;
    private static final int DRAWS = 6;
    /** How many more are looked at when the first two have no free slot. */
    private static final int FURTHER_LOCAL = 3;

    private static final int FURTHER_ELSEWHERE = 3;

    private final Clock clock;
    private final Random random;

    LoadBalancer(Clock clock, Random random) {
        this.clock = clock;
        this.random = random;
    }

    /** A server with room, or null. */
    UpstreamServer choose(
            UpstreamService upstreamService,
            Configuration.Route route,
            List<UpstreamServer> tried,
            MonotonicTime deadline) {
        MonotonicTime now = clock.now();
        double queue = route.safe() ? QUEUE_SAFE : QUEUE_UNSAFE;
        UpstreamServer local = chooseLocal(upstreamService, tried, now, queue);
        double localMs = local == null ? Double.MAX_VALUE : local.expectedMs(now);
        if (local != null
                && local.load(now) + 1 <= local.instance.capacity()
                && localMs <= route.targetLatencyMs() * 0.8) {
            return local;
        }
        UpstreamServer best = local;
        double bestMs = localMs;
        // A few at random, of here and of elsewhere, and not the best of all: every proxy would find the same one.
        for (int i = 0; i < FURTHER_LOCAL + FURTHER_ELSEWHERE; i++) {
            UpstreamServer r = draw(
                    i < FURTHER_LOCAL ? upstreamService.local : upstreamService.elsewhere, tried, now, queue, best);
            double ms = r == null
                    ? Double.MAX_VALUE
                    : r.expectedMs(now) + (r.local ? 0 : route.targetLatencyMs() * ELSEWHERE);
            if (ms < bestMs) {
                best = r;
                bestMs = ms;
            }
        }
        return best != null ? best : anyWithRoom(upstreamService, tried, now, queue);
    }

    /** When draws find none: the first with room, looked for from a random place. */
    private UpstreamServer anyWithRoom(
            UpstreamService upstreamService, List<UpstreamServer> tried, MonotonicTime now, double queue) {
        int n = upstreamService.elsewhere.size();
        int start = n == 0 ? 0 : random.nextInt(n);
        for (int i = 0; i < n; i++) {
            UpstreamServer r = upstreamService.elsewhere.get((start + i) % n);
            if (hasRoom(r, tried, now, queue)) {
                return r;
            }
        }
        return null;
    }

    private static boolean hasRoom(UpstreamServer r, List<UpstreamServer> tried, MonotonicTime now, double queue) {
        return !tried.contains(r) && r.usable(now) && r.hasRoom(now, r.instance.capacity() * queue);
    }

    private UpstreamServer chooseLocal(
            UpstreamService upstreamService, List<UpstreamServer> tried, MonotonicTime now, double queue) {
        UpstreamServer first = draw(upstreamService.local, tried, now, queue, null);
        UpstreamServer second = first == null ? null : draw(upstreamService.local, tried, now, queue, first);
        if (second != null) {
            return better(first, second, now);
        }
        // Few are left: look at each of them.
        first = null;
        int seen = 0;
        for (UpstreamServer r : upstreamService.local) {
            if (!hasRoom(r, tried, now, queue)) {
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
    private UpstreamServer draw(
            List<UpstreamServer> among,
            List<UpstreamServer> tried,
            MonotonicTime now,
            double queue,
            UpstreamServer not) {
        int n = among.size();
        for (int i = 0; n > 0 && i < DRAWS; i++) {
            UpstreamServer r = among.get(random.nextInt(n));
            if (r != not && hasRoom(r, tried, now, queue)) {
                return r;
            }
        }
        return null;
    }

    private UpstreamServer better(UpstreamServer first, UpstreamServer second, MonotonicTime now) {
        double a = first.expectedMs(now);
        double b = second.expectedMs(now);
        if (Math.abs(a - b) < 0.02 * a) {
            return random.nextBoolean() ? first : second;
        }
        return a < b ? first : second;
    }

    /** How long the first server has before a second is asked. */
    long hedgeAfterMs(UpstreamService upstreamService, Configuration.Route route) {
        return (long) Math.max(4.0 * upstreamService.typicalMs, HEDGE_AT * route.targetLatencyMs());
    }
}
