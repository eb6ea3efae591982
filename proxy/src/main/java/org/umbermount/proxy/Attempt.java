package org.umbermount.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.io.ByteArrayOutputStream;
import org.umbermount.kernel.ErrorKind;
import org.umbermount.kernel.MonotonicTime;
import org.umbermount.kernel.Safeguard;

/** One sending of a request to one server. */
final class Attempt {
    /** Answers up to this size are held whole before the client sees any of them. */
    static final int HELD_WHOLE = 128 << 10;

    final RequestExchange requestExchange;
    final UpstreamServer repository;
    private final Sendings.Permit permit;
    private ServerConnection serverConnection;
    /** Whether the connection had rested before: what comes on it first may be late. */
    private boolean reused;

    private MonotonicTime sentAt;
    private boolean requestWritten;
    private HttpResponse head;
    private final ByteArrayOutputStream held = new ByteArrayOutputStream(512);
    private boolean streaming;
    private boolean ignored;

    Attempt(RequestExchange requestExchange, UpstreamServer repository, Sendings.Permit permit) {
        this.permit = permit;
        this.requestExchange = requestExchange;
        this.repository = repository;
    }

    boolean requestWritten() {
        return requestWritten;
    }

    /** The connection is there: sends, unless the request is no longer wanted or the server no longer takes any. */
    void write(ServerConnection over) {
        MonotonicTime now = repository.desk().clock().now();
        long left = requestExchange.deadline().since(now);
        if (!requestExchange.wanted() || left < requestExchange.leastMs() || !repository.usable(now)) {
            over.unused();
            notSent();
            return;
        }
        ErrorKind why = requestExchange.whyNot();
        if (why != null) {
            over.unused();
            permit.giveBack();
            requestExchange.withdrawn(why);
            return;
        }
        serverConnection = over;
        reused = over.reused();
        sentAt = now;
        HttpRequest upstreamRequest = upstreamRequest(left);
        if (!over.transmit(permit, upstreamRequest, !requestExchange.isLarge())) {
            permitVoid(over);
            return;
        }
        if (requestExchange.isLarge()) {
            requestExchange.carriedBy(this);
            over.flush();
        } else {
            requestWritten = true;
        }
        requestExchange.nowSent(this, now);
    }

    /** The request as the server gets it: with its body, or with its headers alone if the body is streamed. */
    private HttpRequest upstreamRequest(long deadlineMs) {
        HttpRequest from = requestExchange.request();
        HttpRequest to;
        if (requestExchange.isLarge()) {
            to = new DefaultHttpRequest(HttpVersion.HTTP_1_1, from.method(), from.uri());
        } else {
            to = new DefaultFullHttpRequest(
                    HttpVersion.HTTP_1_1, from.method(), from.uri(), Unpooled.wrappedBuffer(requestExchange.body()));
        }
        HeaderNames.copyEndToEnd(from.headers(), to.headers());
        to.headers().remove(HeaderNames.TENANT);
        if (repository.desk().keyed()) {
            to.headers().remove(HttpHeaderNames.AUTHORIZATION);
        }
        if (requestExchange.tenant() != null) {
            to.headers().set(HeaderNames.TENANT, requestExchange.tenant().label());
        }
        to.headers().set(HeaderNames.TARGET, repository.instance.id().value());
        to.headers().set(HeaderNames.DEADLINE, Long.toString(deadlineMs));
        setFraming(from.headers(), to.headers());
        return to;
    }

    /** Sets the headers that say where the body ends, as the client has done. */
    private void setFraming(HttpHeaders from, HttpHeaders to) {
        if (requestExchange.isLarge()) {
            String length = from.get(HttpHeaderNames.CONTENT_LENGTH);
            if (length != null) {
                to.set(HttpHeaderNames.CONTENT_LENGTH, length);
            } else {
                to.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
            }
        } else {
            boolean hadBody = from.contains(HttpHeaderNames.CONTENT_LENGTH)
                    || HttpUtil.isTransferEncodingChunked(requestExchange.request());
            int bodyBytes = requestExchange.body().length;
            if (bodyBytes > 0 || hadBody) {
                to.setInt(HttpHeaderNames.CONTENT_LENGTH, bodyBytes);
            }
        }
    }

    /** The client has been answered meanwhile: nothing was written. */
    private void permitVoid(ServerConnection over) {
        over.unused();
        notSent();
    }

    /** Passes a piece of a large body on. */
    void more(byte[] piece, boolean last) {
        ByteBuf buffer = Unpooled.wrappedBuffer(piece);
        if (last) {
            requestWritten = true;
            serverConnection.transmitMore(permit, new DefaultLastHttpContent(buffer));
        } else {
            serverConnection.transmitMore(permit, new DefaultHttpContent(buffer));
        }
    }

    boolean canTakeMore() {
        return serverConnection.canTakeMore();
    }

    /** Nobody waits any more for a request of which only a part has been sent: the server must not wait for the rest. */
    void dropUnlessWritten() {
        if (!requestWritten && serverConnection.carries(this)) {
            serverConnection.close();
        }
    }

