package org.umbermount.kernel.net;

import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.ChannelPromise;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.SocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.util.concurrent.TimeUnit;

/**
 * Accepts connections on a listening socket and sets up the pipeline of each, all on one event loop. It does what Netty's
 * server bootstrap does, with less code on the way: a daemon's start loads and runs all of it once, interpreted, and the
 * bootstrap's shared handlers make the JVM generate proxy classes for annotations.
 */
public abstract class ConnectionAcceptor extends ChannelInboundHandlerAdapter {
    /** How many connections the system keeps until they are accepted. */
    public static final int BACKLOG = 1_024;

    private static final long PAUSE_MS = 1_000;

    private final EventLoop loop;

    /** @param loop the event loop of the listening socket and of its connections */
    protected ConnectionAcceptor(EventLoop loop) {
        this.loop = loop;
    }

    /** Adds the handlers of a new connection. */
    protected abstract void initialize(ChannelPipeline pipeline);

    /** Listens at an address. */
    public final ChannelFuture bind(SocketAddress address) {
        NioServerSocketChannel listener = new NioServerSocketChannel();
        listener.config().setReuseAddress(true).setBacklog(BACKLOG);
        ChannelPromise bound = listener.newPromise();
        register(listener).addListener(new ChannelFutureListener() {
            @Override
            public void operationComplete(ChannelFuture registered) {
                if (registered.isSuccess()) {
                    listener.bind(address, bound).addListener(CLOSE_ON_FAILURE);
                } else {
                    bound.setFailure(registered.cause());
                }
            }
        });
        return bound;
    }

    /** Accepts on a socket that listens already. */
    public final ChannelFuture adopt(ServerSocketChannel listening) {
        return register(new NioServerSocketChannel(listening));
    }

    private ChannelFuture register(NioServerSocketChannel listener) {
        listener.pipeline().addLast(this);
        return loop.register(listener);
    }

    @Override
    public final void channelRead(ChannelHandlerContext ctx, Object msg) {
        SocketChannel connection = (SocketChannel) msg;
        connection.config().setTcpNoDelay(true);
        initialize(connection.pipeline());
        loop.register(connection).addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
    }

    /** Accepting failed, as when no descriptors are left: pauses, since the next attempt would fail as well. */
    @Override
    public final void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (ctx.channel().config().isAutoRead()) {
            ctx.channel().config().setAutoRead(false);
            loop.schedule(
                    new Runnable() {
                        @Override
                        public void run() {
                            ctx.channel().config().setAutoRead(true);
                        }
                    },
                    PAUSE_MS,
                    TimeUnit.MILLISECONDS);
        }
    }
}
