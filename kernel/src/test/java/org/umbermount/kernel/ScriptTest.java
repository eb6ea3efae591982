package org.umbermount.kernel;

import java.util.Arrays;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

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
            byte[] ours =
                    MessagePackCodec.write().num(value).flag(flag).num(-value).done();
            MessageBufferPacker theirs = MessagePack.newDefaultBufferPacker();
            theirs.packLong(value).packBoolean(flag).packLong(-value);
            assertArrayEquals(theirs.toByteArray(), ours, "number " + value);
            MessagePackCodec.Reader in = MessagePackCodec.read(ours);
            assertEquals(value, in.num());
            assertEquals(flag, in.flag());
            assertEquals(-value, in.num());
        }
    }

    @Test
    void theExtremesAreWhole() throws Exception {
        for (long value : new long[] {Long.MIN_VALUE, Long.MAX_VALUE, Integer.MIN_VALUE, Integer.MAX_VALUE, 1L << 32}) {
            byte[] ours = MessagePackCodec.write().num(value).done();
            assertEquals(value, MessagePack.newDefaultUnpacker(ours).unpackLong());
            assertEquals(value, MessagePackCodec.read(ours).num());
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
            byte[] ours =
                    MessagePackCodec.write().text(text.toString()).bytes(bytes).done();
            MessageBufferPacker theirs = MessagePack.newDefaultBufferPacker();
            theirs.packString(text.toString()).packBinaryHeader(length).writePayload(bytes);
            assertArrayEquals(theirs.toByteArray(), ours, "length " + length);
            MessageUnpacker library = MessagePack.newDefaultUnpacker(ours);
            assertEquals(text.toString(), library.unpackString());
            MessagePackCodec.Reader in = MessagePackCodec.read(ours);
            assertEquals(text.toString(), in.text());
            assertArrayEquals(bytes, in.bytes());
        }
    }

    @Test
    void whatIsCutOffAnywhereCannotBeRead() {
        byte[] whole = MessagePackCodec.write()
                .num(1L << 40)
                .text("a text of more than thirty-two characters")
                .flag(true)
                .bytes(new byte[300])
                .num(-70_000)
                .done();
        for (int n = 0; n < whole.length; n++) {
            MessagePackCodec.Reader in = MessagePackCodec.read(Arrays.copyOf(whole, n));
            assertThrows(
                    MessagePackCodec.UnreadableException.class,
                    () -> {
                        in.num();
                        in.text();
                        in.flag();
                        in.bytes();
                        in.num();
                    },
                    "cut at " + n);
        }
    }

    @Test
    void whatIsOfAnotherKindCannotBeRead() {
        Random random = new Random(9);
        assertThrows(MessagePackCodec.UnreadableException.class, () -> MessagePackCodec.read(
                        MessagePackCodec.write().text("1").done())
                .num());
        assertThrows(MessagePackCodec.UnreadableException.class, () -> MessagePackCodec.read(
                        MessagePackCodec.write().num(1).done())
                .text());
        assertThrows(MessagePackCodec.UnreadableException.class, () -> MessagePackCodec.read(
                        MessagePackCodec.write().num(1).done())
                .bytes());
        assertThrows(MessagePackCodec.UnreadableException.class, () -> MessagePackCodec.read(
                        MessagePackCodec.write().num(1).done())
                .flag());
        // A length or a number beyond what Java holds.
        assertThrows(MessagePackCodec.UnreadableException.class, () -> MessagePackCodec.read(
                        new byte[] {(byte) 0xc6, -1, -1, -1, -1, 0, 0})
                .bytes());
        assertThrows(MessagePackCodec.UnreadableException.class, () -> MessagePackCodec.read(
                        new byte[] {(byte) 0xcf, -1, 0, 0, 0, 0, 0, 0, 0})
                .num());
        for (int i = 0; i < 20_000; i++) {
            byte[] noise = new byte[random.nextInt(24)];
            random.nextBytes(noise);
            MessagePackCodec.Reader in = MessagePackCodec.read(noise);
            try {
                in.num();
                in.text();
                in.list(MessagePackCodec.Reader::bytes);
            } catch (MessagePackCodec.UnreadableException expected) {
                continue;
            }
        }
    }
}
