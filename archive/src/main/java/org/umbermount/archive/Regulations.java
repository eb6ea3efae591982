package org.umbermount.archive;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.umbermount.kernel.Edition;
import org.umbermount.kernel.Erratum;
import org.umbermount.kernel.FaultException;
import org.umbermount.kernel.Regimen;

/** A configuration: routes, services and limits. */
public record Regulations(Edition edition, List<Route> routes, List<Upstream> upstreams, Limits limits) {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final Regimen SCHEMA = new Regimen("/org/umbermount/archive/configuration.schema.json");

    /** A service with its share of a route's requests. */
    public record Share(String upstream, long weight) {
    }

    /** Where the requests of a host and prefix go, and how. */
    public record Route(String label, String host, String prefix, boolean safe, long timeoutMs, long targetLatencyMs,
            int priority, int maxTries, List<Share> shares) {
    }

    /** A service. */
    public record Upstream(String label, String healthCheck, int maxConnections) {
    }

    /** What a client may send and how long it may take. */
    public record Limits(int maxHeaderBytes, long maxBodyBytes, long headerTimeoutMs, long idleTimeoutMs) {
        public static final Limits DEFAULT = new Limits(16_384, 64L << 20, 3_000, 15_000);
    }

    /** Reads and checks a configuration. */
    public static Regulations parse(byte[] bytes) throws FaultException {
        return read(bytes, true);
    }

    /** Reads a configuration that was checked against the schema before it was taken. */
    public static Regulations readTaken(byte[] bytes) throws FaultException {
        return read(bytes, false);
    }

    private static Regulations read(byte[] bytes, boolean withSchema) throws FaultException {
        JsonNode root;
        try {
            root = MAPPER.readTree(bytes);
        } catch (IOException e) {
            throw invalid("it is not whole JSON");
        }
        if (root == null || !root.isObject()) {
            throw invalid("it is not an object");
        }
        String problem = withSchema ? SCHEMA.firstProblem(root) : null;
        if (problem != null) {
            throw invalid(problem);
        }
        Set<String> known = new HashSet<>();
        List<Upstream> upstreams = new ArrayList<>();
        for (JsonNode u : root.path("upstreams")) {
            String label = u.path("label").asText();
            if (!known.add(label)) {
                throw invalid("service " + label + " is there twice");
            }
            upstreams.add(new Upstream(label, u.path("healthCheck").asText("/health"),
                    u.path("maxConnections").asInt(100)));
        }
        List<Route> routes = new ArrayList<>();
        Set<String> places = new HashSet<>();
        for (JsonNode r : root.path("routeTable")) {
            Route route = route(r, known);
            if (!places.add(route.host() + " " + route.prefix())) {
                throw invalid("two routes share " + route.host() + route.prefix());
            }
            routes.add(route);
        }
        JsonNode l = root.path("limits");
        Limits d = Limits.DEFAULT;
        Limits limits = new Limits(l.path("maxHeaderBytes").asInt(d.maxHeaderBytes),
                l.path("maxBodyBytes").asLong(d.maxBodyBytes), l.path("headerTimeoutMs").asLong(d.headerTimeoutMs),
                l.path("idleTimeoutMs").asLong(d.idleTimeoutMs));
        return new Regulations(new Edition(root.path("revision").asLong()), List.copyOf(routes),
                List.copyOf(upstreams), limits);
    }

    private static Route route(JsonNode r, Set<String> known) throws FaultException {
        String label = r.path("label").asText();
        List<Share> shares = new ArrayList<>();
        long sum = 0;
        if (r.has("weightedUpstreams")) {
            for (JsonNode w : r.path("weightedUpstreams")) {
                shares.add(new Share(w.path("upstream").asText(), w.path("weight").asLong()));
                sum += w.path("weight").asLong();
            }
        } else {
            shares.add(new Share(r.path("upstream").asText(), 1));
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
        long timeout = r.path("timeoutMs").asLong(30_000);
        return new Route(label, r.path("virtualHost").asText().toLowerCase(java.util.Locale.ROOT),
                r.path("pathPrefix").asText(), "safe".equals(r.path("routeType").asText()), timeout,
                r.path("targetLatencyMs").asLong(timeout), r.path("priority").asInt(1), r.path("maxTries").asInt(1),
                List.copyOf(shares));
    }

    private static FaultException invalid(String reason) {
        return new FaultException(Erratum.INVALID_CONFIGURATION, "The configuration is invalid: " + reason + ".");
    }
}
