package org.umbermount.kernel.net;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.channels.ServerSocketChannel;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class ConnectionAcceptorTest {
    private static final long PATIENCE_S = 10;

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();

    /** Sends back what comes on a connection. */
    private static final class Echo extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext ctx, Object msg) {
            ctx.writeAndFlush(msg);
        }
    }

    private final class EchoAcceptor extends ConnectionAcceptor {
        EchoAcceptor() {
            super(loop);
        }

        @Override
        protected void initialize(ChannelPipeline pipeline) {
            pipeline.addLast(new Echo());
        }
    }

    @AfterEach
    void end() {
        group.shutdownGracefully(0, PATIENCE_S, TimeUnit.SECONDS);
    }

    private static InetSocketAddress anyPort() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    }

    private static void assertEchoes(InetSocketAddress address) throws IOException {
        try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
            socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(PATIENCE_S));
            for (int i = 1; i < 100; i += 7) {
                socket.getOutputStream().write(i);
                assertEquals(i, socket.getInputStream().read());
            }
        }
    }

    @Test
    void eachConnectionGetsItsHandlers() throws Exception {
        Channel listener = new EchoAcceptor().bind(anyPort()).sync().channel();
        assertEchoes((InetSocketAddress) listener.localAddress());
        assertEchoes((InetSocketAddress) listener.localAddress());
    }

    @Test
    void aSocketThatListensAlreadyIsTakenOverWithWhoWaitsThere() throws Exception {
        try (ServerSocketChannel early = ServerSocketChannel.open()) {
            early.bind(anyPort());
            InetSocketAddress address = (InetSocketAddress) early.getLocalAddress();
            try (Socket waiting = new Socket(address.getAddress(), address.getPort())) {
                new EchoAcceptor().adopt(early).sync();
                waiting.setSoTimeout((int) TimeUnit.SECONDS.toMillis(PATIENCE_S));
                waiting.getOutputStream().write(5);
                assertEquals(5, waiting.getInputStream().read());
            }
            assertEchoes(address);
        }
    }

    @Test
    void anAddressInUseIsTold() throws Exception {
        Channel first = new EchoAcceptor().bind(anyPort()).sync().channel();
        ChannelFuture second = new EchoAcceptor().bind(first.localAddress()).await();
        assertFalse(second.isSuccess());
        assertTrue(second.cause() instanceof IOException, "" + second.cause());
    }

    @Test
    void afterAFailureToAcceptItPausesAndGoesOn() throws Exception {
        Channel listener = new EchoAcceptor().bind(anyPort()).sync().channel();
        listener.pipeline().fireExceptionCaught(new IOException("Too many open files"));
        loop.submit(() -> assertFalse(listener.config().isAutoRead())).sync();
        assertEchoes((InetSocketAddress) listener.localAddress());
        assertTrue(listener.config().isAutoRead());
    }
}
