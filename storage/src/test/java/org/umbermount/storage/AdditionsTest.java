package org.umbermount.storage;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.umbermount.storage.testing.FakeDirectory;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** What is added to a value is read back with it, in order, through kills, losses of power, refusals and rewrites. */
class AdditionsTest {
    private static final byte KEY = 3;
    private static final int REWRITE_OVER = 300;

    private static List<String> read(AppendOnlyFile stack) {
        List<String> out = new ArrayList<>();
        if (stack.get(KEY) != null) {
            out.add(new String(stack.get(KEY)));
        }
        stack.additions(KEY).forEach(added -> out.add(new String(added)));
        return out;
    }

    private static List<LogRecord> whole(String value) {
        return List.of(new LogRecord(KEY, value.getBytes()));
    }

    private static List<LogRecord> added(String value) {
        return List.of(LogRecord.addition(KEY, value.getBytes()));
    }

    @Test
    void additionsFollowTheirValueAndGoWithIt() throws IOException {
        FakeDirectory vault = new FakeDirectory();
        AppendOnlyFile stack = AppendOnlyFile.open(vault, "f", REWRITE_OVER);
        stack.put(whole("a"));
        stack.put(added("b"));
        stack.put(added("c"));
        assertEquals(List.of("a", "b", "c"), read(AppendOnlyFile.open(vault, "f", REWRITE_OVER)));
        stack.put(whole("d"));
        stack.put(added("e"));
        assertEquals(List.of("d", "e"), read(stack));
        assertEquals(List.of("d", "e"), read(AppendOnlyFile.open(vault, "f", REWRITE_OVER)));
    }

    @Test
    void nothingIsAddedUnderTheStacksOwnKey() throws IOException {
        AppendOnlyFile stack = AppendOnlyFile.open(new FakeDirectory(), "f", REWRITE_OVER);
        assertThrows(IllegalArgumentException.class, () -> LogRecord.addition(AppendOnlyFile.GENERATION, new byte[1]));
        assertThrows(IllegalArgumentException.class, () -> LogRecord.addition((byte) -3, new byte[1]));
        assertThrows(IllegalArgumentException.class, () -> stack.put(List.of(new LogRecord((byte) 0x80, new byte[1]))));
    }

    @Test
    void additionsOutliveKillsLossesOfPowerAndRewrites() throws IOException {
        int rewrites = 0;
        int ends = 0;
        for (long seed = 0; seed < 100; seed++) {
            Random random = new Random(seed);
            FakeDirectory vault = new FakeDirectory().chance(seed);
            AppendOnlyFile stack = AppendOnlyFile.open(vault, "f", REWRITE_OVER);
            List<String> confirmed = new ArrayList<>();
            List<List<String>> possible = new ArrayList<>();
            for (int i = 0; i < 80; i++) {
                vault.callsLeft = random.nextInt(6) == 0 ? random.nextInt(8) : Integer.MAX_VALUE;
                vault.full = random.nextInt(10) == 0;
                boolean addition = !confirmed.isEmpty() && random.nextInt(6) != 0;
                List<String> next = new ArrayList<>(addition ? confirmed : List.of());
                String value = "v" + i + "x".repeat(random.nextInt(20));
                next.add(value);
                possible.add(next);
                long before = stack.length();
                try {
                    stack.put(addition ? added(value) : whole(value));
                    confirmed = next;
                    possible.clear();
                    rewrites += stack.length() < before ? 1 : 0;
                } catch (FakeDirectory.EndedException e) {
                    ends++;
                    if (random.nextBoolean()) {
                        vault.losePower();
                    } else {
                        vault.restart();
                    }
                    stack = AppendOnlyFile.open(vault, "f", REWRITE_OVER);
                    List<String> read = read(stack);
                    assertTrue(
                            read.equals(confirmed) || possible.contains(read),
                            "seed " + seed + ": read " + read + ", confirmed " + confirmed + ", possible " + possible);
                    confirmed = read;
                    possible.clear();
                } catch (IOException refused) {
                    assertEquals(confirmed, read(stack));
                }
                vault.full = false;
            }
        }
        assertTrue(rewrites > 100 && ends > 100, rewrites + " rewrites, " + ends + " ends");
    }
}
