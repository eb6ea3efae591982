package org.umbermount.proxy;

import it.unimi.dsi.fastutil.ints.Int2IntMap;
import it.unimi.dsi.fastutil.ints.Int2IntOpenHashMap;
import java.util.HashMap;
import java.util.Map;
import org.umbermount.kernel.Clock;
import org.umbermount.kernel.DaemonAddress;
import org.umbermount.kernel.MessagePackCodec;
import org.umbermount.kernel.Messenger;
import org.umbermount.kernel.Metrics;
import org.umbermount.kernel.MonotonicTime;

/**
 * Adds up what the proxies of each zone have at the servers, and tells it to those that have spoken lately. It is soft
 * state of a moment: a controller that starts has it again as soon as its proxies have spoken.
 */
final class OccupancyBoard {
    private static final long GATHER_MS = 60;
    private static final long COUNTS_MS = 450;
    private static final long LISTENS_MS = 1_000;

    private record Word(MonotonicTime at, Int2IntOpenHashMap counts) {}

    private final Clock clock;
    private final Messenger messenger;
    private final Metrics metrics;
    private final Map<String, Map<DaemonAddress, Word>> zones = new HashMap<>();

    OccupancyBoard(Clock clock, Messenger messenger, Metrics metrics) {
        this.clock = clock;
        this.messenger = messenger;
        this.metrics = metrics;
        messenger.subscribe(Messenger.Topic.OCCUPANCY, this::receive);
    }

    private void receive(DaemonAddress from, byte[] body) throws MessagePackCodec.UnreadableException {
        MessagePackCodec.Reader in = MessagePackCodec.read(body);
        String zone = in.text();
        Word word = new Word(clock.now(), Occupancy.readCounts(in));
        Map<DaemonAddress, Word> words = zones.get(zone);
        if (words == null) {
            words = new HashMap<>();
            zones.put(zone, words);
            clock.after(GATHER_MS, () -> tell(zone));
        }
        words.put(from, word);
    }

    private void tell(String zone) {
        MonotonicTime now = clock.now();
        Map<DaemonAddress, Word> words = zones.get(zone);
        words.values().removeIf(w -> now.since(w.at()) > LISTENS_MS);
        if (words.isEmpty()) {
            zones.remove(zone);
            return;
        }
        Int2IntOpenHashMap sums = new Int2IntOpenHashMap();
        for (Word w : words.values()) {
            if (now.since(w.at()) <= COUNTS_MS) {
                for (Int2IntMap.Entry e : w.counts().int2IntEntrySet()) {
                    sums.addTo(e.getIntKey(), e.getIntValue());
                }
            }
        }
        MessagePackCodec.Writer out = MessagePackCodec.write().num(sums.size());
        for (Int2IntMap.Entry e : sums.int2IntEntrySet()) {
            out.num(e.getIntKey()).num(e.getIntValue());
        }
        byte[] body = out.done();
        for (DaemonAddress proxy : words.keySet()) {
            messenger.send(proxy, Messenger.Topic.OCCUPANCY, body);
        }
        metrics.count("occupancy.told");
        clock.after(GATHER_MS, () -> tell(zone));
    }
}
