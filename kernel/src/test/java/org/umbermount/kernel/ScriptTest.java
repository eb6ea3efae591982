package org.umbermount.kernel;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Arrays;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/** Messages are MessagePack: compared here with a library of it, byte by byte and in both directions. */
class ScriptTest {
    private static final int[] LENGTHS = {0, 1, 31, 32, 255, 256, 65_535, 65_536, 70_000};

    private static long number(Random random) {
        long value = random.nextLong() >> random.nextInt(64);
        return random.nextInt(3) == 0 ? (1L << random.nextInt(63)) + random.nextInt(3) - 1 : value;
    }

    @Test
    void numbersAndFlagsAreWrittenAndReadAsByTheLibrary() throws Exception {
        Random random = new Random(7);
        for (int i = 0; i < 20_000; i++) {
            long value = i < 700 ? i - 350 : number(random);
            boolean flag = random.nextBoolean();
            byte[] ours = Script.write().num(value).flag(flag).num(-value).done();
            MessageBufferPacker theirs = MessagePack.newDefaultBufferPacker();
            theirs.packLong(value).packBoolean(flag).packLong(-value);
            assertArrayEquals(theirs.toByteArray(), ours, "number " + value);
            Script.Reader in = Script.read(ours);
            assertEquals(value, in.num());
            assertEquals(flag, in.flag());
            assertEquals(-value, in.num());
        }
    }

    @Test
    void theExtremesAreWhole() throws Exception {
        for (long value : new long[] {Long.MIN_VALUE, Long.MAX_VALUE, Integer.MIN_VALUE, Integer.MAX_VALUE, 1L << 32}) {
            byte[] ours = Script.write().num(value).done();
            assertEquals(value, MessagePack.newDefaultUnpacker(ours).unpackLong());
            assertEquals(value, Script.read(ours).num());
        }
    }

    @Test
    void textsAndBytesOfEveryLengthAreWrittenAndReadAsByTheLibrary() throws Exception {
        Random random = new Random(8);
        for (int length : LENGTHS) {
            byte[] bytes = new byte[length];
            random.nextBytes(bytes);
            StringBuilder text = new StringBuilder();
            while (text.length() < length) {
                text.append(random.nextInt(20) == 0 ? "ồ" : random.nextInt(50) == 0 ? "\uD83D\uDE00" : "a");
            }
            byte[] ours = Script.write().text(text.toString()).bytes(bytes).done();
            MessageBufferPacker theirs = MessagePack.newDefaultBufferPacker();
            theirs.packString(text.toString()).packBinaryHeader(length).writePayload(bytes);
            assertArrayEquals(theirs.toByteArray(), ours, "length " + length);
            MessageUnpacker library = MessagePack.newDefaultUnpacker(ours);
            assertEquals(text.toString(), library.unpackString());
            Script.Reader in = Script.read(ours);
            assertEquals(text.toString(), in.text());
            assertArrayEquals(bytes, in.bytes());
        }
    }

    @Test
    void whatIsCutOffAnywhereCannotBeRead() {
        byte[] whole = Script.write().num(1L << 40).text("a text of more than thirty-two characters").flag(true)
                .bytes(new byte[300]).num(-70_000).done();
        for (int n = 0; n < whole.length; n++) {
            Script.Reader in = Script.read(Arrays.copyOf(whole, n));
            assertThrows(Script.UnreadableException.class, () -> {
                in.num();
                in.text();
                in.flag();
                in.bytes();
                in.num();
            }, "cut at " + n);
        }
    }

    @Test
    void whatIsOfAnotherKindCannotBeRead() {
        Random random = new Random(9);
        assertThrows(Script.UnreadableException.class, () -> Script.read(Script.write().text("1").done()).num());
        assertThrows(Script.UnreadableException.class, () -> Script.read(Script.write().num(1).done()).text());
        assertThrows(Script.UnreadableException.class, () -> Script.read(Script.write().num(1).done()).bytes());
        assertThrows(Script.UnreadableException.class, () -> Script.read(Script.write().num(1).done()).flag());
        // A length or a number beyond what Java holds.
        assertThrows(Script.UnreadableException.class,
                () -> Script.read(new byte[] {(byte) 0xc6, -1, -1, -1, -1, 0, 0}).bytes());
        assertThrows(Script.UnreadableException.class,
                () -> Script.read(new byte[] {(byte) 0xcf, -1, 0, 0, 0, 0, 0, 0, 0}).num());
        for (int i = 0; i < 20_000; i++) {
            byte[] noise = new byte[random.nextInt(24)];
            random.nextBytes(noise);
            Script.Reader in = Script.read(noise);
            try {
                in.num();
                in.text();
                in.list(Script.Reader::bytes);
            } catch (Script.UnreadableException expected) {
                continue;
            }
        }
    }
}
