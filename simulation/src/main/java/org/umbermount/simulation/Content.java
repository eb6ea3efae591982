package org.umbermount.simulation;

import org.umbermount.distribution.RoutingTable;
import org.umbermount.distribution.Tables;
import org.umbermount.kernel.MessagePackCodec;

/**
 * What a configuration of a simulated day holds. Its limits tell orders that were sent whole apart, and its one route
 * tells changes of single items apart, so that a proxy's table shows which order it comes from.
 */
record Content(long edition, long limitVariant, long routeVariant, boolean hasTenant) {
    /** The least {@code maxHeaderBytes}; the variant is added to it. */
    static final long LEAST_LIMIT = 4_096;

    private static final long NO_ROUTE = -1;
    private static final long LEAST_TIMEOUT_MS = 1_000;
    private static final String ROUTE_HOST = "h.example";
    private static final String ROUTE_PREFIX = "/p/";
    private static final String TENANTS = "[{\"label\":\"" + Clients.TENANT.label() + "\",\"apiKeys\":[\""
            + Clients.TENANT.apiKeys().get(0) + "\"],\"priority\":1,\"ratePerS\":" + Clients.TENANT.ratePerS()
            + ",\"burst\":" + Clients.TENANT.burst() + "}]";
    private static final String SERVICES = "[{\"label\":\"s\"}]";

    /** A configuration that is sent whole. */
    static Content whole(long edition, long variant) {
        return new Content(edition, variant, NO_ROUTE, false);
    }

    /** The same with the tenant of the {@link Clients}. */
    Content withTenant() {
        return new Content(edition, limitVariant, routeVariant, true);
    }

    /** What a change of the route makes of this one. */
    Content amended(long newEdition, long variant) {
        return new Content(newEdition, limitVariant, variant, hasTenant);
    }

    /** The body of a PUT, and the configuration in force once the order is taken. */
    String text() {
        boolean routed = routeVariant != NO_ROUTE;
        return "{\"revision\":" + edition + ",\"routeTable\":" + (routed ? routes() : "[]") + ",\"upstreams\":"
                + (routed ? SERVICES : "[]") + ",\"limits\":{\"maxHeaderBytes\":" + (LEAST_LIMIT + limitVariant) + "}"
                + (hasTenant ? ",\"tenants\":" + TENANTS : "") + "}";
    }

    /** The body of the PATCH that makes this one of the version before. */
    String amendment() {
        return "{\"revision\":" + edition + ",\"upsert\":{\"routeTable\":" + routes() + ",\"upstreams\":" + SERVICES
                + "}}";
    }

    private String routes() {
        return "[{\"label\":\"p\",\"virtualHost\":\"" + ROUTE_HOST + "\",\"pathPrefix\":\"" + ROUTE_PREFIX
                + "\",\"routeType\":\"safe\",\"timeoutMs\":" + (LEAST_TIMEOUT_MS + routeVariant)
                + ",\"upstream\":\"s\",\"maxTries\":2}]";
    }

    /** What a proxy has in force. */
    static Content of(RoutingTable table) throws MessagePackCodec.UnreadableException {
        byte[] limits = table.entries().get(RoutingTable.CONFIGURATION);
        byte[] route = table.entries().get(RoutingTable.ROUTE + ROUTE_HOST + ROUTE_PREFIX);
        long routeVariant = route == null ? NO_ROUTE : Tables.readRoute(route).timeoutMs() - LEAST_TIMEOUT_MS;
        long limitVariant = Tables.readLimits(limits).maxHeaderBytes() - LEAST_LIMIT;
        return new Content(
                table.edition().value(),
                limitVariant,
                routeVariant,
                table.entries().containsKey(RoutingTable.TENANT + Clients.TENANT.label()));
    }
}
