package org.umbermount.kernel.net;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.SocketException;
import java.util.Random;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.umbermount.kernel.DaemonAddress;
import org.umbermount.kernel.Messenger;
import org.umbermount.kernel.Metrics;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

class MailroomTest {
    private static final long PATIENCE_S = 10;

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final Metrics metrics = new Metrics();

    @AfterEach
    void end() {
        group.shutdownGracefully(0, PATIENCE_S, TimeUnit.SECONDS);
    }

    private DatagramMessenger mailroom() throws Exception {
        DatagramMessenger mailroom =
                new DatagramMessenger(DaemonAddress.parse("127.0.0.1:" + freePort()), new LoopClock(loop), metrics);
        mailroom.bind(loop);
        return mailroom;
    }

    private static int freePort() throws SocketException {
        try (DatagramSocket probe = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            return probe.getLocalPort();
        }
    }

    @Test
    void messagesOfAnyLengthArriveAsTheyWereSent() throws Exception {
        DatagramMessenger sender = mailroom();
        DatagramMessenger receiver = mailroom();
        BlockingQueue<byte[]> arrived = new ArrayBlockingQueue<>(16);
        receiver.subscribe(Messenger.Topic.DISPATCH, (from, body) -> {
            assertEquals(sender.self(), from);
            arrived.add(body);
        });
        Random random = new Random(3);
        for (int length : new int[] {0, 1, 600, 1_179, 1_181, 20_000}) {
            byte[] body = new byte[length];
            random.nextBytes(body);
            loop.submit(() -> sender.send(receiver.self(), Messenger.Topic.DISPATCH, body))
                    .sync();
            assertArrayEquals(body, arrived.poll(PATIENCE_S, TimeUnit.SECONDS), "length " + length);
        }
        assertEquals(6, metrics.counter("mail.messages.out.dispatch").count());
    }

    @Test
    void nobodyAtTheOtherEndIsNoFailure() throws Exception {
        DatagramMessenger sender = mailroom();
        DatagramMessenger receiver = mailroom();
        BlockingQueue<byte[]> arrived = new ArrayBlockingQueue<>(16);
        receiver.subscribe(Messenger.Topic.DISPATCH, (from, body) -> arrived.add(body));
        DaemonAddress nobody = DaemonAddress.parse("127.0.0.1:" + freePort());
        for (int i = 0; i < 50; i++) {
            loop.submit(() -> sender.send(nobody, Messenger.Topic.DISPATCH, new byte[100]))
                    .sync();
        }
        loop.submit(() -> sender.send(receiver.self(), Messenger.Topic.DISPATCH, new byte[] {7}))
                .sync();
        assertArrayEquals(new byte[] {7}, arrived.poll(PATIENCE_S, TimeUnit.SECONDS));
    }
}
