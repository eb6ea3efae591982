package org.umbermount.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Iterator;
import java.util.Locale;
import org.umbermount.control.Configuration;
import org.umbermount.kernel.ErrorKind;
import org.umbermount.kernel.MonotonicTime;
import org.umbermount.kernel.Safeguard;

/** A client's connection: reads requests, and writes their answers in the order they came. */
final class ClientConnection extends ChannelInboundHandlerAdapter {
    private static final int PIPELINE_AT_MOST = 32;
    private static final int HELD_BODY = 256 << 10;
    private static final long LINGER_MS = 1_000;
    private static final long DEFAULT_DEADLINE_MS = 30_000;

    private final ProxyListener desk;
    /** The longest head that the decoder of this connection takes. */
    private final int headLimit;

    private final ArrayDeque<RequestExchange> pipeline = new ArrayDeque<>();
    private Channel channel;
    private RequestExchange arriving;
    private long arrivedBytes;
    private boolean lastRequest;
    private boolean lingering;
    private boolean streamingHead;
    /** The head of the answer that is being streamed says that the connection ends with it. */
    private boolean closeTold;

    private boolean gone;
    private MonotonicTime lastActivity;
    private boolean headUnderway;

    ClientConnection(ProxyListener desk, int headLimit) {
        this.desk = desk;
        this.headLimit = headLimit;
        this.lastActivity = desk.clock().now();
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        channel = ctx.channel();
        desk.arrived(this);
    }

    /** Told by the decoder's side that bytes have come. */
    void bytesRead() {
        if (pipeline.isEmpty() && arriving == null && !headUnderway) {
            headUnderway = true;
            lastActivity = desk.clock().now();
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object msg) {
        try {
            if (lingering || lastRequest && arriving == null) {
                return;
            }
            if (msg instanceof HttpRequest request) {
                begin(request);
            }
            if (msg instanceof HttpContent content && arriving != null) {
                proceed(content);
            }
        } finally {
            ReferenceCountUtil.release(msg);
        }
    }

    /** What has come in one go has been looked at: if a body is not whole yet, its request's time runs already. */
    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        if (arriving != null) {
            arriving.awaitBody();
        }
        ctx.fireChannelReadComplete();
    }

    private void begin(HttpRequest request) {
        headUnderway = false;
        arrivedBytes = 0;
        if (request.decoderResult().isFailure()) {
            Throwable cause = request.decoderResult().cause();
            boolean tooLong = cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException;
            turnAway(request, tooLong ? ErrorKind.HEADER_TOO_LARGE : ErrorKind.MALFORMED);
            return;
        }
        if (!wellFormed(request)) {
            turnAway(request, ErrorKind.MALFORMED);
            return;
        }
        if (HttpUtil.getContentLength(request, 0L) > desk.limits().maxBodyBytes()) {
            turnAway(request, ErrorKind.BODY_TOO_LARGE);
            return;
        }
        lastRequest = !HttpUtil.isKeepAlive(request);
        RequestExchange requestExchange = desk.receive(this, request, deadlineMs(request));
        arriving = requestExchange;
        pipeline.add(requestExchange);
        if (pipeline.size() >= PIPELINE_AT_MOST) {
            channel.config().setAutoRead(false);
        }
        if (HttpUtil.is100ContinueExpected(request)) {
            channel.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
        }
    }

    private static boolean wellFormed(HttpRequest request) {
        String uri = request.uri();
        if (!uri.startsWith("/")
                || request.headers().getAll(HttpHeaderNames.HOST).size() != 1
                || request.protocolVersion().majorVersion() != 1
                || request.method().equals(HttpMethod.CONNECT)) {
            return false;
        }
        if (request.headers().getAll(HttpHeaderNames.AUTHORIZATION).size() > 1
                || request.headers().getAll(HeaderNames.OPERATION_KEY).size() > 1) {
            return false;
        }
        if (request.headers().contains(HttpHeaderNames.TRANSFER_ENCODING)) {
            return HttpUtil.isTransferEncodingChunked(request)
                    && request.headers()
                                    .getAll(HttpHeaderNames.TRANSFER_ENCODING)
                                    .size()
                            == 1
                    && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(request.headers()
                            .get(HttpHeaderNames.TRANSFER_ENCODING)
                            .trim());
        }
        return true;
    }

