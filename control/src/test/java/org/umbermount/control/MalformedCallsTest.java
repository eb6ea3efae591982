package org.umbermount.control;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.umbermount.kernel.Metrics;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Calls that cannot be understood get 4xx with the reason, on any controller, and change nothing. */
class MalformedCallsTest {
    private static final String CONFIGURATION = "{\"revision\":2,\"routeTable\":[{\"label\":\"a\","
            + "\"virtualHost\":\"h.example\",\"pathPrefix\":\"/a/\",\"routeType\":\"safe\",\"timeoutMs\":5000,"
            + "\"upstream\":\"s\",\"maxTries\":2}],\"upstreams\":[{\"label\":\"s\"}],\"limits\":{}}";
    private static final String BEAT = "{\"upstream\":\"s\",\"address\":\"10.0.0.9:80\",\"zone\":\"z0\","
            + "\"revision\":\"v\",\"capacity\":2,\"status\":\"in_service\",\"warmupLeftMs\":0,\"sequence\":1}";
    private static final String AMENDMENT = "{\"revision\":2,\"upsert\":{\"routeTable\":[{\"label\":\"b\","
            + "\"virtualHost\":\"h\",\"pathPrefix\":\"/b/\",\"routeType\":\"safe\",\"timeoutMs\":1,\"upstream\":\"s\"}]},"
            + "\"remove\":{\"tenants\":[\"t\"]}}";
    private static final String PURGE = "{\"virtualHost\":\"h\",\"path\":\"/x\"}";

    private Fleet fleet;

    @BeforeEach
    void start() throws IOException {
        fleet = new Fleet(3, 3, 5);
        fleet.run(4_000);
        assertEquals(200, status(call("PUT", "/config", "If-Match: 0\r\n", CONFIGURATION.replace(":2,\"r", ":1,\"r"))));
        fleet.run(500);
    }

    private static String request(String method, String path, String headers, byte[] body) {
        return method + " " + path + " HTTP/1.1\r\nHost: c\r\n" + headers + "Content-Length: " + body.length
                + "\r\n\r\n";
    }

    private String call(String method, String path, String headers, String body) {
        return call(method, path, headers, body.getBytes(StandardCharsets.UTF_8));
    }

    private String call(String method, String path, String headers, byte[] body) {
        return exchange(
                Unpooled.wrappedBuffer(request(method, path, headers, body).getBytes(StandardCharsets.UTF_8), body));
    }

    /** What one connection to a controller answers to the bytes; nothing if it is closed without a word. */
    private String exchange(ByteBuf bytes) {
        ControlApi desk = new ControlApi(
                fleet.running.get(1),
                fleet.almanac,
                Fleet.daemonAddress(1),
                Fleet.daemonAddress(1).withPort(8000),
                Fleet.zone(1),
                new Metrics());
        EmbeddedChannel channel = new EmbeddedChannel();
        desk.answerCalls(channel.pipeline());
        channel.writeInbound(bytes);
        StringBuilder answer = new StringBuilder();
        for (int t = 0; t < 1_200 && answer.length() == 0 && channel.isOpen(); t++) {
            drain(channel, answer);
            if (answer.length() == 0) {
                fleet.run(1);
            }
        }
        drain(channel, answer);
        channel.close();
        return answer.toString();
    }

    private static void drain(EmbeddedChannel channel, StringBuilder answer) {
        for (ByteBuf out = channel.readOutbound(); out != null; out = channel.readOutbound()) {
            answer.append(out.toString(StandardCharsets.UTF_8));
            out.release();
        }
    }

    private static int status(String answer) {
        assertTrue(answer.startsWith("HTTP/1.1 "), "no answer");
        return Integer.parseInt(answer.substring(9, 12));
    }

    private void refusedWithReason(int expected, String answer) throws IOException {
        assertEquals(expected, status(answer), answer);
        String reason = new ObjectMapper()
                .readTree(answer.substring(answer.indexOf("\r\n\r\n")))
                .path("errorMessage")
                .asText();
        assertTrue(reason.length() > 10 && reason.endsWith("."), answer);
    }

