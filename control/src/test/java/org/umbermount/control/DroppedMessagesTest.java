package org.umbermount.control;

import java.io.IOException;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.umbermount.kernel.DaemonAddress;
import org.umbermount.kernel.MachineUptime;
import org.umbermount.kernel.MessagePackCodec;
import org.umbermount.kernel.Messenger;
import org.umbermount.kernel.Metrics;
import org.umbermount.kernel.Settings;
import org.umbermount.storage.AppendOnlyFile;
import org.umbermount.storage.testing.FakeDirectory;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Messages of views and chain that come too late, from the wrong life or damaged: counted, and without effect. */
class DroppedMessagesTest {
    private static final String DROPPED = "control.messages.dropped.";

    /** A message on its way. */
    private record Sent(DaemonAddress from, DaemonAddress to, Messenger.Topic topic, byte[] body) {}

    private final List<Sent> sent = new ArrayList<>();

    private Fleet recordedFleet() throws IOException {
        Fleet fleet = new Fleet(4, 3, 9);
        fleet.network.tap = (from, to, topic, body) -> {
            sent.add(new Sent(from, to, topic, body));
            return true;
        };
        fleet.run(4_000);
        fleet.submit(0, 0, 1, "one");
        fleet.run(1_000);
        return fleet;
    }

    private static String state(Fleet fleet, int i) {
        Replica replica = fleet.replica(i);
        return replica.view() + " " + replica.newestEdition() + " "
                + replica.committed().edition() + " " + replica.incarnation() + " " + replica.standing();
    }

    private static double count(Fleet fleet, int i, String reason) {
        return fleet.tallies.get(i).counter(DROPPED + reason).count();
    }

    private static void replay(Fleet fleet, List<Sent> messages, DaemonAddress to, Messenger.Topic topic) {
        for (Sent m : messages) {
            if (m.to.equals(to) && m.topic == topic) {
                fleet.bag(indexOf(m.from)).send(to, topic, m.body);
            }
        }
        fleet.run(100);
    }

    private static int indexOf(DaemonAddress from) {
        for (int i = 0; i < 4; i++) {
            if (Fleet.daemonAddress(i).equals(from)) {
                return i;
            }
        }
        throw new IllegalStateException(from.toString());
    }

    @Test
    void messagesOfAnOldViewAreCountedAndDropped() throws IOException {
        Fleet fleet = recordedFleet();
        List<Sent> old = List.copyOf(sent);
        long view = fleet.replica(1).view().number();
        fleet.kill(2, false);
        fleet.run(5_000);
        fleet.submit(0, 1, 2, "two");
        fleet.run(1_000);
        assertTrue(fleet.replica(1).view().number() > view);
        String before = state(fleet, 1);
        double counted = count(fleet, 1, "old_view");
        replay(fleet, old, Fleet.daemonAddress(1), Messenger.Topic.CHAIN);
        double chain = count(fleet, 1, "old_view");
        assertTrue(chain > counted, "messages of the chain");
        replay(fleet, old, Fleet.daemonAddress(1), Messenger.Topic.VIEW);
        assertTrue(count(fleet, 1, "old_view") > chain, "messages about views");
        assertEquals(before, state(fleet, 1));
    }

    @Test
    void answersToAnEarlierIncarnationAreCountedAndDropped() throws IOException {
        Fleet fleet = recordedFleet();
        for (int life = 0; life < 2; life++) {
            fleet.kill(1, false);
            fleet.wipe(1);
            sent.clear();
            fleet.run(1_500);
            fleet.start(1, false);
            fleet.run(5_000);
            if (life == 0) {
                assertEquals(Replica.Standing.MEMBER, fleet.replica(1).standing());
            }
        }
        List<Sent> toThisLife = List.copyOf(sent);
        fleet.kill(1, false);
        fleet.wipe(1);
        fleet.run(1_500);
        fleet.start(1, false);
        double counted = count(fleet, 1, "foreign_incarnation");
        for (Sent m : toThisLife) {
            if (m.to.equals(Fleet.daemonAddress(1)) && m.topic == Messenger.Topic.VIEW) {
                fleet.bag(indexOf(m.from)).send(m.to, m.topic, m.body);
            }
        }
        fleet.run(4);
        assertTrue(count(fleet, 1, "foreign_incarnation") > counted);
        assertEquals(Replica.Standing.RECOVERING, fleet.replica(1).standing());
        fleet.run(5_000);
        assertEquals(Replica.Standing.MEMBER, fleet.replica(1).standing());
    }

