package org.umbermount.control;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.umbermount.kernel.Metrics;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Orders as calls, from the bytes of the request to the status of the answer. */
class ControlApiOrdersTest {
    private Fleet fleet;

    @BeforeEach
    void start() throws IOException {
        fleet = new Fleet(4, 3, 5);
        fleet.run(5_000);
        assertEquals(200, call(0, "PUT", 0, whole(1, "a")));
        assertEquals(200, call(1, "PUT", 1, whole(2, "b")));
    }

    private static String item(String label) {
        return "{\"label\":\"" + label + "\",\"virtualHost\":\"h.example\",\"pathPrefix\":\"/" + label + "/\","
                + "\"routeType\":\"safe\",\"timeoutMs\":5000,\"upstream\":\"s\",\"maxTries\":2}";
    }

    private static String whole(long revision, String label) {
        return "{\"revision\":" + revision + ",\"routeTable\":[" + item(label) + "],"
                + "\"upstreams\":[{\"label\":\"s\"}],\"limits\":{}}";
    }

    private static String amendment(long revision, String label) {
        return "{\"revision\":" + revision + ",\"upsert\":{\"routeTable\":[" + item(label) + "]}}";
    }

    private String exchange(int at, String request) {
        ControlApi desk = new ControlApi(
                fleet.running.get(at),
                fleet.almanac,
                Fleet.daemonAddress(at),
                Fleet.daemonAddress(at).withPort(8000),
                Fleet.zone(at),
                new Metrics());
        EmbeddedChannel channel = new EmbeddedChannel();
        desk.answerCalls(channel.pipeline());
        channel.writeInbound(Unpooled.copiedBuffer(request, StandardCharsets.UTF_8));
        StringBuilder answer = new StringBuilder();
        for (int t = 0; t < 1_000; t++) {
            for (ByteBuf out = channel.readOutbound(); out != null; out = channel.readOutbound()) {
                answer.append(out.toString(StandardCharsets.UTF_8));
                out.release();
            }
            if (answer.length() > 0) {
                break;
            }
            fleet.run(1);
        }
        channel.close();
        return answer.toString();
    }

    private int call(int at, String method, long match, String body) {
        String answer = exchange(
                at,
                method + " /config HTTP/1.1\r\nHost: c\r\nIf-Match: " + match + "\r\nContent-Length: " + body.length()
                        + "\r\n\r\n" + body);
        assertTrue(answer.startsWith("HTTP/1.1 "), "no answer");
        return Integer.parseInt(answer.substring(9, 12));
    }

    /** The status of an answer that says that the order itself is wrong. */
    private int invalid() {
        int status = call(0, "PUT", 2, "{}");
        assertTrue(status >= 400 && status < 500 && status != 412, "status " + status);
        return status;
    }

    @Test
    void repeatedCallsAreAcknowledgedWhateverWasTakenSince() {
        String patch = amendment(3, "c");
        assertEquals(200, call(2, "PATCH", 2, patch));
        assertEquals(200, call(3, "PATCH", 2, patch));
        assertEquals(412, call(3, "PATCH", 2, amendment(3, "d")));
        assertEquals(412, call(3, "PUT", 2, whole(3, "c")));
        // By the next change the amendment would make two routes of one place, and then nothing it can be read against.
        assertEquals(200, call(0, "PUT", 3, whole(4, "c").replace("\"label\":\"c\"", "\"label\":\"other\"")));
        for (int e = 5; e < 60; e++) {
            assertEquals(200, call(e % 4, "PUT", e - 1, whole(e, "x" + e)));
        }
        for (int at = 0; at < 4; at++) {
            assertEquals(200, call(at, "PATCH", 2, patch));
            assertEquals(200, call(at, "PUT", 0, whole(1, "a")));
            assertEquals(412, call(at, "PUT", 0, whole(1, "z")));
            assertEquals(412, call(at, "PATCH", 40, amendment(70, "late")));
        }
        assertEquals(200, call(1, "PATCH", 59, amendment(61, "y")));
        assertEquals(200, call(2, "PATCH", 59, amendment(61, "y")));
    }

    @Test
    void numberThatDoesNotRiseIsInvalidAtOnceAndEverywhere() {
        int invalid = invalid();
        // None of the others can be heard: it is told from the call alone.
        for (int o = 1; o < 4; o++) {
            fleet.network.cutBoth(Fleet.daemonAddress(0), Fleet.daemonAddress(o));
        }
        assertEquals(invalid, call(0, "PUT", 2, whole(2, "x")));
        assertEquals(invalid, call(0, "PUT", 2, whole(1, "a")));
        assertEquals(invalid, call(0, "PATCH", 2, amendment(2, "x")));
        assertEquals(invalid, call(0, "PATCH", 9, amendment(4, "x")));
        assertEquals(504, call(0, "PUT", 2, whole(3, "x")));
    }

    @Test
    void invalidAndStaleAtOnceIsRefusedEitherWay() {
        int invalid = invalid();
        int both = call(0, "PUT", 0, whole(7, "x").replace("safe", "no such"));
        assertTrue(both == invalid || both == 412);
        assertEquals(invalid, call(0, "PUT", 2, whole(7, "x").replace("safe", "no such")));
        assertEquals(invalid, call(0, "PATCH", 2, amendment(7, "x").replace("safe", "no such")));
        assertEquals(412, call(0, "PATCH", 1, amendment(7, "x").replace("safe", "no such")));
    }

    /** An earlier sending may have been taken: that is not known here, and nothing is said of it. */
    @Test
    void amendmentWhoseBaseIsNotAtHandHasNoClearAnswer() {
        for (int o = 0; o < 3; o++) {
            fleet.network.cutBoth(Fleet.daemonAddress(3), Fleet.daemonAddress(o));
        }
        fleet.run(3_000);
        assertEquals(200, call(0, "PUT", 2, whole(3, "c")));
        assertEquals(200, call(1, "PATCH", 3, amendment(4, "d")));
        assertEquals(504, call(3, "PATCH", 3, amendment(4, "d")));
        fleet.network.healAll();
        fleet.run(3_000);
        assertEquals(200, call(3, "PATCH", 3, amendment(4, "d")));
    }

    @Test
    void statusShowsTheOrdersTakenLast() throws IOException {
        String answer = exchange(2, "GET /status HTTP/1.1\r\nHost: c\r\n\r\n");
        JsonNode orders = new ObjectMapper()
                .readTree(answer.substring(answer.indexOf("\r\n\r\n")))
                .path("orders");
        assertEquals(0, orders.path("floor").asLong(-1));
        assertEquals(2, orders.path("remembered").asInt());
        assertEquals(2, orders.path("last").get(1).path("edition").asLong());
        assertEquals(
                Digest.ofCall("PUT", whole(2, "b").getBytes()).toString(),
                orders.path("last").get(1).path("digest").asText());
    }
}