    private static long deadlineMs(HttpRequest request) {
        String text = request.headers().get(HeaderNames.DEADLINE);
        if (text != null) {
            try {
                return Math.max(0, Math.min(600_000, Long.parseLong(text.trim())));
            } catch (NumberFormatException e) {
                return DEFAULT_DEADLINE_MS;
            }
        }
        return DEFAULT_DEADLINE_MS;
    }

    /** Answers without reading on; the connection ends with the answer. */
    private void turnAway(HttpRequest request, ErrorKind erratum) {
        lastRequest = true;
        if (!pipeline.isEmpty()
                && (pipeline.peekLast() == arriving || !Safeguard.REFUSAL_IN_ITS_PLACE.holds())
                && !pipeline.peekLast().isStarted()) {
            // Only the one whose body cannot be read gives way; those before it wait for their own answers.
            if (pipeline.peekLast().isAnswered()) {
                arriving = null;
                ready();
                return;
            }
            pipeline.pollLast();
        }
        arriving = null;
        pipeline.add(new RequestExchange(desk, this, request, erratum));
        desk.metrics().count("requests.refused." + erratum.name().toLowerCase(Locale.ROOT));
        ready();
    }

    private void proceed(HttpContent content) {
        RequestExchange b = arriving;
        if (content.decoderResult().isFailure()) {
            if (b.isLarge() || b.isStarted()) {
                // Part of it has been passed on: only the connections can end now.
                arriving = null;
                channel.close();
            } else {
                turnAway(b.request(), ErrorKind.MALFORMED);
            }
            return;
        }
        boolean last = content instanceof LastHttpContent;
        ByteBuf buffer = content.content();
        int n = buffer.readableBytes();
        arrivedBytes += n;
        if (arrivedBytes > desk.limits().maxBodyBytes()) {
            if (b.isLarge()) {
                arriving = null;
                channel.close();
            } else {
                turnAway(b.request(), ErrorKind.BODY_TOO_LARGE);
            }
            return;
        }
        if (n > 0 || last && b.isLarge()) {
            byte[] piece = new byte[n];
            buffer.getBytes(buffer.readerIndex(), piece);
            if (b.isAnswered()) {
                // Answered already; the rest is read only to keep the connection in step.
                piece = new byte[0];
            } else if (b.isLarge()) {
                if (!b.piece(piece, last) && !last) {
                    channel.config().setAutoRead(false);
                }
            } else if (b.gather(piece) > HELD_BODY && !last) {
                b.becomeLarge();
                startInTurn();
                channel.config().setAutoRead(false);
            }
        }
        if (last) {
            arriving = null;
            if (!b.isLarge()) {
                b.bodyWhole();
            }
            startInTurn();
            ready();
        }
    }

    /**
     * Starts what may start: safe requests at once, others only when nothing is before them. A daemon that is leaving
     * passes on nothing behind another request: the client asks elsewhere once the answer before it ends the connection.
     */
    private void startInTurn() {
        // A request may be answered while it is being started, and what is in the pipeline be another thing then.
        for (RequestExchange next = nextToStart(); next != null; next = nextToStart()) {
            next.start();
        }
    }

    private RequestExchange nextToStart() {
        if (gone || lingering || closeTold && Safeguard.CLOSE_AS_TOLD.holds()) {
            // Nothing follows an answer whose head says that the connection ends with it.
            return null;
        }
        boolean first = true;
        for (RequestExchange b : pipeline) {
            boolean whole = b != arriving || b.isLarge();
            if (!b.isStarted() && !b.isAnswered() && whole && (first || b.isSafe() && !desk.closing())) {
                return b;
            }
            first = false;
        }
        return null;
    }

    /** A large body's server can take more. */
    void resume() {
        if (channel.isActive() && pipeline.size() < PIPELINE_AT_MOST) {
            channel.config().setAutoRead(true);
        }
    }

