package org.umbermount.control;

import java.io.IOException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.umbermount.kernel.ConfigurationRevision;
import org.umbermount.kernel.FaultException;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

class ConfigurationPatchTest {
    private static final String BASE =
            "{\"revision\":7,\"odd\":1.50,\"routeTable\":[" + route("a", "/a/", 20) + "," + route("b", "/b/", 20)
                    + "],\"upstreams\":[{\"label\":\"s\",\"ratePerS\":224.0}],\"limits\":{\"idleTimeoutMs\":15000}}";

    private static String route(String label, String prefix, int ttl) {
        return "{\"label\":\"" + label + "\",\"virtualHost\":\"h.example\",\"pathPrefix\":\"" + prefix
                + "\",\"routeType\":\"cacheable\","
                + "\"timeoutMs\":5000,\"upstream\":\"s\",\"maxTries\":2,\"cacheTtlS\":" + ttl + ".0}";
    }

    private static Configuration result(String call) throws FaultException {
        return Configuration.parse(ConfigurationPatch.parse(call.getBytes()).applyTo(BASE.getBytes()));
    }

    @Test
    void itemsAreReplacedAddedAndRemovedByLabel() throws FaultException {
        String call =
                "{\"revision\":9,\"upsert\":{\"routeTable\":[" + route("c", "/c/", 5) + "," + route("b", "/bb/", 9)
                        + "],\"upstreams\":[{\"label\":\"t\"}]},\"remove\":{\"routeTable\":[\"a\",\"never-there\"]}}";
        Configuration r = result(call);
        assertEquals(9, r.edition().value());
        assertEquals(
                java.util.List.of("/bb/", "/c/"),
                r.routes().stream().map(Configuration.Route::prefix).toList());
        assertTrue(r.routes().get(0).safe());
        assertEquals(2, r.upstreams().size());
        assertEquals(15_000, r.limits().idleTimeoutMs());
        byte[] once = ConfigurationPatch.parse(call.getBytes()).applyTo(BASE.getBytes());
        assertArrayEquals(once, ConfigurationPatch.parse(call.getBytes()).applyTo(BASE.getBytes()));
        assertTrue(
                new String(once).contains("\"odd\":1.50") && new String(once).contains("\"ratePerS\":224.0"),
                "kept as it was written");
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '^',
            value = {
                "{\"upsert\":{}}|revision",
                "{\"revision\":9,\"upsert\":{\"limits\":[]}}|no list limits",
                "{\"revision\":9,\"remove\":{\"routes\":[\"a\"]}}|no list routes",
                "{\"revision\":9,\"upsert\":{\"upstreams\":[{\"healthCheck\":\"/h\"}]}}|label",
                "{\"revision\":9,\"upsert\":{\"upstreams\":[{\"label\":\"x\"},{\"label\":\"x\"}]}}|twice",
                "{\"revision\":9,\"upsert\":{\"upstreams\":[{\"label\":\"x\"}]},\"remove\":{\"upstreams\":[\"x\"]}}|both",
                "{\"revision\":9,\"remove\":{\"upstreams\":[\"s\"]}}|unknown service s",
                "{\"revision\":9,\"remove\":{\"upstreams\":\"s\"}}|must be a list",
                "{\"revision\":9,\"remove\":{\"routeTable\":[7]}}|must be a text",
                "{\"revision\":9,\"upsert\":{\"routeTable\":[{\"label\":\"a\"}]}}|virtualHost",
                "{\"revision\":9,\"revision\":10}|uplicate",
                "{\"revision\":9|whole JSON",
                "{\"revision\":9}{}|follows"
            })
    void badAmendmentsAreRefusedWithTheReason(String call, String reason) {
        FaultException e = assertThrows(FaultException.class, () -> result(call));
        assertTrue(e.getMessage().contains(reason), e.getMessage());
    }

    /** A repeat is known by the call, wherever it arrives and whatever has been taken since; another on that version is late. */
    @Test
    void repeatOfTheExactCallIsTakenOnceAndAnotherIsLate() throws Exception {
        Fleet fleet = new Fleet(4, 3, 11);
        fleet.run(5_000);
        Fleet.Reply whole = fleet.submit(0, 0, 7, BASE);
        fleet.run(900);
        assertEquals(Replica.Verdict.TAKEN, whole.verdict);
        ConfigurationPatch call =
                ConfigurationPatch.parse(("{\"revision\":9,\"remove\":{\"routeTable\":[\"a\"]}}").getBytes());
        byte[] made = call.applyTo(BASE.getBytes());
        assertEquals(Replica.Verdict.TAKEN, submit(fleet, 1, 7, call, made));
        assertEquals(Replica.Verdict.TAKEN, submit(fleet, 2, 7, call, made));
        Fleet.Reply later = fleet.submit(3, 9, 12, BASE.replace("\"revision\":7", "\"revision\":12"));
        fleet.run(900);
        assertEquals(Replica.Verdict.TAKEN, later.verdict);
        // By now nobody holds version 7 any more.
        assertEquals(Replica.Verdict.TAKEN, submit(fleet, 0, 7, call, new byte[0]));
        ConfigurationPatch other =
                ConfigurationPatch.parse(("{\"revision\":9,\"remove\":{\"routeTable\":[\"b\"]}}").getBytes());
        assertEquals(Replica.Verdict.STALE, submit(fleet, 0, 7, other, new byte[0]));
        ConfigurationPatch onTop = ConfigurationPatch.parse("{\"revision\":14}".getBytes());
        assertEquals(null, submit(fleet, 0, 12, onTop, new byte[0]), "a question is never taken");
        assertEquals(12, fleet.read(2, 850).edition().value());
    }

    private static Replica.Verdict submit(Fleet fleet, int at, long match, ConfigurationPatch call, byte[] whole)
            throws IOException {
        Replica.Verdict[] out = new Replica.Verdict[1];
        Order order = new Order(new ConfigurationRevision(match), call.edition(), call.digest());
        fleet.chainClient(at).submit(order, whole, 850, v -> out[0] = v, () -> {});
        fleet.run(900);
        return out[0];
    }
}
