package org.umbermount.storage;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.umbermount.kernel.MessagePackCodec;
import org.umbermount.storage.testing.FakeDirectory;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** What is found in the files at a start: damage, torn tails, what came back, and what each call left. */
class DamageTest {
    private static final int SEGMENT = 60;

    private static List<String> records(StorageDirectory vault) throws IOException {
        List<String> out = new ArrayList<>();
        SegmentedLog.open(vault, "l", SEGMENT, (segment, body) -> out.add(new String(body)));
        return out;
    }

    private static SegmentedLog ledger(FakeDirectory vault) throws IOException {
        return SegmentedLog.open(vault, "l", SEGMENT, (segment, body) -> {});
    }

    private static void append(SegmentedLog ledger, String... records) throws IOException {
        ledger.append(Arrays.stream(records).map(String::getBytes).toList());
    }

    private static List<LogRecord> folio(int key, String value) {
        return List.of(new LogRecord((byte) key, value.getBytes()));
    }

    private static void flip(FakeDirectory vault, String name, int at) {
        byte[] bytes = vault.raw(name);
        bytes[at] ^= 1;
        vault.raw(name, bytes);
    }

    @Test
    void damageIsReportedWithFileAndOffsetInTheLastSegmentToo() throws IOException {
        FakeDirectory vault = new FakeDirectory();
        SegmentedLog ledger = ledger(vault);
        append(ledger, "one", "two");
        append(ledger, "three");
        byte[] good = vault.raw("l.1");
        int second = 8 + 8 + 3;
        for (int at = 0; at < good.length - 13; at++) {
            vault.raw("l.1", good);
            flip(vault, "l.1", at);
            long broken = at < 8 ? 0 : at < second ? 8 : second;
            Exception e = assertThrows(AppendOnlyFile.DamagedException.class, () -> records(vault), "byte " + at);
            assertEquals("The file l.1 is damaged at byte " + broken + ".", e.getMessage());
        }
    }

    @Test
    void damageToAStackIsReportedWithFileAndOffset() throws IOException {
        FakeDirectory vault = new FakeDirectory();
        AppendOnlyFile stack = AppendOnlyFile.open(vault, "f", 120);
        for (int i = 0; i < 20; i++) {
            stack.put(folio(1, "value " + i));
        }
        String name = vault.raw("f").length > 0 ? "f" : "f.spare";
        int length = vault.raw(name).length;
        int last = length - (8 + 5 + 8);
        assertTrue(last > 8 + 8, "one record only");
        byte[] good = vault.raw(name);
        for (int at = 0; at < last; at++) {
            vault.raw(name, good);
            flip(vault, name, at);
            Exception e = assertThrows(
                    AppendOnlyFile.DamagedException.class, () -> AppendOnlyFile.open(vault, "f", 120), "byte " + at);
            assertTrue(e.getMessage().startsWith("The file " + name + " is damaged at byte "), e.getMessage());
        }
        AppendOnlyFile.discard(vault, "f");
        assertTrue(AppendOnlyFile.open(vault, "f", 120).isEmpty());
    }

    /** The record is whole, and what it holds is not what belongs there: as after a fault of a program. */
    @Test
    void entryThatCannotBeReadIsReportedWithFileAndOffset() throws IOException {
        FakeDirectory vault = new FakeDirectory();
        AppendOnlyFile.open(vault, "f", 400)
                .put(List.of(
                        new LogRecord((byte) 1, MessagePackCodec.write().num(7).done()),
                        new LogRecord(
                                (byte) 2,
                                MessagePackCodec.write().text("no number").done())));
        AppendOnlyFile stack = AppendOnlyFile.open(vault, "f", 400);
        assertEquals(7, stack.read((byte) 1, MessagePackCodec.Reader::num));
        Exception e = assertThrows(
                AppendOnlyFile.DamagedException.class, () -> stack.read((byte) 2, MessagePackCodec.Reader::num));
        assertEquals("The file f cannot be read at byte 22: a number is missing.", e.getMessage());
        assertThrows(AppendOnlyFile.DamagedException.class, () -> stack.read((byte) 3, MessagePackCodec.Reader::num));
        append(ledger(vault), "one", "three");
        e = assertThrows(
                AppendOnlyFile.DamagedException.class,
                () -> SegmentedLog.open(vault, "l", SEGMENT, (segment, body) -> {
                    if (body.length == 5) {
                        throw new MessagePackCodec.UnreadableException("an unknown record", null);
                    }
                }));
        assertEquals("The file l.1 cannot be read at byte 19: an unknown record.", e.getMessage());
    }

    /** A rewrite is one record: if it is gone and the other file is empty, something safe was harmed. */
    @Test
    void damageToARewriteAloneIsReported() throws IOException {
        FakeDirectory vault = new FakeDirectory();
        AppendOnlyFile stack = AppendOnlyFile.open(vault, "f", 60);
        for (String name : List.of("f.spare", "f")) {
            String other = name.equals("f") ? "f.spare" : "f";
            for (int i = 0; vault.raw(other) == null || vault.raw(other).length > 0; i++) {
                stack.put(folio(1, "value " + i));
            }
            byte[] good = vault.raw(name);
            for (int length = 1; length < 40; length++) {
                vault.raw(name, Arrays.copyOf(good, length));
                assertThrows(
                        AppendOnlyFile.DamagedException.class,
                        () -> AppendOnlyFile.open(vault, "f", 60),
                        name + " cut to " + length);
            }
            vault.raw(name, good);
        }
    }