    private boolean writing;

    /** Writes what is ready, in order. */
    void ready() {
        if (writing || gone) {
            return;
        }
        writing = true;
        try {
            boolean wrote = false;
            while (!pipeline.isEmpty() && !gone && !lingering) {
                RequestExchange first = pipeline.peek();
                if (!first.isAnswered()) {
                    break;
                }
                boolean reading = first == arriving;
                if (first.streamHead() != null) {
                    if (!writeStream(first)) {
                        break;
                    }
                } else {
                    if (reading
                            && !first.isLarge()
                            && !first.isOverdue()
                            && first.erratum() != null
                            && !first.erratum().closes()) {
                        // An early answer waits until its request has been read to the end, if that comes in time.
                        break;
                    }
                    writeWhole(first, reading);
                }
                wrote = true;
                pipeline.poll();
                lastActivity = desk.clock().now();
                streamingHead = false;
                closeTold = false;
            }
            if (wrote && !gone && !lingering) {
                channel.flush();
                resume();
            }
        } finally {
            writing = false;
        }
        if (!gone && !lingering && !pipeline.isEmpty() && !pipeline.peek().isStarted()) {
            startInTurn();
        }
    }

    private boolean closesAfter(RequestExchange b, boolean stillReading) {
        // A decoder keeps the limit it was made with: after a change the client's next connection has the new one.
        // Requests
        // that are here already are answered first.
        boolean outdated = headLimit != desk.limits().maxHeaderBytes() && pipeline.size() == 1;
        return stillReading
                || outdated
                || b.erratum() != null && b.erratum().closes()
                || pipeline.size() == 1 && lastRequest
                || desk.closing() && !anyStartedBehind();
    }

    /** Whether a request behind the first has been passed on, so that its answer is owed on this connection. */
    private boolean anyStartedBehind() {
        Iterator<RequestExchange> it = pipeline.iterator();
        it.next();
        while (it.hasNext()) {
            if (it.next().isStarted()) {
                return true;
            }
        }
        return false;
    }

    /**
     * This daemon is leaving, and answers wait here behind a request that is still at work. A second server is asked
     * for it; at the {@code last} moment it is given up, since the answers behind it are whole and owed.
     */
    void unblock(boolean last) {
        while (!gone && !lingering && !pipeline.isEmpty() && !pipeline.peek().isAnswered() && anyStartedBehind()) {
            RequestExchange first = pipeline.peek();
            if (!last) {
                first.askAnother();
                return;
            }
            if (!anyAnswered()) {
                return;
            }
            first.breakOff();
            if (pipeline.peek() == first) {
                return;
            }
        }
    }

    private boolean anyAnswered() {
        for (RequestExchange b : pipeline) {
            if (b.isAnswered()) {
                return true;
            }
        }
        return false;
    }

