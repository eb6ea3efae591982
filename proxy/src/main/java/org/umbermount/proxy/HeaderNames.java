package org.umbermount.proxy;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.util.AsciiString;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

/** The header names of the protocol, and which headers stay on one connection. */
final class HeaderNames {
    static final AsciiString ATTEMPT = AsciiString.cached("request-attempt");
    static final AsciiString DEADLINE = AsciiString.cached("deadline-ms");
    static final AsciiString SEAL = AsciiString.cached("server-seal");
    static final AsciiString TARGET = AsciiString.cached("target-instance");
    static final AsciiString LOAD = AsciiString.cached("server-load");
    static final AsciiString NOT_EXECUTED = AsciiString.cached("not-executed");
    static final AsciiString OPERATION_KEY = AsciiString.cached("operation-key");
    static final AsciiString TENANT = AsciiString.cached("tenant");
    static final AsciiString KEEP_ALIVE = AsciiString.cached("keep-alive");

    private static final List<AsciiString> HOP = List.of(
            HttpHeaderNames.CONNECTION,
            KEEP_ALIVE,
            AsciiString.cached("proxy-connection"),
            HttpHeaderNames.PROXY_AUTHENTICATE,
            HttpHeaderNames.PROXY_AUTHORIZATION,
            HttpHeaderNames.TE,
            HttpHeaderNames.TRAILER,
            HttpHeaderNames.TRANSFER_ENCODING,
            HttpHeaderNames.UPGRADE,
            HttpHeaderNames.EXPECT,
            HttpHeaderNames.CONTENT_LENGTH);

    /** A bit for each length that one of them has: most headers are told apart by that. */
    private static final long HOP_LENGTHS =
            HOP.stream().mapToLong(h -> 1L << h.length()).reduce(0, (a, b) -> a | b);

    private HeaderNames() {}

    /** Copies what is not about one connection; the body's length is left to the caller. */
    static void copyEndToEnd(HttpHeaders from, HttpHeaders to) {
        List<String> connection = from.getAll(HttpHeaderNames.CONNECTION);
        Iterator<Map.Entry<CharSequence, CharSequence>> it = from.iteratorCharSequence();
        while (it.hasNext()) {
            Map.Entry<CharSequence, CharSequence> e = it.next();
            if (!isHop(e.getKey())
                    && (connection.isEmpty() || !isNamed(connection, e.getKey().toString()))) {
                to.add(e.getKey(), e.getValue());
            }
        }
    }

    /** The token of an {@code Authorization} of the kind {@code Token}, or null. */
    static String token(HttpHeaders headers) {
        String value = headers.get(HttpHeaderNames.AUTHORIZATION);
        if (value == null) {
            return null;
        }
        String text = value.trim();
        if (text.length() < 7 || !text.regionMatches(true, 0, "Token ", 0, 6)) {
            return null;
        }
        String token = text.substring(6).trim();
        return token.isEmpty() || token.indexOf(' ') >= 0 ? null : token;
    }

    private static boolean isHop(CharSequence name) {
        if ((HOP_LENGTHS >>> Math.min(63, name.length()) & 1) == 0) {
            return false;
        }
        for (AsciiString hop : HOP) {
            if (hop.contentEqualsIgnoreCase(name)) {
                return true;
            }
        }
        return false;
    }

    private static boolean isNamed(List<String> connection, String name) {
        for (String value : connection) {
            for (String token : value.split(",")) {
                String t = token.trim();
                // What the servers rely on cannot be taken away by naming it in Connection.
                if (t.equalsIgnoreCase(name)
                        && !ATTEMPT.contentEqualsIgnoreCase(name)
                        && !DEADLINE.contentEqualsIgnoreCase(name)
                        && !OPERATION_KEY.contentEqualsIgnoreCase(name)
                        && !HttpHeaderNames.HOST.contentEqualsIgnoreCase(name)) {
                    return true;
                }
            }
        }
        return false;
    }
}
