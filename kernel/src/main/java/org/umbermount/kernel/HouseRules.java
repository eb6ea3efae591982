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

    /** Reads settings; every field that is used is checked here, and named if it cannot be used. */
    public static HouseRules parse(byte[] bytes) throws InvalidException {
        Form root = new Form("", tree(bytes));
        Map<String, Imprint> listeners = new LinkedHashMap<>();
        for (Map.Entry<String, Form> e : root.object("listeners").members().entrySet()) {
            listeners.put(e.getKey(), e.getValue().address());
        }
        List<Imprint> seeds = new ArrayList<>();
        for (Form seed : root.array("seedNodes")) {
            seeds.add(seed.address());
        }
        Map<String, String> zones = new HashMap<>();
        if (root.has("zones")) {
            for (Map.Entry<String, Form> e : root.object("zones").members().entrySet()) {
                zones.put(e.getKey(), e.getValue().text());
            }
        }
        List<Form> ports = root.array("internalPortRange");
        if (ports.size() != 2) {
            throw new InvalidException("The settings are invalid: internalPortRange needs a first and a last port.");
        }
        int first = (int) ports.get(0).number(1, 65_535);
        int last = (int) ports.get(1).number(1, 65_535);
        if (last <= first) {
            throw new InvalidException("The settings are invalid: internalPortRange needs two ports or more.");
        }
        Form b = root.optional("bounds");
        Bounds bounds = new Bounds((long) b.number("contactMs", 4_000), (long) b.number("ackMs", 5_000),
                (long) b.number("drainMs", 3_000), (long) (b.number("graceS", 6) * 1_000),
                (long) b.number("configApplyMs", 3_000), b.number("retryRatio", 0.1),
                (long) (b.number("retryWindowS", 10) * 1_000), b.number("retryBurst", 10),
                (long) (b.number("syncTimeS", 4) * 1_000));
        Form limits = root.optional("limits");
        String ip = root.member("ipAddress").address(1).host();
        return new HouseRules(root.member("nodeName").text(), root.member("zone").text(), zones, ip, listeners, first,
                last, seeds, root.has("bootstrap") && root.member("bootstrap").flag(),
                root.has("dataPath") ? root.member("dataPath").text() : "", (long) limits.number("memoryMb", 0),
                (int) limits.number("maxFds", 1_024), (long) root.number("heartbeatMs", 1_500), bounds);
    }

    /** Checks settings against the whole schema as well; null if all is well, or one sentence. */
    public static String problem(byte[] bytes) {
        try {
            JsonNode root = tree(bytes);
            String problem = Regimen.SETTINGS.firstProblem(root);
            if (problem != null) {
                return "The settings are invalid: " + problem + ".";
            }
            parse(bytes);
            return null;
        } catch (InvalidException e) {
            return e.getMessage();
        }
    }

    private static JsonNode tree(byte[] bytes) throws InvalidException {
        try {
            JsonNode root = MAPPER.readTree(bytes);
            if (root == null || !root.isObject()) {
                throw new InvalidException("The settings are invalid: they are not an object.");
            }
            return root;
        } catch (IOException e) {
            throw new InvalidException("The settings are not JSON: " + firstLine(e.getMessage()) + ".");
        }
    }

    /** A value of the file together with its name, for sentences that say what is wrong with it. */
    private record Form(String name, JsonNode node) {
        private InvalidException wrong(String what) {
            return new InvalidException("The settings are invalid: " + name + " " + what + ".");
        }

        private String path(String child) {
            return name.isEmpty() ? child : name + "." + child;
        }

        boolean has(String child) {
            return node.hasNonNull(child);
        }

        Form member(String child) throws InvalidException {
            if (!has(child)) {
                throw new InvalidException("The settings are invalid: " + path(child) + " is missing.");
            }
            return new Form(path(child), node.get(child));
        }

        Form object(String child) throws InvalidException {
            Form form = member(child);
            if (!form.node.isObject()) {
                throw form.wrong("must be an object");
            }
            return form;
        }

        Form optional(String child) throws InvalidException {
            return has(child) ? object(child) : new Form(path(child), MAPPER.createObjectNode());
        }

        Map<String, Form> members() {
            Map<String, Form> out = new LinkedHashMap<>();
            for (Map.Entry<String, JsonNode> e : node.properties()) {
                out.put(e.getKey(), new Form(path(e.getKey()), e.getValue()));
            }
            return out;
        }

        List<Form> array(String child) throws InvalidException {
            Form form = member(child);
            if (!form.node.isArray()) {
                throw form.wrong("must be a list");
            }
            List<Form> out = new ArrayList<>();
            for (JsonNode n : form.node) {
                out.add(new Form(form.name, n));
            }
            return out;
        }

        String text() throws InvalidException {
            if (!node.isTextual() || node.asText().isEmpty()) {
                throw wrong("must be a text");
            }
            return node.asText();
        }

        boolean flag() throws InvalidException {
            if (!node.isBoolean()) {
                throw wrong("must be true or false");
            }
            return node.asBoolean();
        }

        double number(double least, double most) throws InvalidException {
            if (!node.isNumber() || node.asDouble() < least || node.asDouble() > most) {
                throw wrong("must be a number from " + (long) least + " to " + (long) most);
            }
            return node.asDouble();
        }

        double number(String child, double otherwise) throws InvalidException {
            return has(child) ? member(child).number(0, Integer.MAX_VALUE) : otherwise;
        }

        Imprint address() throws InvalidException {
            try {
                return Imprint.parse(text());
            } catch (IllegalArgumentException e) {
                throw wrong("must hold an IPv4 address and a port");
            }
        }

        Imprint address(int port) throws InvalidException {
            try {
                return Imprint.parse(text() + ":" + port);
            } catch (IllegalArgumentException e) {
                throw wrong("must be an IPv4 address");
            }
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
