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
import org.umbermount.kernel.Imprint;
import org.umbermount.kernel.Postbag;
import org.umbermount.kernel.Script;
import org.umbermount.kernel.Tally;

/** One UDP socket for all internal messages of a process; long messages travel in parts. */
public final class Mailroom implements Postbag {
    private static final Logger LOG = LoggerFactory.getLogger("kernel");
    private static final int ADDRESSES_KEPT = 1_024;

    private final Imprint self;
    private final Tally tally;
    private final Parcels parcels;
    private final Map<Topic, Listener> listeners = new EnumMap<>(Topic.class);
    private final Tally.Count[] bytesOut = new Tally.Count[Topic.values().length];
    private final Tally.Count[] messagesOut = new Tally.Count[Topic.values().length];
    private final Tally.Count bytesIn;
    private final Map<Imprint, InetSocketAddress> addresses = new HashMap<>();
    private DatagramChannel socket;
    private Channel channel;

    public Mailroom(Imprint self, Clock clock, Tally tally) {
        this.self = self;
        this.tally = tally;
        this.parcels = new Parcels(clock);
        tally.gauge("mail.parts.foreign", parcels::foreign);
        this.bytesIn = tally.counter("mail.bytes.in");
        for (Topic topic : Topic.values()) {
            String name = lower(topic);
            bytesOut[topic.ordinal()] = tally.counter("mail.bytes.out." + name);
            messagesOut[topic.ordinal()] = tally.counter("mail.messages.out." + name);
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
    public Imprint self() {
        return self;
    }

    @Override
    public void send(Imprint to, Topic topic, byte[] body) {
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
            tally.count("mail.socket.errors");
        }
    }

    private InetSocketAddress addressOf(Imprint to) {
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
    void receive(Imprint from, byte[] datagram) {
        Parcels.Whole whole;
        try {
            whole = parcels.unwrap(from, datagram);
        } catch (UnreadableDatagramException e) {
            tally.count("mail.unreadable." + lower(e.reason()));
            return;
        }
        if (whole == null) {
            return;
        }
        Listener listener = listeners.get(whole.topic());
        if (listener == null) {
            tally.count("mail.unwanted." + lower(whole.topic()));
            return;
        }
        try {
            listener.receive(from, whole.body());
        } catch (Script.UnreadableException e) {
            tally.count("mail.unreadable.message." + lower(whole.topic()));
        } catch (RuntimeException e) {
            tally.count("mail.failed." + lower(whole.topic()));
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
            receive(Imprint.of(packet.sender()), bytes);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            tally.count("mail.socket.errors");
            if (!(cause instanceof IOException)) {
                LOG.error("A datagram could not be handled.", cause);
            }
        }
    }
}
