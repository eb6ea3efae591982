package org.umbermount.proxy;

import it.unimi.dsi.fastutil.ints.Int2IntMap;
import it.unimi.dsi.fastutil.ints.Int2IntOpenHashMap;
import java.util.HashMap;
import java.util.Map;
import org.umbermount.kernel.Clock;
import org.umbermount.kernel.Imprint;
import org.umbermount.kernel.Moment;
import org.umbermount.kernel.Postbag;
import org.umbermount.kernel.Script;
import org.umbermount.kernel.Tally;

/**
 * Adds up what the proxies of each zone have at the servers, and tells it to those that have spoken lately. It is soft
 * state of a moment: a controller that starts has it again as soon as its proxies have spoken.
 */
final class OccupancyBoard {
    private static final long GATHER_MS = 60;
    private static final long COUNTS_MS = 450;
    private static final long LISTENS_MS = 1_000;

    private record Word(Moment at, Int2IntOpenHashMap counts) {
    }

    private final Clock clock;
    private final Postbag post;
    private final Tally tally;
    private final Map<String, Map<Imprint, Word>> zones = new HashMap<>();

    OccupancyBoard(Clock clock, Postbag post, Tally tally) {
        this.clock = clock;
        this.post = post;
        this.tally = tally;
        post.subscribe(Postbag.Topic.OCCUPANCY, this::receive);
    }

    private void receive(Imprint from, byte[] body) throws Script.UnreadableException {
        Script.Reader in = Script.read(body);
        String zone = in.text();
        Word word = new Word(clock.now(), Occupancy.readCounts(in));
        Map<Imprint, Word> words = zones.get(zone);
        if (words == null) {
            words = new HashMap<>();
            zones.put(zone, words);
            clock.after(GATHER_MS, () -> tell(zone));
        }
        words.put(from, word);
    }

    private void tell(String zone) {
        Moment now = clock.now();
        Map<Imprint, Word> words = zones.get(zone);
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
        Script.Writer out = Script.write().num(sums.size());
        for (Int2IntMap.Entry e : sums.int2IntEntrySet()) {
            out.num(e.getIntKey()).num(e.getIntValue());
        }
        byte[] body = out.done();
        for (Imprint proxy : words.keySet()) {
            post.send(proxy, Postbag.Topic.OCCUPANCY, body);
        }
        tally.count("occupancy.told");
        clock.after(GATHER_MS, () -> tell(zone));
    }
}