    private String state() {
        ControlPlane one = fleet.running.get(1);
        return one.replica.newestEdition() + " " + one.replica.committed().edition() + " " + one.serverRegistry.digest()
                + " " + one.serverRegistry.entries().size();
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '^',
            value = {
                "GET|/nowhere|404",
                "GET|/instances/|404",
                "PUT|/instances/a/b|404",
                "DELETE|/config|405",
                "GET|/instances/a|405",
                "GET|/purge|405",
                "POST|/config|405",
                "BREW|/config|405",
                "PUT|/status|404",
                "PUT|/config|400",
                "PATCH|/config|400",
                "POST|/purge|400",
                "PUT|/instances/a|400"
            })
    void callsWithoutWhatTheyNeedAreRefused(String method, String path, int expected) throws IOException {
        String before = state();
        refusedWithReason(expected, call(method, path, "", ""));
        refusedWithReason(expected, call(method, path, "If-Match: 1\r\n", "{\"revision\":"));
        assertEquals(before, state());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '^',
            value = {"1|two", "1|9223372036854775808", "1|1.5", "1|", "1|-1x"})
    void versionThatIsNoNumberIsRefused(String good, String bad) throws IOException {
        String before = state();
        refusedWithReason(400, call("PUT", "/config", "If-Match: " + (bad == null ? "" : bad) + "\r\n", CONFIGURATION));
        refusedWithReason(400, call("PATCH", "/config", "If-Match: " + (bad == null ? "" : bad) + "\r\n", AMENDMENT));
        assertEquals(before, state());
    }

    @Test
    void callThatIsNoHttpOrTooLongIsRefused() throws IOException {
        String before = state();
        refusedWithReason(400, exchange(Unpooled.copiedBuffer("PUT /config\r\n\r\n", StandardCharsets.UTF_8)));
        refusedWithReason(400, exchange(Unpooled.copiedBuffer("\u0000\u0001 what\r\n\r\n", StandardCharsets.UTF_8)));
        refusedWithReason(
                400,
                exchange(Unpooled.copiedBuffer(
                        "PUT /config HTTP/1.1\r\nHost: c\r\nIf-Match: 1\r\n"
                                + "Transfer-Encoding: chunked\r\n\r\nnot a length\r\n",
                        StandardCharsets.UTF_8)));
        refusedWithReason(413, call("PUT", "/config", "If-Match: 1\r\n", new byte[(3 << 20) + 1]));
        assertEquals(before, state());
    }

    /** Each call with some of its bytes changed, cut or doubled: it is refused, or it is a sound call after all. */
    @Test
    void damagedCallsAreRefusedOrSound() throws IOException {
        List<String[]> calls = List.of(
                new String[] {"PUT", "/config", "If-Match: 1\r\n", CONFIGURATION},
                new String[] {"PATCH", "/config", "If-Match: 1\r\n", AMENDMENT},
                new String[] {"PUT", "/instances/i-1", "", BEAT},
                new String[] {"POST", "/purge", "", PURGE});
        Random random = new Random(3);
        int refused = 0;
        for (int i = 0; i < 400; i++) {
            String[] c = calls.get(i % calls.size());
            byte[] body = damaged(c[3].getBytes(StandardCharsets.UTF_8), random);
            String before = state();
            String answer = call(c[0], c[1], c[2], body);
            String sent = c[0] + " " + new String(body, StandardCharsets.ISO_8859_1);
            int status = status(answer);
            assertTrue(status == 200 || status >= 400 && status < 500, status + " to " + sent);
            if (status != 200) {
                refused++;
                refusedWithReason(status, answer);
                assertEquals(before, state(), sent);
            } else if (!c[1].startsWith("/instances") && !c[1].equals("/purge")) {
                // A change that is sound all the same was taken: the next ones start from a fresh fleet.
                start();
            }
        }
        assertTrue(refused > 200, refused + " refused");
    }

    private static byte[] damaged(byte[] body, Random random) {
        byte[] out = body.clone();
        int at = random.nextInt(out.length);
        switch (random.nextInt(4)) {
            case 0 -> out[at] = (byte) random.nextInt(256);
            case 1 -> out = java.util.Arrays.copyOf(out, at);
            case 2 -> out = new String(body, StandardCharsets.UTF_8)
                    .replaceFirst(
                            ":[^,}\\[{]+",
                            List.of(":null", ":-1", ":1e300", ":[]", ":\"\"", ":99999999999999999999")
                                    .get(random.nextInt(6)))
                    .getBytes(StandardCharsets.UTF_8);
            default -> {
                int n = Math.min(out.length - at, 1 + random.nextInt(20));
                byte[] doubled = java.util.Arrays.copyOf(out, out.length + n);
                System.arraycopy(out, at, doubled, at + n, out.length - at);
                out = doubled;
            }
        }
        return out;
    }
}
