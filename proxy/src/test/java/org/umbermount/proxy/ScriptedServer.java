package org.umbermount.proxy;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/** A server that answers as its script says, and remembers what reached it. */
final class ScriptedServer implements AutoCloseable {
    /** What is done with one request. */
    interface Act {
        /** Writes an answer; false ends the connection. */
        boolean answer(Request request, OutputStream out) throws IOException, InterruptedException;
    }

    record Request(String head, byte[] body) {
        String header(String name) {
            for (String line : head.split("\r\n")) {
                if (line.toLowerCase(Locale.ROOT).startsWith(name.toLowerCase(Locale.ROOT) + ":")) {
                    return line.substring(name.length() + 1).trim();
                }
            }
            return null;
        }
    }

    final List<Request> seen = new CopyOnWriteArrayList<>();
    final AtomicInteger connections = new AtomicInteger();
    private final ServerSocket socket;
    private volatile Act act;

    ScriptedServer(Act act) throws IOException {
        this.act = act;
        socket = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        Thread t = new Thread(this::accept, "scripted");
        t.setDaemon(true);
        t.start();
    }

    int port() {
        return socket.getLocalPort();
    }

    void act(Act next) {
        act = next;
    }

    static Act ok(String body) {
        return (request, out) -> {
            write(
                    out,
                    "HTTP/1.1 200 OK\r\nRequest-Attempt: " + request.header("Request-Attempt")
                            + "\r\nServer-Seal: s1\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
            return true;
        };
    }

    static Act raw(String text, boolean stay) {
        return (request, out) -> {
            write(out, text);
            return stay;
        };
    }

    static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    private void accept() {
        while (!socket.isClosed()) {
            try {
                Socket client = socket.accept();
                connections.incrementAndGet();
                Thread t = new Thread(() -> converse(client), "scripted-connection");
                t.setDaemon(true);
                t.start();
            } catch (IOException e) {
                return;
            }
        }
    }

    private void converse(Socket client) {
        try (client) {
            InputStream in = client.getInputStream();
            while (true) {
                Request request = read(in);
                if (request == null) {
                    return;
                }
                seen.add(request);
                if (!act.answer(request, client.getOutputStream())) {
                    return;
                }
            }
        } catch (IOException | InterruptedException e) {
            // The connection is over.
        }
    }

    private static Request read(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int b = in.read();
            if (b < 0) {
                return null;
            }
            head.append((char) b);
        }
        Request r = new Request(head.toString(), new byte[0]);
        String length = r.header("Content-Length");
        return new Request(r.head(), in.readNBytes(length == null ? 0 : Integer.parseInt(length)));
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
