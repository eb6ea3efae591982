package org.umbermount.kernel.net;

import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.umbermount.kernel.DaemonAddress;
import org.umbermount.kernel.MessagePackCodec;
import org.umbermount.kernel.Messenger.Topic;
import org.umbermount.kernel.Mutation;
import org.umbermount.kernel.Safeguard;
import org.umbermount.kernel.testing.FakeClock;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

class FragmentationTest {
    private static final DaemonAddress FROM = DaemonAddress.parse("10.0.0.1:7000");
    private final FakeClock clock = new FakeClock();
    private final Fragmentation sender = new Fragmentation(clock);
    private final Fragmentation receiver = new Fragmentation(clock);

    private static byte[] noise(int n, long seed) {
        byte[] bytes = new byte[n];
        new Random(seed).nextBytes(bytes);
        return bytes;
    }

    @Test
    void longMessageIsPutTogetherInAnyOrderAndDoubled() throws MessagePackCodec.UnreadableException {
        byte[] body = noise(50_000, 1);
        List<byte[]> parts = sender.wrap(Topic.DISPATCH, body);
        Collections.shuffle(parts, new Random(2));
        Fragmentation.Whole whole = null;
        for (byte[] part : parts) {
            whole = receiver.unwrap(FROM, part.clone());
            if (whole == null) {
                assertNull(receiver.unwrap(FROM, part.clone()));
            }
        }
        assertNotNull(whole);
        assertEquals(Topic.DISPATCH, whole.topic());
        assertArrayEquals(body, whole.body());
    }

    @Test
    void messageWithALostPartNeverAppears() throws MessagePackCodec.UnreadableException {
        List<byte[]> parts = sender.wrap(Topic.DISPATCH, noise(5_000, 1));
        for (byte[] part : parts.subList(1, parts.size())) {
            assertNull(receiver.unwrap(FROM, part));
        }
    }

    @Test
    void repetitiveMessageTravelsInOnePart() throws MessagePackCodec.UnreadableException {
        byte[] body = "{\"label\":\"r\",\"upstream\":\"s\"}".repeat(400).getBytes();
        List<byte[]> parts = sender.wrap(Topic.CHAIN, body);
        assertEquals(1, parts.size());
        assertArrayEquals(body, receiver.unwrap(FROM, parts.get(0)).body());
    }

    @Test
    void foreignCutAndDamagedDatagramsAreRefused() {
        byte[] good = sender.wrap(Topic.SHUFFLE, noise(300, 1)).get(0);
        assertThrows(
                MessagePackCodec.UnreadableException.class,
                () -> receiver.unwrap(FROM, "GET / HTTP/1.1\r\n\r\n".getBytes()));
        for (int i = 0; i < good.length; i++) {
            byte[] bad = good.clone();
            bad[i] ^= 0x10;
            assertThrows(MessagePackCodec.UnreadableException.class, () -> receiver.unwrap(FROM, bad), "byte " + i);
            byte[] cut = java.util.Arrays.copyOf(good, i);
            assertThrows(MessagePackCodec.UnreadableException.class, () -> receiver.unwrap(FROM, cut), "length " + i);
        }
    }

    /** A sender that was started anew and came upon the same ids: its message and the earlier life's are not mixed. */
    private boolean mixesLives() throws MessagePackCodec.UnreadableException {
        Fragmentation earlier = new Fragmentation(clock, 1, 77);
        Fragmentation later = new Fragmentation(clock, 2, 77);
        byte[] old = noise(5_000, 3);
        byte[] fresh = noise(5_000, 4);
        List<byte[]> left = earlier.wrap(Topic.LOAN, old);
        receiver.unwrap(FROM, left.get(0));
        for (byte[] part : later.wrap(Topic.LOAN, fresh)) {
            try {
                Fragmentation.Whole whole = receiver.unwrap(FROM, part);
                if (whole != null && !java.util.Arrays.equals(whole.body(), fresh)) {
                    return true;
                }
            } catch (MessagePackCodec.UnreadableException e) {
                assertEquals(1, receiver.foreign());
            }
        }
        return false;
    }

    @Test
    void partsOfTwoLivesAreNotPutTogether() throws Exception {
        assertFalse(mixesLives());
        assertEquals(1, receiver.foreign());
        byte[] again = noise(5_000, 5);
        Fragmentation.Whole whole = null;
        for (byte[] part : new Fragmentation(clock, 2, 78).wrap(Topic.LOAN, again)) {
            whole = receiver.unwrap(FROM, part);
        }
        assertArrayEquals(again, whole.body());
        assertTrue(Mutation.without(Safeguard.PARTS_OF_ONE_LIFE, () -> new FragmentationTest().mixesLives()));
    }
}