    void writable() {
        requestExchange.serverWritable();
    }

    void notSent() {
        requestExchange.notSent(permit.giveBack());
    }

    /** The head of an answer has come; false if it is not this request's. */
    boolean head(HttpResponse response) {
        head = response;
        if (!repliesTo()) {
            return false;
        }
        if (isSealedSuccess() && HttpUtil.getContentLength(response, -1L) > HELD_WHOLE) {
            beginStreaming();
        }
        return true;
    }

    /** Whether the answer that is coming is this request's: one to another request shows its id. */
    private boolean repliesTo() {
        if (!Safeguard.ANSWER_MATCHED_BY_ATTEMPT.holds()) {
            return true;
        }
        String echoed = head.headers().get(HeaderNames.ATTEMPT);
        if (echoed == null && reused) {
            repository.desk().metrics().count("servers.answers.unnamed");
        }
        if (echoed == null) {
            // On a connection that has carried others, an answer without a name may be anyone's, a refusal too.
            return !reused;
        }
        return echoed.equals(requestExchange.request().headers().get(HeaderNames.ATTEMPT));
    }

    private boolean isSealedSuccess() {
        int status = head.status().code();
        boolean framed = status == 204
                || HttpUtil.isContentLengthSet(head)
                || HttpUtil.isTransferEncodingChunked(head)
                || requestExchange.request().method().equals(HttpMethod.HEAD);
        return status / 100 == 2
                && head.headers().contains(HeaderNames.SEAL)
                && framed
                && !head.headers().contains(HttpHeaderNames.CONTENT_ENCODING);
    }

    void body(ByteBuf content) {
        int n = content.readableBytes();
        if (n == 0 || ignored) {
            return;
        }
        byte[] piece = new byte[n];
        content.getBytes(content.readerIndex(), piece);
        if (streaming) {
            requestExchange.streamed(piece);
            return;
        }
        held.write(piece, 0, n);
        if (held.size() > HELD_WHOLE) {
            if (isSealedSuccess() || isOwnFailure()) {
                beginStreaming();
            } else {
                ignored = true;
            }
        }
    }

    /** Whether the answer is a failure of the server's own, to be passed on as it is. */
    private boolean isOwnFailure() {
        int status = head.status().code();
        return status / 100 != 2
                && !promises(status)
                && !head.headers().contains(HeaderNames.NOT_EXECUTED)
                && (HttpUtil.isContentLengthSet(head) || HttpUtil.isTransferEncodingChunked(head));
    }

    /** Whether a client would take the status as a promise that the request has not run. */
    private static boolean promises(int status) {
        return status == 503 || status == 429 || status == 408 || status == 421;
    }

    private void beginStreaming() {
        if (!requestExchange.beginStreaming(this, head)) {
            ignored = true;
            return;
        }
        streaming = true;
        if (held.size() > 0) {
            requestExchange.streamed(held.toByteArray());
            held.reset();
        }
    }

    /** Stops or goes on reading the server's answer. */
    void reading(boolean on) {
        if (serverConnection.carries(this)) {
            serverConnection.reading(on);
        }
    }

    /** The answer is whole. */
    void finished() {
        MonotonicTime now = repository.desk().clock().now();
        String load = head.headers().get(HeaderNames.LOAD);
        if (load != null) {
            repository.reportedLoad(now, load);
        }
        int status = head.status().code();
        long ms = now.since(sentAt);
        if (streaming) {
            permit.answered(head);
            repository.answered(now, ms, false);
            repository.ran(status < 500 || status == 504);
            requestExchange.streamedWhole();
            return;
        }
        Answer answer = new Answer(status, head.headers(), held.toByteArray());
        Sendings.NotRun proof = permit.answered(head);
        boolean notRun = proof != null;
        repository.answered(now, ms, !notRun && status / 100 == 2);
        if (!notRun) {
            repository.upstreamService.pressure.answered(ms, requestExchange.aimMs());
        }
        if (!notRun) {
            repository.ran(status < 500 || status == 504);
        }
        if (notRun) {
            if (status == 421) {
                repository.misdirected();
            } else if (status == 503 || status == 429) {
                repository.full(now);
            }
            requestExchange.refused(proof, status);
        } else if (status / 100 == 2) {
            if (isSealedSuccess() && !ignored) {
                requestExchange.succeeded(answer);
            } else {
                requestExchange.failed(this, "an unsealed answer", null);
            }
        } else if (promises(status) || ignored) {
            // It would promise the client that the request has not run, and nothing here says so; or not all of it was
            // held.
            requestExchange.failed(this, "an answer that cannot be passed on", null);
        } else {
            requestExchange.failed(this, "a failure of its own", answer);
        }
    }

    void broken(String how) {
        repository.desk().metrics().count("servers.answers.broken");
        repository.ran(false);
        permit.lost();
        if (streaming) {
            requestExchange.streamCut();
        } else {
            requestExchange.failed(this, how, null);
        }
    }
}
