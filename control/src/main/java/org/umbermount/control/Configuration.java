package org.umbermount.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.umbermount.kernel.ConfigurationRevision;
import org.umbermount.kernel.ErrorKind;
import org.umbermount.kernel.FaultException;
import org.umbermount.kernel.JsonValue;
import org.umbermount.kernel.SchemaCheck;

/** A configuration: routes, services and limits. */
public record Configuration(
        ConfigurationRevision edition,
        List<Route> routes,
        List<Upstream> upstreams,
        List<Tenant> tenants,
        Limits limits) {
    private static final SchemaCheck SCHEMA = new SchemaCheck("/org/umbermount/control/configuration.schema.json");

    /** A service with its share of a route's requests. */
    public record Share(String upstream, long weight) {}

    /** Where the requests of a host and prefix go, and how. */
    public record Route(
            String label,
            String host,
            String prefix,
            Kind kind,
            boolean anonymous,
            long timeoutMs,
            long targetLatencyMs,
            int priority,
            int maxTries,
            List<Share> shares) {
        public boolean safe() {
            return kind == Kind.SAFE || kind == Kind.CACHEABLE;
        }

        public boolean idempotent() {
            return kind == Kind.IDEMPOTENT;
        }
    }

    /** What may be repeated on a route. */
    public enum Kind {
        /** Requests may run more than once. */
        SAFE,
        /** A request runs at most once for each try of a client. */
        UNSAFE,
        /** All tries with one key run once. */
        IDEMPOTENT,
        /** Reads of objects, of which copies may be kept; handled as safe. */
        CACHEABLE
    }

    /** Who may ask: its keys, its rank, and how much it may ask for; a rate of 0 is no limit. */
    public record Tenant(String label, List<String> apiKeys, int priority, double ratePerS, double burst) {
        public boolean limited() {
            return ratePerS > 0;
        }
    }

    /** A service. */
    public record Upstream(String label, String healthCheck, int maxConnections, boolean dedupCapable) {}

    /** What a client may send and how long it may take. */
    public record Limits(int maxHeaderBytes, long maxBodyBytes, long headerTimeoutMs, long idleTimeoutMs) {
        public static final Limits DEFAULT = new Limits(16_384, 64L << 20, 3_000, 15_000);
    }

    /** Reads and checks a configuration. */
    public static Configuration parse(byte[] bytes) throws FaultException {
        return read(bytes, true);
    }

    /** Reads a configuration that was checked against the schema before it was taken. */
    public static Configuration readTaken(byte[] bytes) throws FaultException {
        return read(bytes, false);
    }

    private static Configuration read(byte[] bytes, boolean withSchema) throws FaultException {
        try {
            JsonValue root = JsonValue.parse(bytes);
            String problem = withSchema ? SCHEMA.firstProblem(bytes) : null;
            if (problem != null) {
                throw invalid(problem);
            }
            return read(root);
        } catch (JsonValue.WrongException e) {
            throw invalid(e.getMessage());
        }
    }

    private static Configuration read(JsonValue root) throws JsonValue.WrongException, FaultException {
        Set<String> known = new HashSet<>();
        List<Upstream> upstreams = new ArrayList<>();
        for (JsonValue u : root.array("upstreams")) {
            String label = u.member("label").text();
            if (!known.add(label)) {
                throw invalid("service " + label + " is there twice");
            }
            upstreams.add(new Upstream(
                    label,
                    u.text("healthCheck", "/health"),
                    (int) u.whole("maxConnections", 1, 1_000_000, 100),
                    u.has("dedupCapable") && u.member("dedupCapable").flag()));
        }
        List<Route> routes = new ArrayList<>();
        Set<String> places = new HashSet<>();
        for (JsonValue r : root.array("routeTable")) {
            Route route = route(r, known);
            if (!places.add(route.host() + " " + route.prefix())) {
                throw invalid("two routes share " + route.host() + route.prefix());
            }
            routes.add(route);
        }
        JsonValue l = root.optional("limits");
        Limits d = Limits.DEFAULT;
        Limits limits = new Limits(
                (int) l.whole("maxHeaderBytes", 256, 1 << 24, d.maxHeaderBytes),
                l.whole("maxBodyBytes", 0, Long.MAX_VALUE, d.maxBodyBytes),
                l.whole("headerTimeoutMs", 1, Integer.MAX_VALUE, d.headerTimeoutMs),
                l.whole("idleTimeoutMs", 1, Integer.MAX_VALUE, d.idleTimeoutMs));
        return new Configuration(
                new ConfigurationRevision(root.member("revision").whole(1, Long.MAX_VALUE)),
                List.copyOf(routes),
                List.copyOf(upstreams),
                tenants(root),
                limits);
    }

    private static List<Tenant> tenants(JsonValue root) throws JsonValue.WrongException, FaultException {
        if (!root.has("tenants")) {
            return List.of();
        }
        Set<String> labels = new HashSet<>();
        Map<String, String> holders = new HashMap<>();
        List<Tenant> tenants = new ArrayList<>();
        for (JsonValue t : root.array("tenants")) {
            String label = t.member("label").text();
            if (!labels.add(label)) {
                throw invalid("tenant " + label + " is there twice");
            }
            List<String> keys = new ArrayList<>();
            if (t.has("apiKeys")) {
                for (JsonValue k : t.array("apiKeys")) {
                    String holder = holders.putIfAbsent(k.text(), label);
                    if (holder != null && !holder.equals(label)) {
                        throw invalid("tenants " + holder + " and " + label + " share a key");
                    }
                    keys.add(k.text());
                }
            }
            tenants.add(new Tenant(
                    label,
                    List.copyOf(keys),
                    (int) t.whole("priority", 0, Integer.MAX_VALUE, 0),
                    t.number("ratePerS", 0),
                    t.number("burst", 0)));
        }
        return List.copyOf(tenants);
    }

    private static Kind kind(JsonValue type) throws JsonValue.WrongException {
        return switch (type.text()) {
            case "safe" -> Kind.SAFE;
            case "unsafe" -> Kind.UNSAFE;
            case "idempotent" -> Kind.IDEMPOTENT;
            case "cacheable" -> Kind.CACHEABLE;
            default -> throw type.wrong("must be safe, unsafe, idempotent or cacheable");
        };
    }

    private static Route route(JsonValue r, Set<String> known) throws JsonValue.WrongException, FaultException {
        String label = r.member("label").text();
        List<Share> shares = new ArrayList<>();
        long sum = 0;
        if (r.has("weightedUpstreams")) {
            for (JsonValue w : r.array("weightedUpstreams")) {
                long weight = w.member("weight").whole(0, Integer.MAX_VALUE);
                shares.add(new Share(w.member("upstream").text(), weight));
                sum += weight;
            }
        } else {
            shares.add(new Share(r.member("upstream").text(), 1));
            sum = 1;
        }
        for (Share s : shares) {
            if (!known.contains(s.upstream())) {
                throw invalid("route " + label + " names the unknown service " + s.upstream());
            }
        }
        if (sum <= 0) {
            throw invalid("the weights of route " + label + " sum to 0");
        }
        long timeout = r.member("timeoutMs").whole(1, Integer.MAX_VALUE);
        return new Route(
                label,
                r.member("virtualHost").text().toLowerCase(java.util.Locale.ROOT),
                r.member("pathPrefix").text(),
                kind(r.member("routeType")),
                r.has("anonymous") && r.member("anonymous").flag(),
                timeout,
                r.whole("targetLatencyMs", 1, Integer.MAX_VALUE, timeout),
                (int) r.whole("priority", 0, Integer.MAX_VALUE, 1),
                (int) r.whole("maxTries", 1, Integer.MAX_VALUE, 1),
                List.copyOf(shares));
    }

    private static FaultException invalid(String reason) {
        return new FaultException(ErrorKind.INVALID_CONFIGURATION, "The configuration is invalid: " + reason + ".");
    }
}
