package org.umbermount.proxy;

import it.unimi.dsi.fastutil.ints.Int2IntOpenHashMap;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.function.Supplier;
import org.umbermount.kernel.Clock;
import org.umbermount.kernel.DaemonAddress;
import org.umbermount.kernel.MessagePackCodec;
import org.umbermount.kernel.Messenger;
import org.umbermount.kernel.MonotonicTime;

/**
 * How many requests the proxies of the zone have at each server. A proxy alone sees a server a few times in a minute and
 * what the server then says of its load is old before it is used; so each proxy that has requests underway tells the
 * zone's controller at short intervals, and is told the sums. Nothing is said while nothing is underway, and without news
 * a proxy goes by what the servers say.
 */
final class Occupancy {
    static final long REPORT_MS = 100;
    /** Older sums are not used. */
    static final long FRESH_MS = 400;

    private static final int ENTRIES_AT_MOST = 20_000;

    private final Clock clock;
    private final Messenger messenger;
    private final String zone;
    private final Supplier<DaemonAddress> controller;
    private final Set<UpstreamServer> busy = new LinkedHashSet<>();
    private Int2IntOpenHashMap sums = new Int2IntOpenHashMap();
    private Int2IntOpenHashMap reported = new Int2IntOpenHashMap();
    private MonotonicTime heard = MonotonicTime.NEVER;
    private boolean reporting;

    Occupancy(Clock clock, Messenger messenger, String zone, Supplier<DaemonAddress> controller) {
        this.clock = clock;
        this.messenger = messenger;
        this.zone = zone;
        this.controller = controller;
        messenger.subscribe(Messenger.Topic.OCCUPANCY, this::receive);
    }

    /** A server has got its first request from here. */
    void began(UpstreamServer repository) {
        busy.add(repository);
        if (!reporting) {
            reporting = true;
            clock.after(REPORT_MS, this::report);
        }
    }

    /** The last request from here has left a server. */
    void ended(UpstreamServer repository) {
        busy.remove(repository);
    }

    private void report() {
        boolean nothing = busy.isEmpty();
        reporting = !nothing;
        DaemonAddress to = controller.get();
        if (to != null) {
            Int2IntOpenHashMap now = new Int2IntOpenHashMap(busy.size());
            MessagePackCodec.Writer out = MessagePackCodec.write().text(zone).num(busy.size());
            for (UpstreamServer r : busy) {
                out.num(r.code).num(r.inFlight);
                now.put(r.code, r.inFlight);
            }
            reported = now;
            messenger.send(to, Messenger.Topic.OCCUPANCY, out.done());
        }
        if (!nothing) {
            clock.after(REPORT_MS, this::report);
        }
    }

    private void receive(DaemonAddress from, byte[] body) throws MessagePackCodec.UnreadableException {
        MessagePackCodec.Reader in = MessagePackCodec.read(body);
        sums = readCounts(in);
        heard = clock.now();
    }

    static Int2IntOpenHashMap readCounts(MessagePackCodec.Reader in) throws MessagePackCodec.UnreadableException {
        long n = in.num();
        if (n < 0 || n > ENTRIES_AT_MOST) {
            throw new MessagePackCodec.UnreadableException("a count is beyond reason", null);
        }
        Int2IntOpenHashMap counts = new Int2IntOpenHashMap((int) n);
        for (long i = 0; i < n; i++) {
            counts.put((int) in.num(), (int) in.num());
        }
        return counts;
    }

    /** When the sums in use came. */
    MonotonicTime heard() {
        return heard;
    }

    boolean fresh(MonotonicTime now) {
        return now.since(heard) <= FRESH_MS;
    }

    /** Requests that the other proxies of the zone have at a server. */
    int others(int code) {
        return Math.max(0, sums.get(code) - reported.get(code));
    }
}
