package org.umbermount.kernel;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The settings of a process, checked against {@code settings.schema.json}. */
public record Settings(
        String nodeName,
        String zone,
        Map<String, String> zones,
        String ip,
        Map<String, DaemonAddress> listeners,
        int firstPort,
        int lastPort,
        List<DaemonAddress> seedNodes,
        boolean bootstrap,
        String dataPath,
        long memoryMb,
        int maxFds,
        long heartbeatMs,
        int toleratedMachines,
        Set<String> guarantees,
        Bounds bounds) {

    /** Which part of the rules covers operations that carry a key. */
    public static final String KEYS = "keys";
    /** Which part of the rules covers the limits of tenants. */
    public static final String QUOTA = "quota";

    /** The figures that the rules are judged by. */
    public record Bounds(
            long contactMs,
            long ackMs,
            long drainMs,
            long graceMs,
            long configApplyMs,
            double retryRatio,
            long retryWindowMs,
            double retryBurst,
            long syncTimeMs,
            Sharing sharing) {
        /** Bounds of a process that shares neither quotas nor operation records with others. */
        public Bounds(
                long contactMs,
                long ackMs,
                long drainMs,
                long graceMs,
                long configApplyMs,
                double retryRatio,
                long retryWindowMs,
                double retryBurst,
                long syncTimeMs) {
            this(
                    contactMs,
                    ackMs,
                    drainMs,
                    graceMs,
                    configApplyMs,
                    retryRatio,
                    retryWindowMs,
                    retryBurst,
                    syncTimeMs,
                    Sharing.NONE);
        }
    }

    /** The figures of what the daemons count and remember as one. */
    public record Sharing(
            boolean strictRevocation,
            long revokeMs,
            long credentialWindowMs,
            long quotaWindowMs,
            double quotaOvershoot,
            double quotaBurst) {
        public static final Sharing NONE = new Sharing(false, 5_000, 60_000, 5_000, 0.1, 10);
    }

    /** Whether a part of the rules is in force here. */
    public boolean guarantees(String part) {
        return guarantees.contains(part);
    }

    /** The settings cannot be used; the message is one sentence that names the field. */
    public static final class InvalidException extends Exception {
        InvalidException(String message) {
            super(message);
        }
    }

    /**
     * The bytes of a settings file, for {@link #parse}.
     *
     * @throws InvalidException if the file cannot be read
     */
    public static byte[] read(Path file) throws InvalidException {
        try {
            return Files.readAllBytes(file);
        } catch (IOException e) {
            throw new InvalidException("The settings file " + file + " cannot be opened.");
        }
    }

    /** Reads settings; every field that is used is checked here, and named if it cannot be used. */
    public static Settings parse(byte[] bytes) throws InvalidException {
        try {
            return read(JsonValue.parse(bytes));
        } catch (JsonValue.WrongException e) {
            throw new InvalidException("The settings are invalid: " + e.getMessage() + ".");
        }
    }

    private static Settings read(JsonValue root) throws JsonValue.WrongException {
        Map<String, DaemonAddress> listeners = new LinkedHashMap<>();
        for (Map.Entry<String, JsonValue> e : root.object("listeners").members().entrySet()) {
            listeners.put(e.getKey(), e.getValue().address());
        }
        List<DaemonAddress> seeds = new ArrayList<>();
        for (JsonValue seed : root.array("seedNodes")) {
            seeds.add(seed.address());
        }
        Map<String, String> zones = new HashMap<>();
        for (Map.Entry<String, JsonValue> e : root.optional("zones").members().entrySet()) {
            zones.put(e.getKey(), e.getValue().text());
        }
        List<JsonValue> ports = root.array("internalPortRange");
        if (ports.size() != 2) {
            throw root.member("internalPortRange").wrong("needs a first and a last port");
        }
        int first = (int) ports.get(0).whole(1, 65_535);
        int last = (int) ports.get(1).whole(1, 65_535);
        if (last <= first) {
            throw root.member("internalPortRange").wrong("needs two ports or more");
        }
        JsonValue b = root.optional("bounds");
        Bounds bounds = new Bounds(
                (long) b.number("contactMs", 4_000),
                (long) b.number("ackMs", 5_000),
                (long) b.number("drainMs", 3_000),
                (long) (b.number("graceS", 6) * 1_000),
                (long) b.number("configApplyMs", 3_000),
                b.number("retryRatio", 0.1),
                (long) (b.number("retryWindowS", 10) * 1_000),
                b.number("retryBurst", 10),
                (long) (b.number("syncTimeS", 4) * 1_000),
                sharing(b));
        JsonValue limits = root.optional("limits");
        Set<String> guarantees = new HashSet<>();
        if (root.has("guarantees")) {
            for (JsonValue g : root.array("guarantees")) {
                guarantees.add(g.text());
            }
        }
        return new Settings(
                root.member("nodeName").text(),
                root.member("zone").text(),
                zones,
                root.member("ipAddress").host().host(),
                listeners,
                first,
                last,
                seeds,
                root.has("bootstrap") && root.member("bootstrap").flag(),
                root.text("dataPath", ""),
                (long) limits.number("memoryMb", 0),
                (int) limits.number("maxFds", 1_024),
                (long) root.number("heartbeatMs", 1_500),
                (int) root.optional("faultTolerance").whole("machines", 0, 1_000, 0),
                Set.copyOf(guarantees),
                bounds);
    }

    private static Sharing sharing(JsonValue b) throws JsonValue.WrongException {
        Sharing d = Sharing.NONE;
        return new Sharing(
                b.has("strictRevocation") && b.member("strictRevocation").flag(),
                (long) b.number("revokeMs", d.revokeMs),
                (long) (b.number("credentialWindowS", d.credentialWindowMs / 1_000) * 1_000),
                (long) (b.number("quotaWindowS", d.quotaWindowMs / 1_000) * 1_000),
                b.number("quotaOvershoot", d.quotaOvershoot),
                b.number("quotaBurst", d.quotaBurst));
    }

    /** Checks settings against the whole schema as well; null if all is well, or one sentence. */
    public static String problem(byte[] bytes) {
        try {
            parse(bytes);
            String problem = SchemaCheck.SETTINGS.firstProblem(bytes);
            return problem == null ? null : "The settings are invalid: " + problem + ".";
        } catch (InvalidException e) {
            return e.getMessage();
        }
    }

    /** The datagram address of a role on the machine that this control or listener address names. */
    public DaemonAddress mailAddress(DaemonAddress listener, Role role) {
        return listener.withPort(firstPort + role.portOffset());
    }

    /** The datagram address of a daemon of this role on this machine. */
    public DaemonAddress ownMail(Role role) {
        return DaemonAddress.parse(ip + ":" + (firstPort + role.portOffset()));
    }
}
