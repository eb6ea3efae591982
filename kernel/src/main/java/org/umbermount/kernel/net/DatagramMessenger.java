package org.umbermount.kernel.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.StandardProtocolFamily;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.umbermount.kernel.Clock;
import org.umbermount.kernel.DaemonAddress;
import org.umbermount.kernel.MessagePackCodec;
import org.umbermount.kernel.Messenger;
import org.umbermount.kernel.Metrics;

/** One UDP socket for all internal messages of a process; long messages travel in parts. */
public final class DatagramMessenger implements Messenger {
    private static final Logger LOG = LoggerFactory.getLogger("kernel");
    private static final int ADDRESSES_KEPT = 1_024;

    private final DaemonAddress self;
    private final Metrics metrics;
    private final Fragmentation parcels;
    private final Map<Topic, Listener> listeners = new EnumMap<>(Topic.class);
    private final Metrics.Count[] bytesOut = new Metrics.Count[Topic.values().length];
    private final Metrics.Count[] messagesOut = new Metrics.Count[Topic.values().length];
    private final Metrics.Count bytesIn;
    private final Map<DaemonAddress, InetSocketAddress> addresses = new HashMap<>();
    private DatagramChannel socket;
    private Channel channel;

    /** Prepares a messenger and its metrics; nothing is received or sent before {@link #bind}. */
    public DatagramMessenger(DaemonAddress self, Clock clock, Metrics metrics) {
        this.self = self;
        this.metrics = metrics;
        this.parcels = new Fragmentation(clock);
        metrics.gauge("mail.parts.foreign", parcels::foreign);
        this.bytesIn = metrics.counter("mail.bytes.in");
        for (Topic topic : Topic.values()) {
            String name = lower(topic);
            bytesOut[topic.ordinal()] = metrics.counter("mail.bytes.out." + name);
            messagesOut[topic.ordinal()] = metrics.counter("mail.messages.out." + name);
        }
    }

    /** Binds the socket and waits until it is bound. */
    public void bind(EventLoop loop) throws InterruptedException {
        try {
            socket = DatagramChannel.open(StandardProtocolFamily.INET);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        NioDatagramChannel bound = new NioDatagramChannel(socket);
        bound.config().setReceiveBufferSize(1 << 19).setRecvByteBufAllocator(new FixedRecvByteBufAllocator(2048));
        bound.pipeline().addLast(new Inbox());
        loop.register(bound).sync();
        bound.bind(self.socketAddress()).sync();
        channel = bound;
    }

    @Override
    public DaemonAddress self() {
        return self;
    }

    @Override
    public void send(DaemonAddress to, Topic topic, byte[] body) {
        assert channel.eventLoop().inEventLoop() : "a message is sent beside the event loop";
        InetSocketAddress address = addressOf(to);
        messagesOut[topic.ordinal()].increment();
        for (byte[] part : parcels.wrap(topic, body)) {
            bytesOut[topic.ordinal()].increment(part.length);
            sendPart(part, address);
        }
    }

    /** Straight into the socket: the way through the channel's pipeline is for when the socket's buffer is full. */
    private void sendPart(byte[] part, InetSocketAddress address) {
        try {
            if (socket.send(ByteBuffer.wrap(part), address) == 0) {
                channel.writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(part), address));
            }
        } catch (IOException e) {
            metrics.count("mail.socket.errors");
        }
    }

    private InetSocketAddress addressOf(DaemonAddress to) {
        InetSocketAddress known = addresses.get(to);
        if (known == null) {
            if (addresses.size() >= ADDRESSES_KEPT) {
                addresses.clear();
            }
            known = to.socketAddress();
            addresses.put(to, known);
        }
        return known;
    }

    @Override
    public void subscribe(Topic topic, Listener listener) {
        listeners.put(topic, listener);
    }

    /** Takes one datagram; what cannot be used is counted by its reason and dropped. */
    void receive(DaemonAddress from, byte[] datagram) {
        Fragmentation.Whole whole;
        try {
            whole = parcels.unwrap(from, datagram);
        } catch (UnreadableDatagramException e) {
            metrics.count("mail.unreadable." + lower(e.reason()));
            return;
        }
        if (whole == null) {
            return;
        }
        Listener listener = listeners.get(whole.topic());
        if (listener == null) {
            metrics.count("mail.unwanted." + lower(whole.topic()));
            return;
        }
        try {
            listener.receive(from, whole.body());
        } catch (MessagePackCodec.UnreadableException e) {
            metrics.count("mail.unreadable.message." + lower(whole.topic()));
        } catch (RuntimeException e) {
            metrics.count("mail.failed." + lower(whole.topic()));
            LOG.error("A message from {} could not be handled.", from, e);
        }
    }

    private static String lower(Enum<?> value) {
        return value.name().toLowerCase(Locale.ROOT);
    }

    private final class Inbox extends SimpleChannelInboundHandler<DatagramPacket> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
            ByteBuf content = packet.content();
            byte[] bytes = new byte[content.readableBytes()];
            bytesIn.increment(bytes.length);
            content.readBytes(bytes);
            receive(DaemonAddress.of(packet.sender()), bytes);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            metrics.count("mail.socket.errors");
            if (!(cause instanceof IOException)) {
                LOG.error("A datagram could not be handled.", cause);
            }
        }
    }
}
