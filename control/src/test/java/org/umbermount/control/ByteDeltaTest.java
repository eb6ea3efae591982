package org.umbermount.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.umbermount.kernel.MessagePackCodec;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

class ByteDeltaTest {
    private static ByteDelta carried(ByteDelta delta) throws MessagePackCodec.UnreadableException {
        MessagePackCodec.Writer out = MessagePackCodec.write();
        delta.write(out);
        return ByteDelta.read(MessagePackCodec.read(out.done()));
    }

    private static int length(ByteDelta delta) {
        MessagePackCodec.Writer out = MessagePackCodec.write();
        delta.write(out);
        return out.done().length;
    }

    private static byte[] items(List<String> items) {
        return ("{\"items\":[" + String.join(",", items) + "]}").getBytes();
    }

    /** Items are replaced, put in, taken out and moved about; pieces and whole texts are empty now and then. */
    @Test
    void whateverBecomesOfTheBytesTheOutcomeIsExact() throws MessagePackCodec.UnreadableException {
        Random random = new Random(5);
        for (int round = 0; round < 3_000; round++) {
            List<String> items = new ArrayList<>();
            for (int n = random.nextInt(30); n > 0; n--) {
                items.add(random.nextInt(4) == 0 ? "{}" : "{\"n\":" + random.nextInt(9) + "}");
            }
            byte[] base = random.nextInt(20) == 0 ? new byte[0] : items(items);
            for (int edits = random.nextInt(6); edits > 0 && !items.isEmpty(); edits--) {
                int at = random.nextInt(items.size());
                switch (random.nextInt(4)) {
                    case 0 -> items.set(at, "{\"other\":" + random.nextInt(9) + "}");
                    case 1 -> items.add(at, "new");
                    case 2 -> items.remove(at);
                    default -> items.add(random.nextInt(items.size()), items.remove(at));
                }
            }
            byte[] target = random.nextInt(20) == 0 ? new byte[0] : items(items);
            assertArrayEquals(target, carried(ByteDelta.between(base, target)).applyTo(base), "round " + round);
        }
    }

    @Test
    void oneItemOfManyTakesFewBytes() {
        List<String> items = new ArrayList<>();
        for (int i = 0; i < 10_000; i++) {
            items.add("{\"label\":\"r" + i + "\"}");
        }
        byte[] base = items(items);
        items.set(9_000, "{\"label\":\"changed\"}");
        items.remove(500);
        items.add(20, "{\"label\":\"new\"}");
        assertTrue(length(ByteDelta.between(base, items(items))) < 150);
    }

    @Test
    void whatDoesNotFitItsBaseMakesNothing() {
        byte[] base = "{a}{b}{c}".getBytes();
        assertNull(new ByteDelta(List.of(new ByteDelta.Step(3, 7, new byte[0]))).applyTo(base));
        assertNull(new ByteDelta(List.of(new ByteDelta.Step(-1, 2, new byte[0]))).applyTo(base));
        assertNull(new ByteDelta(List.of(new ByteDelta.Step(0, -2, new byte[0]))).applyTo(base));
        byte[] long1 = new byte[ByteDelta.LONGEST / 2];
        ByteDelta.Step all = new ByteDelta.Step(0, long1.length, new byte[0]);
        assertNull(new ByteDelta(List.of(all, all, all)).applyTo(long1));
        assertEquals(ByteDelta.LONGEST, new ByteDelta(List.of(all, all)).applyTo(long1).length);
    }

    @Test
    void whatIsCutOffOrOutOfBoundsIsNotRead() {
        MessagePackCodec.Writer out = MessagePackCodec.write();
        ByteDelta.between("{a}{b}".getBytes(), "{b}{c}".getBytes()).write(out);
        byte[] whole = out.done();
        for (int cut = 0; cut < whole.length; cut++) {
            byte[] part = java.util.Arrays.copyOf(whole, cut);
            assertThrows(MessagePackCodec.UnreadableException.class, () -> ByteDelta.read(MessagePackCodec.read(part)));
        }
        byte[] beyond = MessagePackCodec.write()
                .num(1)
                .num(0)
                .num(1L << 40)
                .bytes(new byte[0])
                .done();
        assertThrows(MessagePackCodec.UnreadableException.class, () -> ByteDelta.read(MessagePackCodec.read(beyond)));
    }
}
