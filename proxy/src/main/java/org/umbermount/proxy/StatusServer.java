package org.umbermount.proxy;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.timeout.ReadTimeoutHandler;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.umbermount.kernel.DaemonAddress;
import org.umbermount.kernel.net.ConnectionAcceptor;

/** Says whether this daemon takes clients, and shows its meters and its state to an operator. */
final class StatusServer {
    private final BooleanSupplier ready;
    private final Supplier<String> metrics;
    private final Supplier<String> status;

    StatusServer(BooleanSupplier ready, Supplier<String> metrics, Supplier<String> status) {
        this.ready = ready;
        this.metrics = metrics;
        this.status = status;
    }

    ChannelFuture bind(EventLoop loop, DaemonAddress address) {
        return new ConnectionAcceptor(loop) {
            @Override
            protected void initialize(ChannelPipeline pipeline) {
                pipeline.addLast(new ReadTimeoutHandler(30))
                        .addLast(new HttpServerCodec())
                        .addLast(new Page());
            }
        }.bind(address.socketAddress());
    }

    private final class Page extends SimpleChannelInboundHandler<Object> {
        private HttpRequest request;

        Page() {
            super(false);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, Object msg) {
            if (msg instanceof HttpRequest r) {
                request = r;
            }
            if (msg instanceof LastHttpContent && request != null) {
                answer(ctx);
                request = null;
            }
            ReferenceCountUtil.release(msg);
        }

        private void answer(ChannelHandlerContext ctx) {
            int code = 200;
            String body;
            switch (request.uri()) {
                case "/readiness" -> {
                    code = ready.getAsBoolean() ? 200 : 503;
                    body = "";
                }
                case "/metrics" -> body = metrics.get();
                case "/status" -> body = status.get();
                default -> {
                    code = 404;
                    body = "";
                }
            }
            byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
            FullHttpResponse response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(code), Unpooled.wrappedBuffer(bytes));
            response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, bytes.length);
            boolean keep =
                    HttpUtil.isKeepAlive(request) && !request.decoderResult().isFailure();
            HttpUtil.setKeepAlive(response, keep);
            ctx.writeAndFlush(response)
                    .addListener(keep ? ChannelFutureListener.CLOSE_ON_FAILURE : ChannelFutureListener.CLOSE);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
