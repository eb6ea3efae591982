package org.umbermount.storage;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.umbermount.kernel.Mutation;
import org.umbermount.kernel.Safeguard;
import org.umbermount.kernel.testing.FakeClock;
import org.umbermount.storage.testing.FakeDirectory;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Stacks and ledgers through kills at every call, losses of power, full and stalled disks. */
class DurabilityTest {
    private static final int REWRITE_OVER = 600;
    private static final int SEGMENT = 300;
    private static final int SEEDS = 150;
    private static final int STEPS = 120;

    /** What a disk is played through, and what must be true of it. */
    private abstract static class Play {
        final Random random;
        final FakeDirectory vault;
        int losses;

        Play(long seed) {
            random = new Random(seed);
            vault = new FakeDirectory().chance(seed);
        }

        abstract void open() throws IOException;

        abstract void step() throws IOException;

        /** Compares what was read with what was confirmed. */
        abstract void check();

        /** What was read counts as safe from here on. */
        abstract void rely();

        void run(int steps) throws IOException {
            reopen();
            for (int i = 0; i < steps; i++) {
                trouble();
                try {
                    step();
                } catch (FakeDirectory.EndedException e) {
                    end();
                } catch (IOException e) {
                    rethrowDamage(e);
                }
                vault.full = false;
                vault.refusesAll = false;
                vault.tearAt = -1;
                if (random.nextInt(12) == 0) {
                    end();
                }
            }
            end();
        }

        private void trouble() {
            switch (random.nextInt(8)) {
                case 0, 1 -> vault.callsLeft = random.nextInt(8);
                case 2 -> vault.full = true;
                case 3 -> vault.refusesAll = true;
                case 4 -> vault.tearAt = random.nextInt(60);
                default -> vault.callsLeft = Integer.MAX_VALUE;
            }
        }

        void end() throws IOException {
            if (random.nextBoolean()) {
                vault.losePower();
                losses++;
            } else {
                vault.restart();
            }
            reopen();
        }

        /** Starts until a process gets through its start; some of them end within it. */
        private void reopen() throws IOException {
            while (true) {
                vault.callsLeft = random.nextInt(4) == 0 ? random.nextInt(4) : Integer.MAX_VALUE;
                try {
                    open();
                    check();
                    rely();
                    break;
                } catch (FakeDirectory.EndedException e) {
                    if (random.nextBoolean()) {
                        vault.losePower();
                    } else {
                        vault.restart();
                    }
                } catch (IOException e) {
                    rethrowDamage(e);
                    throw e;
                }
            }
            if (random.nextBoolean()) {
                // What a process has read at its start stays, also if it goes at once.
                vault.losePower();
                try {
                    open();
                } catch (IOException e) {
                    rethrowDamage(e);
                    throw e;
                }
                check();
            }
        }

        private static void rethrowDamage(IOException e) {
            if (e instanceof AppendOnlyFile.DamagedException) {
                throw new AssertionError("taken for damage: " + e.getMessage(), e);
            }
        }
    }

    private static final class StackPlay extends Play {
        private Map<Byte, String> confirmed = new TreeMap<>();
        /** What may be there as well: puts that were refused or cut short since the last confirmed one. */
        private final List<Map<Byte, String>> possible = new ArrayList<>();

        private AppendOnlyFile stack;
        private int puts;
        private int rewrites;
        private long longest;
        private long mostTaken;
        private long bound;

        StackPlay(long seed) {
            super(seed);
        }

        @Override
        void open() throws IOException {
            stack = AppendOnlyFile.open(vault, "f", REWRITE_OVER);
        }

        private Map<Byte, String> read() {
            Map<Byte, String> out = new TreeMap<>();
            for (byte key = 1; key < 8; key++) {
                if (stack.get(key) != null) {
                    out.put(key, new String(stack.get(key)));
                }
            }
            return out;
        }

        @Override
        void check() {
            Map<Byte, String> read = read();
            assertTrue(
                    read.equals(confirmed) || possible.contains(read),
                    () -> "read " + read + ", confirmed " + confirmed + ", possible " + possible);
        }

        @Override
        void rely() {
            confirmed = read();
            possible.clear();
        }

        /** The length of a record that holds all of it, with title and generation. */
        private static long whole(Map<Byte, String> all) {
            return 8
                    + 8
                    + 13
                    + all.values().stream().mapToLong(v -> 5 + v.length()).sum();
        }

