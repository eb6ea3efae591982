package org.umbermount.kernel;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The settings of a process, checked against {@code settings.schema.json}. */
public record HouseRules(
        String nodeName, String zone, Map<String, String> zones, String ip,
        Map<String, Imprint> listeners, int firstPort, int lastPort, List<Imprint> seedNodes, boolean bootstrap,
        String dataPath, long memoryMb, int maxFds, long heartbeatMs, Bounds bounds) {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** The figures that the rules are judged by. */
    public record Bounds(long contactMs, long ackMs, long drainMs, long graceMs, long configApplyMs,
            double retryRatio, long retryWindowMs, double retryBurst, long syncTimeMs) {
    }

    /** The settings cannot be used; the message is one sentence that names the field. */
    public static final class InvalidException extends Exception {
        InvalidException(String message) {
            super(message);
        }
    }

    public static HouseRules load(Path file) throws InvalidException {
        byte[] bytes;
        try {
            bytes = Files.readAllBytes(file);
        } catch (IOException e) {
            throw new InvalidException("The settings file " + file + " cannot be opened.");
        }
        return parse(bytes);
    }

    public static HouseRules parse(byte[] bytes) throws InvalidException {
        JsonNode root;
        try {
            root = MAPPER.readTree(bytes);
        } catch (IOException e) {
            throw new InvalidException("The settings are not JSON: " + firstLine(e.getMessage()) + ".");
        }
        String problem = root == null || !root.isObject() ? "the settings must be an object"
                : Regimen.SETTINGS.firstProblem(root);
        if (problem != null) {
            throw new InvalidException("The settings are invalid: " + problem + ".");
        }
        String field = "";
        try {
            Map<String, Imprint> listeners = new LinkedHashMap<>();
            for (Map.Entry<String, JsonNode> e : root.path("listeners").properties()) {
                field = "listeners." + e.getKey();
                listeners.put(e.getKey(), Imprint.parse(e.getValue().asText()));
            }
            List<Imprint> seeds = new ArrayList<>();
            for (JsonNode seed : root.path("seedNodes")) {
                field = "seedNodes";
                seeds.add(Imprint.parse(seed.asText()));
            }
            field = "ipAddress";
            Imprint.parse(root.path("ipAddress").asText() + ":1");
            Map<String, String> zones = new HashMap<>();
            for (Map.Entry<String, JsonNode> e : root.path("zones").properties()) {
                zones.put(e.getKey(), e.getValue().asText());
            }
            JsonNode b = root.path("bounds");
            Bounds bounds = new Bounds(b.path("contactMs").asLong(4000), b.path("ackMs").asLong(5000),
                    b.path("drainMs").asLong(3000), (long) (b.path("graceS").asDouble(6) * 1000),
                    b.path("configApplyMs").asLong(3000), b.path("retryRatio").asDouble(0.1),
                    (long) (b.path("retryWindowS").asDouble(10) * 1000), b.path("retryBurst").asDouble(10),
                    (long) (b.path("syncTimeS").asDouble(4) * 1000));
            int first = root.path("internalPortRange").path(0).asInt();
            int last = root.path("internalPortRange").path(1).asInt();
            if (last <= first) {
                throw new InvalidException("The settings are invalid: internalPortRange needs two ports or more.");
            }
            return new HouseRules(root.path("nodeName").asText(), root.path("zone").asText(), zones,
                    root.path("ipAddress").asText(), listeners, first, last, seeds,
                    root.path("bootstrap").asBoolean(false), root.path("dataPath").isTextual() ? root.path("dataPath").asText() : "",
                    root.path("limits").path("memoryMb").asLong(0), root.path("limits").path("maxFds").asInt(1024),
                    root.path("heartbeatMs").asLong(1500), bounds);
        } catch (IllegalArgumentException e) {
            throw new InvalidException("The settings are invalid: " + field + " is " + e.getMessage() + ".");
        }
    }

    /** The datagram address of a role on the machine that this control or listener address names. */
    public Imprint mailAddress(Imprint listener, Role role) {
        return listener.withPort(firstPort + role.portOffset());
    }

    public Imprint ownMail(Role role) {
        return Imprint.parse(ip + ":" + (firstPort + role.portOffset()));
    }

    private static String firstLine(String text) {
        int end = text.indexOf('\n');
        return end < 0 ? text : text.substring(0, end);
    }
}
