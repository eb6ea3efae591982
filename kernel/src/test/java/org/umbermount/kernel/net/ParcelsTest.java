package org.umbermount.kernel.net;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.umbermount.kernel.Imprint;
import org.umbermount.kernel.Mutation;
import org.umbermount.kernel.Postbag.Topic;
import org.umbermount.kernel.Safeguard;
import org.umbermount.kernel.Script;
import org.umbermount.kernel.testing.FakeAlmanac;

class ParcelsTest {
    private static final Imprint FROM = Imprint.parse("10.0.0.1:7000");
    private final FakeAlmanac almanac = new FakeAlmanac();
    private final Parcels sender = new Parcels(almanac);
    private final Parcels receiver = new Parcels(almanac);

    private static byte[] noise(int n, long seed) {
        byte[] bytes = new byte[n];
        new Random(seed).nextBytes(bytes);
        return bytes;
    }

    @Test
    void longMessageIsPutTogetherInAnyOrderAndDoubled() throws Script.UnreadableException {
        byte[] body = noise(50_000, 1);
        List<byte[]> parts = sender.wrap(Topic.DISPATCH, body);
        Collections.shuffle(parts, new Random(2));
        Parcels.Whole whole = null;
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
    void messageWithALostPartNeverAppears() throws Script.UnreadableException {
        List<byte[]> parts = sender.wrap(Topic.DISPATCH, noise(5_000, 1));
        for (byte[] part : parts.subList(1, parts.size())) {
            assertNull(receiver.unwrap(FROM, part));
        }
    }

    @Test
    void repetitiveMessageTravelsInOnePart() throws Script.UnreadableException {
        byte[] body = "{\"label\":\"r\",\"upstream\":\"s\"}".repeat(400).getBytes();
        List<byte[]> parts = sender.wrap(Topic.CUSTODY, body);
        assertEquals(1, parts.size());
        assertArrayEquals(body, receiver.unwrap(FROM, parts.get(0)).body());
    }

    @Test
    void foreignCutAndDamagedDatagramsAreRefused() {
        byte[] good = sender.wrap(Topic.SHUFFLE, noise(300, 1)).get(0);
        assertThrows(Script.UnreadableException.class, () -> receiver.unwrap(FROM, "GET / HTTP/1.1\r\n\r\n".getBytes()));
        for (int i = 0; i < good.length; i++) {
            byte[] bad = good.clone();
            bad[i] ^= 0x10;
            assertThrows(Script.UnreadableException.class, () -> receiver.unwrap(FROM, bad), "byte " + i);
            byte[] cut = java.util.Arrays.copyOf(good, i);
            assertThrows(Script.UnreadableException.class, () -> receiver.unwrap(FROM, cut), "length " + i);
        }
    }

    /** A sender that was started anew and came upon the same ids: its message and the earlier life's are not mixed. */
    private boolean mixesLives() throws Script.UnreadableException {
        Parcels earlier = new Parcels(almanac, 1, 77);
        Parcels later = new Parcels(almanac, 2, 77);
        byte[] old = noise(5_000, 3);
        byte[] fresh = noise(5_000, 4);
        List<byte[]> left = earlier.wrap(Topic.LOAN, old);
        receiver.unwrap(FROM, left.get(0));
        for (byte[] part : later.wrap(Topic.LOAN, fresh)) {
            try {
                Parcels.Whole whole = receiver.unwrap(FROM, part);
                if (whole != null && !java.util.Arrays.equals(whole.body(), fresh)) {
                    return true;
                }
            } catch (Script.UnreadableException e) {
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
        Parcels.Whole whole = null;
        for (byte[] part : new Parcels(almanac, 2, 78).wrap(Topic.LOAN, again)) {
            whole = receiver.unwrap(FROM, part);
        }
        assertArrayEquals(again, whole.body());
        assertTrue(Mutation.without(Safeguard.PARTS_OF_ONE_LIFE, () -> new ParcelsTest().mixesLives()));
    }
}
