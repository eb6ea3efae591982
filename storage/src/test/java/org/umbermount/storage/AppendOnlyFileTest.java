package org.umbermount.storage;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.umbermount.storage.testing.FakeDirectory;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

class AppendOnlyFileTest {
    private static List<LogRecord> folio(int key, String value) {
        return List.of(new LogRecord((byte) key, value.getBytes()));
    }

    private static AppendOnlyFile open(StorageDirectory vault) throws IOException {
        return AppendOnlyFile.open(vault, "f", 400);
    }

    @Test
    void newestValueOfAKeyIsReadBack(@TempDir Path folder) throws IOException {
        AppendOnlyFile stack = AppendOnlyFile.open(new LocalDirectory(folder), "f", 400);
        stack.put(folio(1, "old"));
        stack.put(List.of(new LogRecord((byte) 1, "new".getBytes()), new LogRecord((byte) 2, "two".getBytes())));
        AppendOnlyFile again = AppendOnlyFile.open(new LocalDirectory(folder), "f", 400);
        assertArrayEquals("new".getBytes(), again.get((byte) 1));
        assertArrayEquals("two".getBytes(), again.get((byte) 2));
    }

    @Test
    void aPutOfNothingHarmsNothing() throws IOException {
        FakeDirectory vault = new FakeDirectory();
        AppendOnlyFile stack = open(vault);
        stack.put(folio(1, "one"));
        stack.put(List.of());
        stack.put(folio(2, "two"));
        AppendOnlyFile again = open(vault);
        assertArrayEquals("one".getBytes(), again.get((byte) 1));
        assertArrayEquals("two".getBytes(), again.get((byte) 2));
    }

    @Test
    void tornTailIsDroppedAtEveryLength() throws IOException {
        FakeDirectory vault = new FakeDirectory();
        AppendOnlyFile stack = open(vault);
        stack.put(folio(1, "kept"));
        int whole = vault.raw("f").length;
        stack.put(List.of(new LogRecord((byte) 1, "lost".getBytes()), new LogRecord((byte) 2, "lost too".getBytes())));
        byte[] full = vault.raw("f");
        for (int n = whole; n < full.length; n++) {
            vault.raw("f", Arrays.copyOf(full, n));
            AppendOnlyFile again = open(vault);
            assertArrayEquals("kept".getBytes(), again.get((byte) 1), "cut at " + n);
            assertNull(again.get((byte) 2), "cut at " + n);
            again.put(folio(3, "after"));
            assertArrayEquals("after".getBytes(), open(vault).get((byte) 3));
        }
    }

    @Test
    void damageInTheMiddleIsReported() throws IOException {
        FakeDirectory vault = new FakeDirectory();
        AppendOnlyFile stack = open(vault);
        stack.put(folio(1, "first"));
        stack.put(folio(2, "second"));
        byte[] bytes = vault.raw("f");
        bytes[AppendOnlyFile.TITLE.length + 14] ^= 1;
        vault.raw("f", bytes);
        assertThrows(AppendOnlyFile.DamagedException.class, () -> open(vault));
    }

    @Test
    void longFileIsRewrittenAndKeepsTheNewest() throws IOException {
        FakeDirectory vault = new FakeDirectory();
        AppendOnlyFile stack = open(vault);
        stack.put(folio(9, "stays"));
        for (int i = 0; i < 100; i++) {
            stack.put(folio(1, "value " + i));
        }
        assertTrue(vault.raw("f").length <= 450, "length " + vault.raw("f").length);
        assertArrayEquals("value 99".getBytes(), open(vault).get((byte) 1));
        assertArrayEquals("stays".getBytes(), open(vault).get((byte) 9));
    }

    @Test
    void refusedWriteCountsForNothingAndTheNextOneIsWhole() throws IOException {
        FakeDirectory vault = new FakeDirectory();
        AppendOnlyFile stack = open(vault);
        stack.put(folio(1, "kept"));
        vault.tearAt = 7;
        assertThrows(IOException.class, () -> stack.put(folio(1, "refused")));
        assertArrayEquals("kept".getBytes(), stack.get((byte) 1));
        assertArrayEquals("kept".getBytes(), open(vault).get((byte) 1));
        stack.put(folio(1, "next"));
        assertArrayEquals("next".getBytes(), open(vault).get((byte) 1));
    }

    /** A process that ended before its disk had confirmed a write reads it back; the next one must not rest on it unsynced. */
    @Test
    void whatIsReadAtAStartIsSafeBeforeAnythingRestsOnIt() throws IOException {
        FakeDirectory vault = new FakeDirectory();
        AppendOnlyFile stack = open(vault);
        stack.put(folio(1, "first"));
        vault.endBeforeSync = true;
        assertThrows(IOException.class, () -> stack.put(folio(1, "second")));
        assertArrayEquals("second".getBytes(), open(vault).get((byte) 1));
        vault.losePower();
        assertArrayEquals("second".getBytes(), open(vault).get((byte) 1));
    }

    @Test
    void ledgerKeepsWholeRecordsDropsATornTailAndOldSegments() throws IOException {
        FakeDirectory vault = new FakeDirectory();
        List<String> read = new java.util.ArrayList<>();
        SegmentedLog ledger = SegmentedLog.open(vault, "l", 60, (segment, body) -> read.add("never"));
        for (int i = 0; i < 8; i++) {
            ledger.append(List.of(("record " + i).getBytes(), ("and " + i).getBytes()));
        }
        assertTrue(ledger.current() > 2, "one segment only");
        vault.tearAt = 11;
        assertThrows(IOException.class, () -> ledger.append(List.of("torn".getBytes())));
        SegmentedLog.open(vault, "l", 60, (segment, body) -> read.add(new String(body)));
        assertTrue(
                read.size() == 16
                        && read.get(0).equals("record 0")
                        && read.get(15).equals("and 7"),
                read.toString());
        ledger.dropThrough(2);
        read.clear();
        SegmentedLog.open(vault, "l", 60, (segment, body) -> read.add(segment + new String(body)));
        assertTrue(
                !read.isEmpty()
                        && read.get(0).startsWith("3")
                        && read.get(read.size() - 1).endsWith("and 7"),
                read.toString());
        vault.raw("l.3", Arrays.copyOf(vault.raw("l.3"), vault.raw("l.3").length - 3));
        assertThrows(
                AppendOnlyFile.DamagedException.class, () -> SegmentedLog.open(vault, "l", 60, (segment, body) -> {}));
    }
}
