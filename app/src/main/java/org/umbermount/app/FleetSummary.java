package org.umbermount.app;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** A controller's whole status in one screen, and what of it calls for somebody's attention. */
final class FleetSummary {
    private static final long SILENT_MS = 8_000;

    private final StringBuilder text = new StringBuilder();
    private final List<String> wrong = new ArrayList<>();

    FleetSummary(JsonNode status) {
        chain(status);
        proxies(status);
        servers(status);
        for (String w : wrong) {
            text.append("! ").append(w).append('\n');
        }
        if (wrong.isEmpty()) {
            text.append("Nothing calls for attention, as far as this controller knows.\n");
        }
    }

    boolean allWell() {
        return wrong.isEmpty();
    }

    @Override
    public String toString() {
        return text.toString();
    }

    private void chain(JsonNode status) {
        int voters = status.path("electorate").size();
        int connected = 1;
        for (JsonNode r : status.path("controllers")) {
            boolean votes = false;
            for (JsonNode v : status.path("electorate")) {
                votes |= v.asText().equals(r.path("daemon").asText());
            }
            if (r.path("connected").asBoolean()) {
                connected += votes ? 1 : 0;
            } else if (votes) {
                wrong.add("Controller " + r.path("daemon").asText() + " of "
                        + r.path("zone").asText() + " is not connected.");
            }
        }
        text.append("View ")
                .append(status.path("view").asLong())
                .append(": ")
                .append(voters)
                .append(" voters, ")
                .append(connected)
                .append(" connected, ")
                .append(status.path("chain").size())
                .append(" in the chain; edition ")
                .append(status.path("edition").asLong())
                .append(".\n");
        if (connected <= voters / 2) {
            wrong.add("Fewer than a majority of the voters are connected: no configuration can be taken.");
        }
        if (status.path("newestEdition").asLong() > status.path("edition").asLong()) {
            wrong.add("Edition " + status.path("newestEdition").asLong() + " is held here and not committed.");
        }
    }

    private void proxies(JsonNode status) {
        Map<String, int[]> zones = new TreeMap<>();
        long edition = status.path("edition").asLong();
        for (JsonNode p : status.path("proxies")) {
            int[] n = zones.computeIfAbsent(p.path("zone").asText(), z -> new int[3]);
            n[0]++;
            if (p.path("heardMsAgo").asLong() > SILENT_MS) {
                n[1]++;
            }
            if (p.path("servedHere").asBoolean() && p.path("knownEdition").asLong() < edition) {
                n[2]++;
            }
        }
        status.path("duties").fieldNames().forEachRemaining(z -> {
            if (z.indexOf('/') < 0) {
                zones.computeIfAbsent(z, k -> new int[3]);
            }
        });
        for (Map.Entry<String, int[]> e : zones.entrySet()) {
            String holder =
                    status.path("duties").path(e.getKey()).path("holder").asText();
            int[] n = e.getValue();
            text.append("Zone ")
                    .append(e.getKey())
                    .append(": sender ")
                    .append(holder.isEmpty() ? "none" : holder)
                    .append(", ")
                    .append(n[0])
                    .append(" proxies known here, ")
                    .append(n[1])
                    .append(" silent, ")
                    .append(n[2])
                    .append(" behind.\n");
            if (holder.isEmpty()) {
                wrong.add("Zone " + e.getKey() + " has no sender.");
            }
            if (n[1] > 0) {
                wrong.add(
                        n[1] + " proxies of " + e.getKey() + " have been silent for over " + SILENT_MS / 1_000 + " s.");
            }
            if (n[2] > 0) {
                wrong.add(n[2] + " proxies of " + e.getKey() + " have not acknowledged edition " + edition + ".");
            }
        }
    }

    private void servers(JsonNode status) {
        Map<String, Map<String, Integer>> services = new TreeMap<>();
        for (JsonNode s : status.path("servers")) {
            services.computeIfAbsent(s.path("upstream").asText(), u -> new TreeMap<>())
                    .merge(s.path("standing").asText().replace('_', ' '), 1, Integer::sum);
        }
        for (Map.Entry<String, Map<String, Integer>> e : services.entrySet()) {
            text.append("Service ").append(e.getKey()).append(':');
            String comma = " ";
            for (Map.Entry<String, Integer> n : e.getValue().entrySet()) {
                text.append(comma).append(n.getValue()).append(' ').append(n.getKey());
                comma = ", ";
            }
            text.append(".\n");
            if (!e.getValue().containsKey("in service")) {
                wrong.add("Service " + e.getKey() + " has no server in service.");
            }
        }
    }
}