    private void writeWhole(RequestExchange b, boolean stillReading) {
        boolean close = closesAfter(b, stillReading);
        FullHttpResponse response;
        boolean head = b.request() != null && b.request().method().equals(HttpMethod.HEAD);
        if (b.erratum() != null) {
            ErrorKind e = b.erratum();
            byte[] body = ("{\"errorMessage\":\"" + e.sentence() + "\"}").getBytes(StandardCharsets.UTF_8);
            response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1,
                    HttpResponseStatus.valueOf(e.status()),
                    head ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(body));
            response.headers()
                    .set(HttpHeaderNames.CONTENT_TYPE, "application/json")
                    .setInt(HttpHeaderNames.CONTENT_LENGTH, body.length);
            String attempt = b.request() == null ? null : b.request().headers().get(HeaderNames.ATTEMPT);
            if (attempt != null) {
                response.headers().set(HeaderNames.ATTEMPT, attempt);
            }
            if (e.retryAfter()) {
                response.headers().set(HttpHeaderNames.RETRY_AFTER, desk.retryAfter(b));
            }
        } else {
            Answer a = b.answer();
            response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(a.status()), Unpooled.wrappedBuffer(a.body()));
            HeaderNames.copyEndToEnd(a.headers(), response.headers());
            if (head) {
                String length = a.headers().get(HttpHeaderNames.CONTENT_LENGTH);
                if (length != null) {
                    response.headers().set(HttpHeaderNames.CONTENT_LENGTH, length);
                }
            } else if (a.status() != 204 && a.status() != 304) {
                response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, a.body().length);
            }
        }
        finish(response, close);
    }

    private void finish(Object message, boolean close) {
        if (close) {
            if (message instanceof HttpResponse response) {
                response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            }
            lingering = true;
            dropBehind();
            channel.writeAndFlush(message).addListener(f -> linger());
        } else {
            channel.write(message);
        }
    }

    /** What was sent behind the last answer has not been passed on: the client sends it again elsewhere. */
    private void dropBehind() {
        RequestExchange answered = pipeline.poll();
        pipeline.forEach(RequestExchange::abandon);
        pipeline.clear();
        pipeline.add(answered);
    }

    /** Closes the sending side first, so that a reset for unread bytes does not overtake the answer. */
    private void linger() {
        if (!channel.isActive()) {
            return;
        }
        channel.config().setAutoRead(true);
        ((DuplexChannel) channel).shutdownOutput();
        desk.clock().after(LINGER_MS, channel::close);
    }

    /** Writes what has come of a long answer; true once it is whole. */
    private boolean writeStream(RequestExchange b) {
        boolean close = closeTold && Safeguard.CLOSE_AS_TOLD.holds() || closesAfter(b, false);
        boolean chunked = !HttpUtil.isContentLengthSet(b.streamHead());
        if (!streamingHead) {
            streamingHead = true;
            HttpResponse head =
                    new DefaultHttpResponse(HttpVersion.HTTP_1_1, b.streamHead().status());
            HeaderNames.copyEndToEnd(b.streamHead().headers(), head.headers());
            if (chunked) {
                head.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
            } else {
                head.headers()
                        .set(
                                HttpHeaderNames.CONTENT_LENGTH,
                                b.streamHead().headers().get(HttpHeaderNames.CONTENT_LENGTH));
            }
            if (close) {
                closeTold = true;
                head.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            }
            channel.write(head);
        }
        do {
            while (channel.isWritable()) {
                byte[] piece = b.nextStreamed();
                if (piece == null) {
                    break;
                }
                channel.write(new DefaultHttpContent(Unpooled.wrappedBuffer(piece)));
            }
            channel.flush();
            // What the flush has made room for is told while this is at work, and not again.
        } while (channel.isWritable() && b.hasStreamed());
        if (b.streamCutShort()) {
            // The end is left out, so that nothing cut short can look whole.
            channel.close();
            return false;
        }
        if (!b.streamWhole()) {
            return false;
        }
        finish(LastHttpContent.EMPTY_LAST_CONTENT, close);
        return true;
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        if (channel.isWritable()) {
            ready();
        }
    }

    /** Ends a connection that has been idle, or whose request head takes too long. */
    void sweep(MonotonicTime now) {
        long still = now.since(lastActivity);
        if (pipeline.isEmpty() && arriving == null && !lingering) {
            Configuration.Limits limits = desk.limits();
            if (headUnderway ? still > limits.headerTimeoutMs() : still > limits.idleTimeoutMs()) {
                if (headUnderway) {
                    turnAway(null, ErrorKind.SLOW_REQUEST);
                } else {
                    channel.close();
                }
            }
        }
    }

    /** Ends the connection if nothing is underway on it. */
    void closeIfIdle() {
        if (!busy() && !headUnderway) {
            channel.close();
        }
    }

    /** Whether a request waits for its answer, or a part of an answer for the client to take it. */
    boolean busy() {
        ChannelOutboundBuffer unwritten = channel.unsafe().outboundBuffer();
        return !pipeline.isEmpty() || unwritten != null && unwritten.totalPendingWriteBytes() > 0;
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        gone = true;
        desk.left(this);
        for (RequestExchange b : pipeline) {
            b.abandon();
        }
        pipeline.clear();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ctx.close();
    }
}
