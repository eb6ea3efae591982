package org.umbermount.kernel.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.net.InetSocketAddress;
import java.util.EnumMap;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.umbermount.kernel.DaemonAddress;
import org.umbermount.kernel.MessagePackCodec;
import org.umbermount.kernel.Messenger;
import org.umbermount.kernel.Metrics;

/** One UDP socket for all internal messages of a process; long messages travel in parts. */
public final class DatagramMessenger implements Messenger {
    private static final Logger LOG = LoggerFactory.getLogger("kernel");

    private final DaemonAddress self;
    private final Metrics metrics;
    private final Fragmentation parcels;
    private final Map<Topic, Listener> listeners = new EnumMap<>(Topic.class);
    private final Metrics.Count[] bytesOut = new Metrics.Count[Topic.values().length];
    private final Metrics.Count[] messagesOut = new Metrics.Count[Topic.values().length];
    private final Metrics.Count bytesIn;
    private Channel channel;

    /** Prepares a messenger and its metrics; nothing is received or sent before {@link #bind}. */
    public DatagramMessenger(DaemonAddress self, LoopClock clock, Metrics metrics) {
        this.self = self;
        this.metrics = metrics;
        this.parcels = new Fragmentation(clock);
        metrics.gauge("mail.parts.foreign", parcels::foreign);
        this.bytesIn = metrics.counter("mail.bytes.in");
        for (Topic topic : Topic.values()) {
            String name = topic.name().toLowerCase(java.util.Locale.ROOT);
            bytesOut[topic.ordinal()] = metrics.counter("mail.bytes.out." + name);
            messagesOut[topic.ordinal()] = metrics.counter("mail.messages.out." + name);
        }
    }

    /** Binds the socket and waits until it is bound. */
    public void bind(EventLoop loop) throws InterruptedException {
        channel = new Bootstrap()
                .group(loop)
                .channel(NioDatagramChannel.class)
                .option(ChannelOption.SO_RCVBUF, 1 << 19)
                .option(ChannelOption.RECVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(2048))
                .handler(new Inbox())
                .bind(self.socketAddress())
                .sync()
                .channel();
    }

    @Override
    public DaemonAddress self() {
        return self;
    }

    @Override
    public void send(DaemonAddress to, Topic topic, byte[] body) {
        InetSocketAddress address = to.socketAddress();
        messagesOut[topic.ordinal()].increment();
        for (byte[] part : parcels.wrap(topic, body)) {
            bytesOut[topic.ordinal()].increment(part.length);
            channel.write(new DatagramPacket(Unpooled.wrappedBuffer(part), address));
        }
        channel.flush();
    }

    @Override
    public void subscribe(Topic topic, Listener listener) {
        listeners.put(topic, listener);
    }

    private final class Inbox extends SimpleChannelInboundHandler<DatagramPacket> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
            ByteBuf content = packet.content();
            byte[] bytes = new byte[content.readableBytes()];
            bytesIn.increment(bytes.length);
            content.readBytes(bytes);
            DaemonAddress from = DaemonAddress.of(packet.sender());
            try {
                Fragmentation.Whole whole = parcels.unwrap(from, bytes);
                if (whole == null) {
                    return;
                }
                Listener listener = listeners.get(whole.topic());
                if (listener == null) {
                    metrics.count("mail.unwanted");
                    return;
                }
                listener.receive(from, whole.body());
            } catch (MessagePackCodec.UnreadableException e) {
                metrics.count("mail.unreadable");
            } catch (RuntimeException e) {
                LOG.error("A message from {} could not be handled.", from, e);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            metrics.count("mail.socket.errors");
        }
    }
}
