package org.umbermount.control;

import java.io.IOException;
import java.util.Arrays;
import org.junit.jupiter.api.Test;
import org.umbermount.kernel.MonotonicTime;
import org.umbermount.kernel.Mutation;
import org.umbermount.kernel.Safeguard;
import org.umbermount.storage.testing.FakeDirectory;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Thousands of changes, while one controller is away for some of them, and what that takes of the disk and of time. */
class LongDayTest {
    private static final int SIZE = 5;
    private static final int REWRITE_OVER = 1 << 16;
    private static final long CATCH_UP_MS = 4_000;

    private final Fleet fleet = new Fleet(SIZE, 3, 11);
    private long newest;
    private int victim = -1;
    private int other = -1;
    private int padding;
    private int changes;
    private long longestFile;
    private long mostTaken;

    LongDayTest() throws IOException {
        loseBySeed(0);
        fleet.run(9_000);
        assertEquals(SIZE, fleet.replica(0).view().electorate().size());
    }

    private void loseBySeed(long first) {
        for (int i = 0; i < SIZE; i++) {
            fleet.disks.get(i).chance(first + i);
        }
    }

    /** One change by an operator who repeats it, at one controller after the other, until it is taken. */
    private void change() throws IOException {
        long match = newest;
        long edition = ++newest;
        char[] text = new char[padding + 8];
        Arrays.fill(text, (char) ('a' + edition % 26));
        for (int tries = 0; ; tries++) {
            int at = (int) ((edition + tries) % SIZE);
            if (at == victim || at == other) {
                continue;
            }
            assertTrue(tries < 40, "edition " + edition + " is not taken");
            Fleet.Reply reply = fleet.submit(at, match, edition, new String(text) + edition);
            while (reply.verdict == null && !reply.gaveUp) {
                fleet.run(1);
            }
            if (reply.verdict != null) {
                assertEquals(Replica.Verdict.TAKEN, reply.verdict, "edition " + edition);
                changes++;
                measure();
                return;
            }
        }
    }

    private void measure() throws IOException {
        for (FakeDirectory disk : fleet.disks.values()) {
            mostTaken = Math.max(mostTaken, disk.taken());
            for (String name : disk.list()) {
                longestFile = Math.max(longestFile, disk.raw(name).length);
            }
        }
    }

    private void cut(int who) {
        for (int o = 0; o < SIZE; o++) {
            if (o != who) {
                fleet.network.cutBoth(Fleet.daemonAddress(o), Fleet.daemonAddress(who));
            }
        }
    }

    /** Another one goes and comes back, with an empty disk perhaps: the view changes, and with the disk the voters. */
    private void changeViews(int who, boolean wipe) throws IOException {
        long view = fleet.replica(who).view().number();
        other = who;
        fleet.kill(who, true);
        change();
        fleet.run(2_000);
        if (wipe) {
            fleet.wipe(who);
        }
        fleet.start(who, false);
        fleet.run(5_000);
        other = -1;
        assertEquals(Replica.Standing.MEMBER, fleet.replica(who).standing());
        assertTrue(fleet.replica(who).view().number() > view, "the view stayed");
    }

    /** The newest edition is known as committed, in the view that the others are in. */
    private boolean isCaughtUp(int who) {
        Replica replica = fleet.replica(who);
        for (int i = 0; i < SIZE; i++) {
            if (fleet.replica(i).view().number() > replica.view().number()) {
                return false;
            }
        }
        return replica.standing() == Replica.Standing.MEMBER
                && replica.committed().edition().value() >= newest;
    }

