package org.umbermount.control;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;
import org.umbermount.kernel.DaemonAddress;
import org.umbermount.kernel.Metrics;

/**
 * Puts HTTP calls to the controllers of a {@link Fleet}: each on a connection of its own, from the bytes of the request
 * to those of the answer. A call waits for a process that stands still, and one that dies answers nothing.
 */
public final class ControlCaller {
    /** What a controller answered. */
    public record Answer(int status, String body) {}

    private static final int STATUS_AT = "HTTP/1.1 ".length();
    private static final int STATUS_LENGTH = 3;
    private static final String END_OF_HEADERS = "\r\n\r\n";

    private final Fleet fleet;

    /** @param fleet whose controllers are called */
    public ControlCaller(Fleet fleet) {
        this.fleet = fleet;
    }

    /** The bytes of a call; an {@code ifMatch} of null leaves the header out. */
    public static String request(String method, String path, String ifMatch, String body) {
        return method + " " + path + " HTTP/1.1\r\nHost: control\r\n"
                + (ifMatch == null ? "" : "If-Match: " + ifMatch + "\r\n") + "Content-Length: "
                + body.getBytes(StandardCharsets.UTF_8).length + END_OF_HEADERS + body;
    }

    /** Sends a call to a controller that runs; the answer comes once, or never. */
    public void call(int machine, String request, Consumer<Answer> answered) {
        ControlPlane controlPlane = fleet.running.get(machine);
        DaemonAddress self = Fleet.daemonAddress(machine);
        ControlApi desk = new ControlApi(
                controlPlane, fleet.clock(machine), self, self.withPort(8000), Fleet.zone(machine), new Metrics());
        fleet.clock(machine).execute(() -> {
            EmbeddedChannel channel = new EmbeddedChannel();
            desk.answerCalls(channel.pipeline());
            channel.pipeline().addFirst(new AnswerReader(answered));
            channel.writeInbound(Unpooled.copiedBuffer(request, StandardCharsets.UTF_8));
        });
    }

    /** Gathers what a controller writes, and hands it on when it is flushed. */
    private static final class AnswerReader extends ChannelOutboundHandlerAdapter {
        private final Consumer<Answer> answered;
        private final StringBuilder written = new StringBuilder();
        private boolean done;

        AnswerReader(Consumer<Answer> answered) {
            this.answered = answered;
        }

        @Override
        public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
            ByteBuf bytes = (ByteBuf) message;
            written.append(bytes.toString(StandardCharsets.UTF_8));
            bytes.release();
            promise.setSuccess();
        }

        @Override
        public void flush(ChannelHandlerContext context) {
            int headersEnd = written.indexOf(END_OF_HEADERS);
            if (done || headersEnd < 0) {
                return;
            }
            done = true;
            int status = Integer.parseInt(written.substring(STATUS_AT, STATUS_AT + STATUS_LENGTH));
            answered.accept(new Answer(status, written.substring(headersEnd + END_OF_HEADERS.length())));
        }
    }
}
