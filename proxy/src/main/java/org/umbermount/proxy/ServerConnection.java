package org.umbermount.proxy;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.umbermount.kernel.MonotonicTime;
import org.umbermount.kernel.Safeguard;

/** One connection to a server; it serves one request at a time. Nothing else writes to a server's connection. */
final class ServerConnection extends ChannelInboundHandlerAdapter {
    private final UpstreamServer repository;
    private final AnswerDecoder decoder;
    private Channel channel;
    private Attempt current;
    private boolean finished;
    private boolean reusable;
    private boolean interim;
    private boolean closed;
    MonotonicTime restingSince = MonotonicTime.NEVER;
    long keepAliveMs = Long.MAX_VALUE;

    ServerConnection(UpstreamServer repository, AnswerDecoder decoder) {
        this.repository = repository;
        this.decoder = decoder;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        channel = ctx.channel();
    }

    boolean isOpen() {
        return channel != null && channel.isActive() && !closed;
    }

    /** Whether nothing has come on it that belongs to no request; half an answer is not shown to this handler yet. */
    boolean isClean() {
        return !decoder.hasLeftover() || !Safeguard.SURPLUS_RETIRES_CONNECTION.holds();
    }

    boolean carries(Attempt attempt) {
        return current == attempt && !closed;
    }

    /** Writes a request, or the head of one whose body follows; false if the permit is void, and then nothing is written. */
    boolean transmit(Sendings.Permit permit, HttpRequest request, boolean whole) {
        if (!permit.use()) {
            return false;
        }
        decoder.toHead(request.method().equals(HttpMethod.HEAD));
        if (whole) {
            channel.writeAndFlush(request);
        } else {
            channel.write(request);
        }
        return true;
    }

    /** Writes a further piece of the body of the request that is being sent under a permit. */
    void transmitMore(Sendings.Permit permit, HttpContent piece) {
        if (permit.inUse() && !closed) {
            channel.writeAndFlush(piece);
        } else {
            piece.release();
        }
    }

    void flush() {
        channel.flush();
    }

    boolean canTakeMore() {
        return channel.isWritable();
    }

    /** Whether another request has been answered on this connection before. */
    boolean reused() {
        return restingSince != MonotonicTime.NEVER;
    }

    void send(Attempt attempt) {
        current = attempt;
        finished = false;
        reusable = false;
        attempt.write(this);
    }

    /** Stops or goes on reading, as the client's side can take it. */
    void reading(boolean on) {
        channel.config().setAutoRead(on);
    }

    void close() {
        closed = true;
        if (channel != null) {
            channel.close();
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object msg) {
        try {
            if (current == null || finished) {
                // Bytes that belong to no request: nothing on this connection can be trusted any more.
                repository.desk().metrics().count("servers.stray.bytes");
                if (Safeguard.SURPLUS_RETIRES_CONNECTION.holds()) {
                    reusable = false;
                    close();
                }
                return;
            }
            if (msg instanceof HttpResponse response) {
                if (response.decoderResult().isFailure()) {
                    broken("an unreadable answer");
                    return;
                }
                if (response.status().code() == 101) {
                    broken("a change of protocol that nobody asked for");
                    return;
                }
                interim = response.status().code() / 100 == 1;
                if (interim) {
                    return;
                }
                reusable = HttpUtil.isKeepAlive(response)
                        && (HttpUtil.isContentLengthSet(response)
                                || HttpUtil.isTransferEncodingChunked(response)
                                || response.status().code() == 204
                                || response.status().code() == 304);
                readKeepAlive(response);
                if (!current.head(response)) {
                    // Where its body would end is for that request to know: a HEAD's would take the next answer for it.
                    broken("an answer to another request");
                    return;
                }
            }
            if (current != null && !interim && msg instanceof HttpContent content) {
                if (content.decoderResult().isFailure()) {
                    broken("an unreadable body");
                    return;
                }
                current.body(content.content());
                if (current != null && msg instanceof LastHttpContent) {
                    finished = true;
                }
            }
        } finally {
            ReferenceCountUtil.release(msg);
        }
    }

    private void readKeepAlive(HttpResponse response) {
        String value = response.headers().get(HeaderNames.KEEP_ALIVE);
        int at = value == null ? -1 : value.indexOf("timeout=");
        if (at >= 0) {
            int end = at + 8;
            while (end < value.length() && Character.isDigit(value.charAt(end)) && end < at + 14) {
                end++;
            }
            if (end > at + 8) {
                keepAliveMs = Math.max(0, Long.parseLong(value.substring(at + 8, end)) * 1000 - 1_500);
            }
        }
    }

    /** An answer counts as ended only when what came with its last bytes has been looked at too. */
    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        settle();
        ctx.fireChannelReadComplete();
    }

    private void settle() {
        if (!finished || current == null) {
            return;
        }
        Attempt done = current;
        current = null;
        repository.end();
        if (reusable && isOpen() && isClean() && done.requestWritten()) {
            channel.config().setAutoRead(true);
            repository.rest(this);
        } else {
            close();
        }
        done.finished();
    }

    /** The request is not wanted any more and nothing of it was sent. */
    void unused() {
        current = null;
        repository.end();
        repository.putBack(this);
    }

    private void broken(String how) {
        Attempt attempt = current;
        current = null;
        close();
        if (attempt != null) {
            repository.end();
            attempt.broken(how);
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        if (current != null && channel.isWritable()) {
            current.writable();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        closed = true;
        repository.lost(this);
        settle();
        broken("the connection closed");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        broken("the connection failed");
    }
}