    @Test
    void syncThatWasTornInItsMiddleIsNoDamage() throws IOException {
        for (int seed = 0; seed < 300; seed++) {
            FakeDirectory vault = new FakeDirectory().chance(seed);
            append(ledger(vault), "kept");
            vault.endBeforeSync = true;
            assertThrows(
                    IOException.class, () -> append(ledger(vault), "a".repeat(40), "b".repeat(40), "c".repeat(40)));
            vault.losePower();
            List<String> read = records(vault);
            assertTrue(
                    read.equals(List.of("kept", "a".repeat(40), "b".repeat(40), "c".repeat(40))
                                    .subList(0, read.size()))
                            && !read.isEmpty(),
                    read.toString());
        }
    }

    @Test
    void segmentsOfVersionOneAreRead() throws IOException {
        FakeDirectory vault = new FakeDirectory();
        SegmentedLog ledger = ledger(vault);
        append(ledger, "one");
        byte[] bytes = vault.raw("l.1");
        bytes[7] = 1;
        vault.raw("l.1", bytes);
        append(ledger(vault), "two", "three");
        assertEquals(List.of("one", "two", "three"), records(vault));
    }

    /** Six segments, four of them removed; any of the four may come back. */
    @Test
    void removedSegmentsThatComeBackInAnyChoiceLeaveNoGap() throws IOException {
        for (int choice = 0; choice < 16; choice++) {
            FakeDirectory vault = new FakeDirectory();
            SegmentedLog ledger = ledger(vault);
            List<byte[]> files = new ArrayList<>();
            for (int i = 1; i <= 6; i++) {
                append(ledger, i + " ".repeat(60));
                files.add(vault.raw("l." + i));
            }
            ledger.dropThrough(4);
            for (int i = 1; i <= 4; i++) {
                if ((choice >> (i - 1) & 1) > 0) {
                    vault.raw("l." + i, files.get(i - 1));
                }
            }
            List<Integer> read =
                    records(vault).stream().map(r -> Integer.parseInt(r.trim())).toList();
            int first = 5;
            while (first > 1 && (choice >> (first - 2) & 1) > 0) {
                first--;
            }
            List<Integer> expected = new ArrayList<>();
            for (int i = first; i <= 6; i++) {
                expected.add(i);
            }
            assertEquals(expected, read, "came back: " + Integer.toBinaryString(choice));
            append(ledger(vault), "next");
            assertTrue(records(vault).contains("next"));
        }
    }

    /** Ends at each call of a put that rewrites, by a kill and by forty losses of power. */
    @Test
    void eachCallOfARewriteMayBeTheLast() throws IOException {
        int calls = 0;
        for (int at = 0; at <= calls; at++) {
            for (int seed = 0; seed <= 40; seed++) {
                FakeDirectory vault = new FakeDirectory().chance(seed);
                AppendOnlyFile stack = AppendOnlyFile.open(vault, "f", 200);
                stack.put(folio(2, "stays"));
                while (stack.length() + 30 <= 200) {
                    stack.put(folio(1, "a value"));
                }
                int before = vault.calls;
                vault.callsLeft = at;
                boolean done = true;
                try {
                    stack.put(folio(1, "a longer, newer value"));
                } catch (FakeDirectory.EndedException e) {
                    done = false;
                }
                calls = Math.max(calls, vault.calls - before);
                if (seed > 0) {
                    vault.losePower();
                } else {
                    vault.restart();
                }
                AppendOnlyFile again = AppendOnlyFile.open(vault, "f", 200);
                String read = new String(again.get((byte) 1));
                assertTrue(read.equals("a longer, newer value") || !done && read.equals("a value"), at + ": " + read);
                assertArrayEquals("stays".getBytes(), again.get((byte) 2));
                again.put(folio(1, "last"));
                vault.losePower();
                assertArrayEquals(
                        "last".getBytes(), AppendOnlyFile.open(vault, "f", 200).get((byte) 1));
                assertEquals(again.length(), vault.taken(), "ended at call " + at + ", seed " + seed);
            }
        }
        assertEquals(8, calls, "calls of a put that rewrites");
    }

    @Test
    void folderIsForcedForEachNewFileAndNotForEachAppend() throws IOException {
        FakeDirectory vault = new FakeDirectory();
        AppendOnlyFile stack = AppendOnlyFile.open(vault, "f", 400);
        SegmentedLog ledger = ledger(vault);
        for (int i = 0; i < 100; i++) {
            stack.put(folio(1, "value " + i));
            append(ledger, "record " + i);
        }
        int files = vault.list().size();
        assertEquals(files, vault.folderForces);
        vault.restart();
        AppendOnlyFile.open(vault, "f", 400);
        ledger(vault);
        assertEquals(files + 1, vault.folderForces);
    }

    @Test
    void realFolderIsMadeAndKeepsAStackThroughRewrites(@TempDir Path above) throws IOException {
        Path folder = above.resolve("made").resolve("here");
        AppendOnlyFile stack = AppendOnlyFile.open(new LocalDirectory(folder), "f", 400);
        for (int i = 0; i < 100; i++) {
            stack.put(folio(1, "value " + i));
        }
        assertArrayEquals(
                "value 99".getBytes(),
                AppendOnlyFile.open(new LocalDirectory(folder), "f", 400).get((byte) 1));
        assertEquals(stack.length(), Files.size(folder.resolve("f")) + Files.size(folder.resolve("f.spare")));
    }
}
