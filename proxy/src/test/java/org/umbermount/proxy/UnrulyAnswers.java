package org.umbermount.proxy;

import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

/** The answers to one request, right and wrong ones; {@code bare} ones, to HEAD, have no body. */
record UnrulyAnswers(String id, boolean bare, int bodyBytes, String text) {
    static UnrulyAnswers to(String id, boolean bare) {
        byte[] body = UnrulyServer.Ink.body(id, true);
        return new UnrulyAnswers(id, bare, body.length, bare ? "" : new String(body, StandardCharsets.ISO_8859_1));
    }

    String named() {
        return "HTTP/1.1 200 OK\r\nRequest-Attempt: " + id + "\r\n";
    }

    String sealed() {
        return named() + "Server-Seal: " + UnrulyServer.Ink.seal(id) + "\r\n";
    }

    String whole() {
        return sealed() + "Content-Length: " + bodyBytes + "\r\n\r\n" + text;
    }

    String chunked() {
        return sealed() + "Transfer-Encoding: chunked\r\n\r\n" + (bare ? "" : chunks());
    }

    /** The answer to a request that was never made. */
    String foreign() {
        String other = "s" + id.substring(1) + "x";
        return "HTTP/1.1 200 OK\r\nRequest-Attempt: " + other + "\r\nServer-Seal: " + UnrulyServer.Ink.seal(other)
                + "\r\nContent-Length: 3\r\n\r\nbad";
    }

    private String chunks() {
        int cut = text.length() / 3;
        StringBuilder out = new StringBuilder();
        Consumer<String> chunk = piece -> {
            if (!piece.isEmpty()) {
                out.append(Integer.toHexString(piece.length()))
                        .append("\r\n")
                        .append(piece)
                        .append("\r\n");
            }
        };
        chunk.accept(text.substring(0, cut));
        chunk.accept(text.substring(cut));
        return out.append("0\r\n\r\n").toString();
    }
}