        @Override
        void step() throws IOException {
            Map<Byte, String> next = new TreeMap<>(confirmed);
            List<LogRecord> folios = new ArrayList<>();
            int record = 16;
            for (int n = random.nextInt(3); n >= 0; n--) {
                byte key = (byte) (1 + random.nextInt(7));
                String value = "v" + puts++ + "x".repeat(random.nextInt(random.nextInt(10) == 0 ? 200 : 40));
                folios.add(new LogRecord(key, value.getBytes()));
                next.put(key, value);
                record += 5 + value.length();
            }
            possible.add(next);
            long before = stack.length();
            long whole = whole(confirmed);
            bound = Math.max(bound, Math.max(Math.max(REWRITE_OVER, 2 * whole), whole + record));
            try {
                stack.put(folios);
                confirmed = next;
                possible.clear();
                rewrites += stack.length() < before ? 1 : 0;
                longest = Math.max(longest, stack.length());
                long most = Math.max(Math.max(REWRITE_OVER, 2 * whole), whole + record);
                assertTrue(stack.length() <= most, "length " + stack.length() + " over " + most);
                assertEquals(stack.length(), vault.taken(), "more on disk than counts");
            } finally {
                mostTaken = Math.max(mostTaken, vault.taken());
                assertTrue(vault.taken() <= bound + bound / 2, "taken " + vault.taken() + " of " + bound);
                assertEquals(confirmed, read());
            }
        }
    }

    private static final class LedgerPlay extends Play {
        private List<Integer> confirmed = new ArrayList<>();
        private final List<List<Integer>> possible = new ArrayList<>();
        private final Map<Integer, Integer> segmentOf = new TreeMap<>();
        private List<Integer> read = new ArrayList<>();
        private SegmentedLog ledger;
        private int next;
        /** The first record that was not to go. */
        private int keptFrom;

        private int drops;
        private int rolls;

        LedgerPlay(long seed) {
            super(seed);
        }

        @Override
        void open() throws IOException {
            List<Integer> into = new ArrayList<>();
            read = into;
            ledger = SegmentedLog.open(vault, "l", SEGMENT, (segment, body) -> {
                int id = Integer.parseInt(new String(body).trim());
                segmentOf.put(id, segment);
                into.add(id);
            });
        }

        @Override
        void check() {
            boolean there = matches(confirmed, read);
            for (List<Integer> more : possible) {
                for (int n = 1; n <= more.size() && !there; n++) {
                    List<Integer> all = new ArrayList<>(confirmed);
                    all.addAll(more.subList(0, n));
                    there = matches(all, read);
                }
            }
            assertTrue(
                    there,
                    () -> "read " + read + ", confirmed " + confirmed + " from " + keptFrom + ", possible " + possible);
        }

        /** All that was to be kept is there, and before it only what came right before it. */
        private boolean matches(List<Integer> all, List<Integer> found) {
            long least = all.stream().filter(id -> id >= keptFrom).count();
            return found.size() >= least
                    && found.size() <= all.size()
                    && all.subList(all.size() - found.size(), all.size()).equals(found);
        }

        @Override
        void rely() {
            confirmed = new ArrayList<>(read);
            possible.clear();
        }

        @Override
        void step() throws IOException {
            if (random.nextInt(6) == 0) {
                // The last segment that holds something stays, also if a newer one has been begun.
                int last = confirmed.isEmpty() ? 0 : segmentOf.get(confirmed.get(confirmed.size() - 1));
                int through = ledger.current() - 1 - random.nextInt(3);
                int gone = Math.min(through, last - 1);
                keptFrom = Math.max(
                        keptFrom,
                        confirmed.stream()
                                .filter(id -> segmentOf.get(id) > gone)
                                .findFirst()
                                .orElse(0));
                drops++;
                ledger.dropThrough(through);
                return;
            }
            List<byte[]> batch = new ArrayList<>();
            List<Integer> ids = new ArrayList<>();
            for (int n = random.nextInt(4); n >= 0; n--) {
                ids.add(++next);
                batch.add((next + " ".repeat(random.nextInt(3) * 20)).getBytes());
            }
            possible.add(ids);
            int before = ledger.current();
            ledger.append(batch);
            rolls += ledger.current() > before ? 1 : 0;
            ids.forEach(id -> segmentOf.put(id, ledger.current()));
            confirmed.addAll(ids);
            possible.clear();
        }
    }

