package org.umbermount.proxy;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;

/** A server that does what servers in trouble do: which of it, is drawn from the request's id and how often it has come. */
final class UnrulyServer implements AutoCloseable {
    /** What every request and every answer of the hunt is made from. */
    static final class Ink {
        private Ink() {}

        static int hash(String text, long seed) {
            long h = seed * 0x9E3779B97F4A7C15L;
            for (int i = 0; i < text.length(); i++) {
                h = (h ^ text.charAt(i)) * 0xBF58476D1CE4E5B9L;
                h ^= h >>> 29;
            }
            return (int) (h >>> 33);
        }

        /** The body that belongs to an id: of one kind for requests, of another for answers. */
        static byte[] body(String id, boolean answer) {
            int h = hash(id, answer ? 5 : 6);
            int n = h % 40 == 0 ? (answer ? 150_000 : 300_000) : h % 5 == 0 ? 0 : h % 700;
            byte[] body = new byte[n];
            byte[] name = (id + (answer ? "<" : ">")).getBytes(StandardCharsets.ISO_8859_1);
            for (int i = 0; i < n; i++) {
                body[i] = name[i % name.length];
            }
            return body;
        }

        static String seal(String id) {
            return "seal." + id;
        }
    }

    private static final int SORTS = 26;
    private final String name;
    private final Hunt hunt;
    private final long seed;
    private final ServerSocket socket;

    /** What the servers tell the one who hunts. */
    interface Hunt {
        /** A request has run; says how often before. */
        int ran(String id, String flaw);

        /** How often a request has reached any server before. */
        int arrived(String id);

        void atWork(int change);

        void did(int sort);
    }

    UnrulyServer(String name, long seed, Hunt hunt) throws IOException {
        this.name = name;
        this.seed = seed;
        this.hunt = hunt;
        socket = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
        start(this::accept);
    }

    private static void start(Runnable run) {
        Thread t = new Thread(run, "unruly");
        t.setDaemon(true);
        t.start();
    }

    int port() {
        return socket.getLocalPort();
    }