    private void away(int who, String how, int missed, int viewChanges) throws IOException {
        long view = fleet.replica(who).view().number();
        Object voters = fleet.replica(who).view().electorate();
        int before = changes;
        victim = who;
        if (how.equals("cut")) {
            cut(who);
        } else {
            fleet.kill(who, how.equals("without power"));
        }
        for (int i = 0; i < viewChanges; i++) {
            changeViews((who + 1 + i) % SIZE, i % 2 == 0);
        }
        while (changes - before < missed) {
            change();
        }
        int passed = changes - before;
        if (how.equals("cut")) {
            fleet.network.healAll();
        } else {
            fleet.start(who, false);
        }
        victim = -1;
        // The operator goes on meanwhile, with a change about every 25 ms.
        MonotonicTime back = fleet.almanac.now();
        for (int i = 1; !isCaughtUp(who) && fleet.almanac.now().since(back) <= CATCH_UP_MS; i++) {
            fleet.run(1);
            if (i % 20 == 0 && !isCaughtUp(who)) {
                change();
            }
        }
        long ms = fleet.almanac.now().since(back);
        boolean sameVoters = voters.equals(fleet.replica(who).view().electorate());
        System.out.println("away " + how + ": " + passed + " changes, "
                + (fleet.replica(who).view().number() - view) + " views, voters "
                + (sameVoters ? "as before" : "changed") + ": caught up in " + ms + " ms");
        assertTrue(ms <= CATCH_UP_MS, how + " for " + missed + ": not caught up in " + CATCH_UP_MS + " ms");
        fleet.run(Math.max(0, CATCH_UP_MS - ms));
        change();
        fleet.run(200);
        assertEquals(newest, fleet.replica(who).committed().edition().value(), "stays behind");
    }

    @Test
    void fiveThousandChangesAndOneWhoIsAwayForSomeOfThem() throws IOException {
        long began = System.nanoTime();
        away(4, "without power", 1, 0);
        away(3, "cut", 1, 0);
        away(2, "killed", 47, 0);
        away(4, "cut", 47, 1);
        away(0, "without power", 500, 2);
        away(1, "cut", 500, 3);
        away(3, "without power", 2_000, 4);
        while (changes < 5_000) {
            change();
        }
        report("long day", began);
        assertTrue(longestFile <= REWRITE_OVER, "a file of " + longestFile);
        for (int i = 0; i < SIZE; i++) {
            assertEquals(newest, fleet.replica(i).committed().edition().value());
        }
        allLosePower();
    }

    private void report(String day, long began) {
        System.out.println(day + ": " + changes + " changes, longest file " + longestFile + " bytes, most on a disk "
                + mostTaken + ", " + (System.nanoTime() - began) / 1_000_000 + " ms of real time");
    }

    private void allLosePower() throws IOException {
        for (int i = 0; i < SIZE; i++) {
            fleet.kill(i, true);
        }
        for (int i = 0; i < SIZE; i++) {
            fleet.start(i, false);
        }
        fleet.run(CATCH_UP_MS);
        for (int i = 0; i < SIZE; i++) {
            assertEquals(newest, fleet.replica(i).committed().edition().value());
        }
        change();
    }

    @Test
    void longConfigurationIsCaughtUpWithToo() throws IOException {
        long began = System.nanoTime();
        padding = 300 << 10;
        away(3, "without power", 10, 1);
        away(2, "cut", 10, 1);
        report("long configuration", began);
        allLosePower();
        // With a view change the configuration counts twice: as in force, and as accepted.
        assertTrue(longestFile <= 2 * 2 * padding + REWRITE_OVER, "a file of " + longestFile);
    }

    /** Without the sync of the folder the files of some go whole with the power, and what was taken goes with them. */
    @Test
    void lossOfPowerIsNoticedWithoutTheFoldersSync() throws Exception {
        losePowerAfterOneChange();
        assertThrows(
                AssertionError.class,
                () -> Mutation.without(Safeguard.FOLDER_SYNCED, () -> {
                    losePowerAfterOneChange();
                    return null;
                }));
    }

    private static void losePowerAfterOneChange() throws IOException {
        for (long seed = 0; seed < 100; seed += SIZE) {
            LongDayTest day = new LongDayTest();
            day.loseBySeed(seed);
            day.change();
            day.allLosePower();
        }
    }
}