    /** Takes what the parts of one controller subscribe to. */
    private static final class CapturingPost implements Messenger {
        final Map<Topic, Listener> listeners = new EnumMap<>(Topic.class);

        @Override
        public DaemonAddress self() {
            return Fleet.daemonAddress(1);
        }

        @Override
        public void send(DaemonAddress to, Topic topic, byte[] body) {
            // What is answered to damaged messages does not matter here.
        }

        @Override
        public void subscribe(Topic topic, Listener listener) {
            listeners.put(topic, listener);
        }
    }

    /** Real messages with bytes changed or cut: read whole or unreadable, and nothing else comes of them. */
    @Test
    void damagedMessagesAreUnreadableAtWorst() throws IOException {
        Fleet fleet = recordedFleet();
        fleet.kill(2, false);
        fleet.run(5_000);
        fleet.start(2, false);
        fleet.run(4_000);
        Random random = new Random(5);
        CapturingPost messenger = freshController(fleet);
        int unreadable = 0;
        for (int i = 0; i < 30_000; i++) {
            Sent m = sent.get(random.nextInt(sent.size()));
            byte[] body = m.body.clone();
            for (int n = random.nextInt(3); n >= 0; n--) {
                body[random.nextInt(body.length)] = (byte) random.nextInt(256);
            }
            if (random.nextInt(4) == 0) {
                body = java.util.Arrays.copyOf(body, random.nextInt(body.length));
            }
            try {
                messenger.listeners.get(m.topic).receive(m.from, body);
            } catch (MessagePackCodec.UnreadableException e) {
                unreadable++;
            } catch (RuntimeException e) {
                throw new AssertionError(
                        m.topic + " " + java.util.HexFormat.of().formatHex(body), e);
            }
            fleet.run(i % 10 == 0 ? 1 : 0);
        }
        assertTrue(unreadable > 5_000, unreadable + " were unreadable");
    }

    /** A machine that cannot say since when it runs. */
    private static final MachineUptime UNDATED = new MachineUptime() {
        @Override
        public String bootId() {
            return "";
        }

        @Override
        public long millis() {
            return 0;
        }
    };

    private static CapturingPost freshController(Fleet fleet) throws IOException {
        CapturingPost messenger = new CapturingPost();
        FakeDirectory disk = new FakeDirectory();
        disk.clock(fleet.almanac);
        Settings rules = new Settings(
                "n",
                "z1",
                Map.of("z1", "r"),
                Fleet.daemonAddress(1).host(),
                Map.of(),
                7000,
                7010,
                List.of(
                        Fleet.daemonAddress(0).withPort(8000),
                        Fleet.daemonAddress(1).withPort(8000),
                        Fleet.daemonAddress(2).withPort(8000)),
                true,
                "/data",
                100,
                1000,
                1500,
                0,
                java.util.Set.of(),
                new Settings.Bounds(4000, 5000, 3000, 6000, 3000, 0.2, 10_000, 60, 4000));
        ControlPlane controlPlane = new ControlPlane(
                fleet.almanac,
                messenger,
                rules,
                Fleet.daemonAddress(1).withPort(8000),
                AppendOnlyFile.open(disk, "memory", 1 << 16),
                AppendOnlyFile.open(disk, "census", 1 << 16),
                disk.executor(),
                new Metrics(),
                new java.util.Random(1),
                UNDATED);
        controlPlane.start();
        fleet.run(100);
        return messenger;
    }
}
