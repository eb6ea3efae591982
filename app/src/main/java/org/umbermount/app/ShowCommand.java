package org.umbermount.app;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.URI;
import java.util.concurrent.Callable;
import org.umbermount.kernel.DaemonAddress;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Shows the state of a running daemon. */
@Command(
        name = "show",
        mixinStandardHelpOptions = true,
        description = "Shows a part of a running daemon's state. A controller answers at its controlPlane address, "
                + "a proxy at its readiness address.")
final class ShowCommand implements Callable<Integer> {
    /** What can be shown. */
    enum Part {
        all,
        fleet,
        view,
        members,
        duties,
        servers,
        proxies,
        tenants,
        orders,
        operations,
        table,
        metrics
    }

    @Parameters(index = "0", paramLabel = "PART", description = "one of ${COMPLETION-CANDIDATES}")
    private Part part;

    @Option(
            names = {"-a", "--address"},
            required = true,
            paramLabel = "IP:PORT",
            description = "the daemon's address")
    private String address;

    @Override
    public Integer call() {
        try {
            DaemonAddress.parse(address);
        } catch (IllegalArgumentException e) {
            System.err.println("The address must be an IPv4 address and a port.");
            return 2;
        }
        String body;
        try {
            body = fetch(part == Part.metrics ? "/metrics" : "/status");
        } catch (IOException e) {
            System.err.println("The daemon at " + address + " cannot be reached.");
            return 3;
        }
        if (part == Part.metrics) {
            System.out.print(body);
            return 0;
        }
        try {
            ObjectMapper mapper = new ObjectMapper();
            JsonNode root = mapper.readTree(body);
            if (part == Part.fleet) {
                FleetSummary summary = new FleetSummary(root);
                System.out.print(summary);
                return summary.allWell() ? 0 : 4;
            }
            JsonNode shown =
                    switch (part) {
                        case view -> parts(
                                root,
                                "view",
                                "standing",
                                "seat",
                                "incarnation",
                                "edition",
                                "newestEdition",
                                "electorate",
                                "chain",
                                "contact");
                        case members -> root.path("controllers");
                        case duties -> root.path("duties");
                        case servers -> root.path("servers");
                        case proxies -> root.path("proxies");
                        case tenants -> root.path("tenants");
                        case orders -> root.path("orders");
                        case operations -> root.path("loans");
                        case table -> root.path("table");
                        default -> root;
                    };
            System.out.println(mapper.writerWithDefaultPrettyPrinter().writeValueAsString(shown));
            return 0;
        } catch (IOException e) {
            System.err.println("The daemon at " + address + " answered with something that cannot be read.");
            return 1;
        }
    }

    private static JsonNode parts(JsonNode root, String... names) {
        ObjectNode out = new ObjectMapper().createObjectNode();
        for (String name : names) {
            out.set(name, root.path(name));
        }
        return out;
    }

    private String fetch(String path) throws IOException {
        HttpURLConnection connection = (HttpURLConnection)
                URI.create("http://" + address + path).toURL().openConnection();
        connection.setConnectTimeout(2_000);
        connection.setReadTimeout(5_000);
        try (java.io.InputStream in = connection.getInputStream()) {
            return new String(in.readAllBytes(), java.nio.charset.StandardCharsets.UTF_8);
        }
    }
}