    private static void playStacks(int seeds) throws IOException {
        int losses = 0;
        int rewrites = 0;
        int puts = 0;
        long longest = 0;
        long taken = 0;
        for (int seed = 1; seed <= seeds; seed++) {
            StackPlay play = new StackPlay(seed);
            play.run(STEPS);
            losses += play.losses;
            rewrites += play.rewrites;
            puts += play.puts;
            longest = Math.max(longest, play.longest);
            taken = Math.max(taken, play.mostTaken);
        }
        System.out.println("stacks: " + puts + " values, " + rewrites + " rewrites, " + losses + " losses of power; "
                + "longest file " + longest + ", most on disk " + taken + ", rewritten over " + REWRITE_OVER);
        assertTrue(rewrites > seeds && losses > seeds, "hardly anything happened");
    }

    private static void playLedgers(int seeds) throws IOException {
        int losses = 0;
        int rolls = 0;
        int drops = 0;
        for (int seed = 1; seed <= seeds; seed++) {
            LedgerPlay play = new LedgerPlay(seed);
            play.run(STEPS);
            losses += play.losses;
            rolls += play.rolls;
            drops += play.drops;
        }
        System.out.println("ledgers: " + rolls + " segments, " + drops + " drops, " + losses + " losses of power");
        assertTrue(rolls > seeds && drops > seeds && losses > seeds, "hardly anything happened");
    }

    @Test
    void confirmedPutsOutliveKillsLossesOfPowerAndFullDisks() throws IOException {
        playStacks(SEEDS);
    }

    @Test
    void confirmedRecordsOutliveKillsLossesOfPowerAndFullDisks() throws IOException {
        playLedgers(SEEDS);
    }

    /** The same plays fail without the mechanism: so they would notice if it were missing. */
    @ParameterizedTest
    @EnumSource(
            value = Safeguard.class,
            names = {"FILE_SYNCED_AT_OPENING", "FOLDER_SYNCED", "REWRITTEN_BESIDE", "TORN_TAIL_DROPPED"})
    void stackPlaysNoticeWhatIsLeftOut(Safeguard one) {
        AssertionError e = assertThrows(
                AssertionError.class,
                () -> Mutation.without(one, () -> {
                    playStacks(SEEDS);
                    return null;
                }));
        System.out.println("stacks without " + one + ": " + e.getMessage());
    }

    @ParameterizedTest
    @EnumSource(
            value = Safeguard.class,
            names = {"FILE_SYNCED_AT_OPENING", "FOLDER_SYNCED", "TORN_TAIL_DROPPED"})
    void ledgerPlaysNoticeWhatIsLeftOut(Safeguard one) {
        AssertionError e = assertThrows(
                AssertionError.class,
                () -> Mutation.without(one, () -> {
                    playLedgers(SEEDS);
                    return null;
                }));
        System.out.println("ledgers without " + one + ": " + e.getMessage());
    }

    /** While the disk stalls nothing is confirmed, and what was confirmed before a kill or a loss of power stays. */
    @Test
    void stalledDiskConfirmsNothingAndLosesNothing() throws IOException {
        for (int seed = 1; seed <= 60; seed++) {
            Random random = new Random(seed);
            FakeDirectory vault = new FakeDirectory().chance(seed);
            FakeClock almanac = new FakeClock();
            vault.clock(almanac);
            DiskWriter room = new DiskWriter(AppendOnlyFile.open(vault, "f", REWRITE_OVER), vault.executor(), almanac);
            int[] confirmed = {0};
            for (int i = 1; i <= 60; i++) {
                int value = i;
                room.write(
                        List.of(new LogRecord((byte) 1, (value + " ".repeat(random.nextInt(60))).getBytes())), safe -> {
                            assertTrue(!vault.hung, "confirmed by a stalled disk");
                            confirmed[0] = safe ? value : confirmed[0];
                        });
                if (random.nextInt(20) == 0) {
                    vault.hung = true;
                } else if (vault.hung && random.nextInt(8) == 0) {
                    vault.unhang();
                }
                almanac.advance(random.nextInt(5));
                assertTrue(room.stuckMs() == 0 || !room.healthy(1));
            }
            int stood = confirmed[0];
            if (random.nextBoolean()) {
                vault.losePower();
            } else {
                vault.restart();
            }
            AppendOnlyFile again = AppendOnlyFile.open(vault, "f", REWRITE_OVER);
            int read = again.isEmpty() ? 0 : Integer.parseInt(new String(again.get((byte) 1)).trim());
            assertTrue(read >= stood && read <= 60, "read " + read + ", confirmed " + stood);
        }
    }
}