    private void accept() {
        while (!socket.isClosed()) {
            try {
                Socket client = socket.accept();
                client.setTcpNoDelay(true);
                start(() -> converse(client));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void converse(Socket client) {
        try (client) {
            InputStream in = client.getInputStream();
            Talk talk = new Talk(client);
            boolean on = true;
            while (on) {
                String head = head(in);
                if (head == null) {
                    return;
                }
                hunt.atWork(1);
                try {
                    on = talk.one(head, in);
                } finally {
                    hunt.atWork(-1);
                }
            }
        } catch (IOException | InterruptedException e) {
            // The connection is over.
        }
    }

    private static String head(InputStream in) throws IOException {
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        int matched = 0;
        while (matched < 4) {
            int b = in.read();
            if (b < 0) {
                return null;
            }
            head.write(b);
            matched = b == "\r\n\r\n".charAt(matched) ? matched + 1 : b == '\r' ? 1 : 0;
        }
        return head.toString(StandardCharsets.ISO_8859_1);
    }

    static String header(String head, String name) {
        String lower = head.toLowerCase(Locale.ROOT);
        int at = lower.indexOf("\r\n" + name + ":");
        if (at < 0) {
            return null;
        }
        int from = at + name.length() + 3;
        return head.substring(from, head.indexOf("\r\n", from)).trim();
    }

    /** A whole body, by its length or in chunks; null if it ends early. */
    static byte[] body(InputStream in, String head) throws IOException {
        String length = header(head, "content-length");
        if (length != null) {
            byte[] body = in.readNBytes(Integer.parseInt(length));
            return body.length < Integer.parseInt(length) ? null : body;
        }
        if (header(head, "transfer-encoding") == null) {
            return new byte[0];
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (true) {
            String line = line(in);
            if (line == null) {
                return null;
            }
            int n = Integer.parseInt(line.trim(), 16);
            byte[] piece = in.readNBytes(n);
            if (piece.length < n || line(in) == null) {
                return null;
            }
            if (n == 0) {
                return body.toByteArray();
            }
            body.write(piece, 0, n);
        }
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int b = in.read(); b >= 0; b = in.read()) {
            if (b == '\n') {
                return line.toString().replace("\r", "");
            }
            line.append((char) b);
        }
        return null;
    }

    /** One connection. */
    private final class Talk {
        private final Socket client;
        private final OutputStream out;
        private String owed = "";
        private boolean forgotten;

        Talk(Socket client) throws IOException {
            this.client = client;
            out = client.getOutputStream();
        }

        private void say(String text) throws IOException {
            ScriptedServer.write(out, text);
        }

        private boolean reset() throws IOException {
            client.setSoLinger(true, 0);
            return false;
        }

        /** Takes one request; false ends the connection. */
        boolean one(String head, InputStream in) throws IOException, InterruptedException {
            if (forgotten) {
                return reset();
            }
            String id = header(head, "request-attempt");
            String request = head.substring(0, head.indexOf("\r\n"));
            String method = request.substring(0, request.indexOf(' '));
            int before = hunt.arrived(id);
            int draw = Ink.hash(id + "/" + before, seed);
            // Some are turned away wherever they come.
            int sort = Ink.hash(id, seed) % 16 == 0 ? 2 : draw % 100 < 45 ? 0 : (draw >>> 8) % SORTS;
            hunt.did(sort);
            if (sort == 1) {
                // Answers before the body has come.
                say("HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nRequest-Attempt: " + id + "\r\nContent-Length: 0\r\n\r\n");
                return body(in, head) != null;
            }
            byte[] body = body(in, head);
            if (body == null) {
                return false;
            }
            if (sort == 2) {
                say("HTTP/1.1 429 Slow down\r\nNot-Executed: 1\r\nRequest-Attempt: " + id
                        + "\r\nContent-Length: 2\r\n\r\nno");
                return true;
            }
            if (!owed.isEmpty()) {
                say(owed);
                owed = "";
            }
            hunt.ran(id, flaw(id, method, request, head, body));
            return answer(sort, id, method);
        }

        private String flaw(String id, String method, String request, String head, byte[] body) {
            String path = request.substring(method.length() + 1, request.lastIndexOf(' '));
            String route = id.startsWith("u") ? "/once/" : id.startsWith("o") ? "/pay/" : "/safe/";
            if (!path.startsWith(route) || !path.endsWith("/" + id + "?of=" + id)) {
                return "path " + path;
            }
            if (!name.equals(header(head, "target-instance"))) {
                return "sent to " + header(head, "target-instance");
            }
            byte[] expected = method.equals("POST") ? Ink.body(id, false) : new byte[0];
            return Arrays.equals(body, expected) ? null : "body of " + body.length + " instead of " + expected.length;
        }

        private boolean answer(int sort, String id, String method) throws IOException, InterruptedException {
            boolean bare = method.equals("HEAD");
            byte[] body = Ink.body(id, true);
            String text = bare ? "" : new String(body, StandardCharsets.ISO_8859_1);
            String named = "HTTP/1.1 200 OK\r\nRequest-Attempt: " + id + "\r\n";
            String sealed = named + "Server-Seal: " + Ink.seal(id) + "\r\n";
            String whole = sealed + "Content-Length: " + body.length + "\r\n\r\n" + text;
            String chunked = sealed + "Transfer-Encoding: chunked\r\n\r\n" + (bare ? "" : chunks(text));
            String other = "s" + id.substring(1) + "x";
            String foreign = "HTTP/1.1 200 OK\r\nRequest-Attempt: " + other + "\r\nServer-Seal: " + Ink.seal(other)
                    + "\r\nContent-Length: 3\r\n\r\nbad";
            int half = Math.max(0, whole.length() - Math.max(1, text.length() / 2));
            switch (sort) {
                case 3 -> {
                    say(chunked);
                    return true;
                }
                case 4 -> {
                    Thread.sleep(12);
                    say(whole);
                    return true;
                }
                case 5 -> {
                    say(whole.substring(0, half));
                    return false;
                }
                case 6 -> {
                    say(chunked.substring(0, Math.max(10, chunked.length() - 5)));
                    return false;
                }
                case 7 -> {
                    say(whole.substring(0, half));
                    return reset();
                }
                case 8 -> {
                    return reset();
                }
                case 9 -> {
                    if (Ink.hash(id, 9) % 6 == 0) {
                        Thread.sleep(500);
                    }
                    return false;
                }
                case 10 -> {
                    client.shutdownOutput();
                    return true;
                }
                case 11 -> {
                    say(whole + whole);
                    return true;
                }
                case 12 -> {
                    say(whole);
                    Thread.sleep(3);
                    say(foreign);
                    return true;
                }
                case 13 -> {
                    say(whole);
                    owed = whole;
                    return true;
                }
                case 14 -> {
                    say(whole);
                    owed = foreign;
                    return true;
                }
                case 15 -> {
                    say(whole);
                    owed = "HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
                    return true;
                }
                case 16 -> {
                    say(whole + "HTTP/1.1 500 Oops\r\nContent-");
                    owed = "Length: 2\r\n\r\nno";
                    return true;
                }
                case 17 -> {
                    say(whole);
                    forgotten = true;
                    return true;
                }
                case 18 -> {
                    say(foreign);
                    return true;
                }
                case 19 -> {
                    say(named + "Content-Length: " + body.length + "\r\n\r\n" + text);
                    return true;
                }
                case 20 -> {
                    say(sealed + "Content-Encoding: gzip\r\nContent-Length: " + body.length + "\r\n\r\n" + text);
                    return true;
                }
                case 21 -> {
                    say("\u0001\u0002 what is this\r\n\r\n");
                    return false;
                }
                case 22 -> {
                    say("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nX: y\r\n\r\n" + whole);
                    return true;
                }
                case 23 -> {
                    say("HTTP/1.1 503 Full\r\nRequest-Attempt: " + id + "\r\nContent-Length: 0\r\n\r\n");
                    return true;
                }
                case 24 -> {
                    say("HTTP/1.1 500 Oops\r\nRequest-Attempt: " + id + "\r\nContent-Length: 4\r\n\r\n"
                            + (bare ? "" : "oops"));
                    return true;
                }
                case 25 -> {
                    say(sealed + "\r\n" + text);
                    return false;
                }
                default -> {
                    say(whole);
                    return true;
                }
            }
        }

        private String chunks(String text) {
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

    @Override
    public void close() throws IOException {
        socket.close();
    }

    static AtomicInteger[] tallies() {
        AtomicInteger[] all = new AtomicInteger[SORTS];
        Arrays.setAll(all, i -> new AtomicInteger());
        return all;
    }
}
