package org.umbermount.proxy;

import it.unimi.dsi.fastutil.objects.Object2ObjectOpenHashMap;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.umbermount.control.Configuration;
import org.umbermount.distribution.RoutingTable;
import org.umbermount.distribution.Tables;
import org.umbermount.kernel.MessagePackCodec;

/** The routes of a table, ready for looking up. */
final class RouteIndex {
    static final RouteIndex EMPTY = new RouteIndex(
            new Object2ObjectOpenHashMap<>(), Configuration.Limits.DEFAULT, new Object2ObjectOpenHashMap<>(), false);

    private final Object2ObjectOpenHashMap<String, List<Configuration.Route>> byHost;
    private final Configuration.Limits limits;

    private final Object2ObjectOpenHashMap<String, Configuration.Tenant> byKey;
    private final boolean keyed;

    private RouteIndex(
            Object2ObjectOpenHashMap<String, List<Configuration.Route>> byHost,
            Configuration.Limits limits,
            Object2ObjectOpenHashMap<String, Configuration.Tenant> byKey,
            boolean keyed) {
        this.byKey = byKey;
        this.keyed = keyed;
        this.byHost = byHost;
        this.limits = limits;
    }

    static RouteIndex of(RoutingTable table) throws MessagePackCodec.UnreadableException {
        Object2ObjectOpenHashMap<String, List<Configuration.Route>> byHost = new Object2ObjectOpenHashMap<>();
        Object2ObjectOpenHashMap<String, Configuration.Tenant> byKey = new Object2ObjectOpenHashMap<>();
        boolean keyed = false;
        for (Map.Entry<String, byte[]> e : table.entries().entrySet()) {
            if (e.getKey().startsWith(RoutingTable.TENANT)) {
                Configuration.Tenant tenant = Tables.readTenant(e.getValue());
                keyed = true;
                tenant.apiKeys().forEach(k -> byKey.put(k, tenant));
            }
            if (e.getKey().startsWith(RoutingTable.ROUTE)) {
                Configuration.Route route = Tables.readRoute(e.getValue());
                byHost.computeIfAbsent(route.host(), h -> new ArrayList<>()).add(route);
            }
        }
        for (List<Configuration.Route> routes : byHost.values()) {
            routes.sort(new LongestPrefixFirst());
        }
        byte[] limits = table.entries().get(RoutingTable.CONFIGURATION);
        return new RouteIndex(
                byHost, limits == null ? Configuration.Limits.DEFAULT : Tables.readLimits(limits), byKey, keyed);
    }

    Configuration.Limits limits() {
        return limits;
    }

    /** Whether requests need a key, but for those of anonymous routes. */
    boolean keyed() {
        return keyed;
    }

    /** The tenant that holds a key, or null. */
    Configuration.Tenant tenant(String key) {
        return key == null ? null : byKey.get(key);
    }

    /** The route with the longest prefix that begins the path, or null. */
    Configuration.Route route(String hostHeader, String uri) {
        if (hostHeader == null) {
            return null;
        }
        int colon = hostHeader.lastIndexOf(':');
        String host = (colon >= 0 ? hostHeader.substring(0, colon) : hostHeader).toLowerCase(Locale.ROOT);
        List<Configuration.Route> routes = byHost.get(host);
        if (routes == null) {
            return null;
        }
        int query = uri.indexOf('?');
        String path = query >= 0 ? uri.substring(0, query) : uri;
        for (Configuration.Route r : routes) {
            if (path.startsWith(r.prefix())) {
                return r;
            }
        }
        return null;
    }

    /** Orders routes so that the first that fits a path is the most specific. */
    private static final class LongestPrefixFirst implements Comparator<Configuration.Route> {
        @Override
        public int compare(Configuration.Route first, Configuration.Route second) {
            return Integer.compare(second.prefix().length(), first.prefix().length());
        }
    }
}
