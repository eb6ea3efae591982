package org.umbermount.circulation;

import it.unimi.dsi.fastutil.objects.Object2ObjectOpenHashMap;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.umbermount.archive.Regulations;
import org.umbermount.courier.Inventory;
import org.umbermount.courier.Tables;
import org.umbermount.kernel.Script;

/** The routes of a table, ready for looking up. */
final class Holdings {
    static final Holdings EMPTY = new Holdings(new Object2ObjectOpenHashMap<>(), Regulations.Limits.DEFAULT,
            new Object2ObjectOpenHashMap<>(), false);

    private final Object2ObjectOpenHashMap<String, List<Regulations.Route>> byHost;
    private final Regulations.Limits limits;

    private final Object2ObjectOpenHashMap<String, Regulations.Tenant> byKey;
    private final boolean keyed;

    private Holdings(Object2ObjectOpenHashMap<String, List<Regulations.Route>> byHost, Regulations.Limits limits,
            Object2ObjectOpenHashMap<String, Regulations.Tenant> byKey, boolean keyed) {
        this.byKey = byKey;
        this.keyed = keyed;
        this.byHost = byHost;
        this.limits = limits;
    }

    static Holdings of(Inventory table) throws Script.UnreadableException {
        Object2ObjectOpenHashMap<String, List<Regulations.Route>> byHost = new Object2ObjectOpenHashMap<>();
        Object2ObjectOpenHashMap<String, Regulations.Tenant> byKey = new Object2ObjectOpenHashMap<>();
        boolean keyed = false;
        for (Map.Entry<String, byte[]> e : table.entries().entrySet()) {
            if (e.getKey().startsWith(Inventory.TENANT)) {
                Regulations.Tenant tenant = Tables.readTenant(e.getValue());
                keyed = true;
                tenant.apiKeys().forEach(k -> byKey.put(k, tenant));
            }
            if (e.getKey().startsWith(Inventory.ROUTE)) {
                Regulations.Route route = Tables.readRoute(e.getValue());
                byHost.computeIfAbsent(route.host(), h -> new ArrayList<>()).add(route);
            }
        }
        for (List<Regulations.Route> routes : byHost.values()) {
            routes.sort(new LongestPrefixFirst());
        }
        byte[] limits = table.entries().get(Inventory.CONFIGURATION);
        return new Holdings(byHost, limits == null ? Regulations.Limits.DEFAULT : Tables.readLimits(limits), byKey, keyed);
    }

    Regulations.Limits limits() {
        return limits;
    }

    /** Whether requests need a key, but for those of anonymous routes. */
    boolean keyed() {
        return keyed;
    }

    /** The tenant that holds a key, or null. */
    Regulations.Tenant tenant(String key) {
        return key == null ? null : byKey.get(key);
    }

    /** The route with the longest prefix that begins the path, or null. */
    Regulations.Route route(String hostHeader, String uri) {
        if (hostHeader == null) {
            return null;
        }
        int colon = hostHeader.lastIndexOf(':');
        String host = (colon >= 0 ? hostHeader.substring(0, colon) : hostHeader).toLowerCase(Locale.ROOT);
        List<Regulations.Route> routes = byHost.get(host);
        if (routes == null) {
            return null;
        }
        int query = uri.indexOf('?');
        String path = query >= 0 ? uri.substring(0, query) : uri;
        for (Regulations.Route r : routes) {
            if (path.startsWith(r.prefix())) {
                return r;
            }
        }
        return null;
    }

    /** Orders routes so that the first that fits a path is the most specific. */
    private static final class LongestPrefixFirst implements Comparator<Regulations.Route> {
        @Override
        public int compare(Regulations.Route first, Regulations.Route second) {
            return Integer.compare(second.prefix().length(), first.prefix().length());
        }
    }
}
