package org.umbermount.kernel.net;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.umbermount.kernel.DaemonAddress;
import org.umbermount.kernel.MessagePackCodec;
import org.umbermount.kernel.Messenger.Topic;
import org.umbermount.kernel.Metrics;
import org.umbermount.kernel.testing.FakeClock;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** What cannot be used is counted by its reason, once each, and dropped. */
class DroppedDatagramsTest {
    private static final DaemonAddress FROM = DaemonAddress.parse("10.0.0.1:7000");
    private static final DaemonAddress SELF = DaemonAddress.parse("10.0.0.2:7000");
    private final FakeClock clock = new FakeClock();
    private final Metrics metrics = new Metrics();
    private final DatagramMessenger mailroom = new DatagramMessenger(SELF, clock, metrics);
    private final List<byte[]> received = new ArrayList<>();

    DroppedDatagramsTest() {
        mailroom.subscribe(Topic.CENSUS, (from, body) -> received.add(body));
        mailroom.subscribe(
                Topic.LEASE, (from, body) -> MessagePackCodec.read(body).num());
        mailroom.subscribe(Topic.VIEW, (from, body) -> {
            throw new IllegalStateException("a fault");
        });
    }

    private static byte[] noise(int n) {
        byte[] bytes = new byte[n];
        new Random(n).nextBytes(bytes);
        return bytes;
    }

    private TreeMap<String, Double> drops() {
        TreeMap<String, Double> drops = new TreeMap<>();
        metrics.forEach((name, value) -> {
            if (value > 0) {
                drops.put(name, value);
            }
        });
        return drops;
    }

    private void take(List<byte[]> datagrams) {
        datagrams.forEach(d -> mailroom.receive(FROM, d));
    }

    @Test
    void eachReasonIsCounted() {
        Fragmentation sender = new Fragmentation(clock, 1, 5);
        mailroom.receive(FROM, "GET / HTTP/1.1".getBytes());
        byte[] damaged = sender.wrap(Topic.CENSUS, noise(50)).get(0);
        damaged[20] ^= 1;
        mailroom.receive(FROM, damaged);
        List<byte[]> long1 = new Fragmentation(clock, 1, 90).wrap(Topic.CENSUS, noise(5_000));
        List<byte[]> long2 = new Fragmentation(clock, 2, 90).wrap(Topic.CENSUS, noise(5_000));
        List<byte[]> long3 = new Fragmentation(clock, 1, 90).wrap(Topic.CENSUS, noise(9_000));
        mailroom.receive(FROM, long1.get(0).clone());
        mailroom.receive(FROM, long2.get(1));
        mailroom.receive(FROM, long1.get(0).clone());
        mailroom.receive(FROM, long3.get(1));
        take(sender.wrap(Topic.QUOTA, noise(10)));
        take(sender.wrap(Topic.LEASE, MessagePackCodec.write().text("no number").done()));
        take(sender.wrap(Topic.VIEW, noise(10)));
        take(sender.wrap(Topic.CENSUS, noise(40)));
        assertEquals(
                "{mail.failed.view=1.0, mail.unreadable.damaged=1.0, mail.unreadable.foreign=1.0, "
                        + "mail.unreadable.message.lease=1.0, mail.unreadable.mixed_lives=1.0, "
                        + "mail.unreadable.mixed_messages=1.0, mail.unwanted.quota=1.0}",
                drops().toString());
        assertEquals(1, received.size());
    }

    /** Any bytes: each datagram is received whole, waits for its others, or counts as one drop. */
    @Test
    void arbitraryBytesNeverGetThrough() {
        Random random = new Random(11);
        int sent = 20_000;
        for (int i = 0; i < sent; i++) {
            byte[] datagram = new Fragmentation(clock, 1, i)
                    .wrap(Topic.CENSUS, noise(random.nextInt(900) + 1))
                    .get(0);
            for (int n = random.nextInt(3) + 1; n > 0; n--) {
                datagram[random.nextInt(datagram.length)] = (byte) random.nextInt(256);
            }
            mailroom.receive(FROM, datagram);
        }
        double counted =
                drops().values().stream().mapToDouble(Double::doubleValue).sum();
        // A byte may be drawn as it was.
        assertEquals(sent, counted + received.size());
        assertTrue(received.size() < sent / 50, received.size() + " came through");
    }
}
