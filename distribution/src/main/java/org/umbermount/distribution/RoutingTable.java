package org.umbermount.distribution;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.umbermount.kernel.ConfigurationRevision;
import org.umbermount.kernel.MessagePackCodec;

/**
 * The route and endpoint table at one moment: entries under keys, each packed. It never changes; a difference
 * between two of them says which keys go and which entries come, so that taking it twice does no harm.
 */
public final class RoutingTable {
    public static final RoutingTable EMPTY = new RoutingTable(Map.of());
    /** Holds the edition and the limits; a table without it is empty. */
    public static final String CONFIGURATION = "c";
    /** Holds the number of proxies that share the fleet's budgets. */
    public static final String FLEET = "f";

    public static final String ROUTE = "r/";
    public static final String UPSTREAM = "u/";
    public static final String INSTANCE = "i/";
    public static final String TENANT = "t/";
    /** A controller and its zone: in a large fleet few of them are among a proxy's neighbours. */
    public static final String CONTROLLER = "g/";
    /** Which controller does a duty that proxies ask for. */
    public static final String DUTY = "d/";

    private final Map<String, byte[]> entries;
    private final ConfigurationRevision edition;
    // A sender has one table for all its proxies, and a proxy steps from one to the next: the last question is the next
    // one.
    // One immutable object, read and written whole: a process with several event loops shares the empty table.
    private Comparison last;

    private RoutingTable(Map<String, byte[]> entries) {
        this.entries = entries;
        this.edition = readEdition(entries.get(CONFIGURATION));
    }

    /** A table of the given entries. */
    public static RoutingTable of(Map<String, byte[]> entries) {
        return new RoutingTable(Map.copyOf(entries));
    }

    private static ConfigurationRevision readEdition(byte[] configuration) {
        if (configuration == null) {
            return ConfigurationRevision.NONE;
        }
        try {
            return new ConfigurationRevision(
                    MessagePackCodec.read(configuration).num());
        } catch (MessagePackCodec.UnreadableException e) {
            return ConfigurationRevision.NONE;
        }
    }

    /** The packed entries by key. Their arrays must not be changed. */
    public Map<String, byte[]> entries() {
        return Collections.unmodifiableMap(entries);
    }

    /** The revision of the configuration that the table holds. */
    public ConfigurationRevision edition() {
        return edition;
    }

    public boolean isEmpty() {
        return entries.isEmpty();
    }

    /** What changes from one table to another. */
    public record Difference(List<String> gone, Map<String, byte[]> come) {
        public boolean isEmpty() {
            return gone.isEmpty() && come.isEmpty();
        }

        void write(MessagePackCodec.Writer out) {
            out.list(gone, MessagePackCodec.Writer::text)
                    .list(come.entrySet(), (o, e) -> o.text(e.getKey()).bytes(e.getValue()));
        }

        static Difference read(MessagePackCodec.Reader in) throws MessagePackCodec.UnreadableException {
            List<String> gone = in.list(MessagePackCodec.Reader::text);
            Map<String, byte[]> come = new HashMap<>();
            in.list(r -> come.put(r.text(), r.bytes()));
            return new Difference(gone, come);
        }
    }

    private record Comparison(RoutingTable older, Difference difference) {}

    /**
     * What has to change in the older table to make this one. The last result is kept, since all proxies of a zone need
     * it.
     */
    public Difference since(RoutingTable older) {
        Comparison known = last;
        if (known == null || known.older != older) {
            known = new Comparison(older, compare(older));
            last = known;
        }
        return known.difference;
    }

    private Difference compare(RoutingTable older) {
        List<String> gone = new ArrayList<>();
        for (String key : older.entries.keySet()) {
            if (!entries.containsKey(key)) {
                gone.add(key);
            }
        }
        Map<String, byte[]> come = new HashMap<>();
        for (Map.Entry<String, byte[]> e : entries.entrySet()) {
            byte[] old = older.entries.get(e.getKey());
            if (old != e.getValue() && !Arrays.equals(old, e.getValue())) {
                come.put(e.getKey(), e.getValue());
            }
        }
        return new Difference(gone, come);
    }

    /** This table after a difference. Applying the same difference twice has the same result as once. */
    public RoutingTable with(Difference difference) {
        Map<String, byte[]> next = new HashMap<>(entries);
        difference.gone().forEach(next::remove);
        next.putAll(difference.come());
        RoutingTable result = new RoutingTable(next);
        result.last = new Comparison(this, difference);
        return result;
    }

    /** Whether both tables have equal entries. */
    public boolean sameAs(RoutingTable other) {
        return this == other
                || entries.size() == other.entries.size() && since(other).isEmpty();
    }
}
