package org.umbermount.control;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.umbermount.kernel.ConfigurationRevision;
import org.umbermount.kernel.DaemonAddress;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

class ChainTest {
    private static Fleet settled(long seed) throws IOException {
        Fleet fleet = new Fleet(4, 3, seed);
        fleet.run(5_000);
        return fleet;
    }

    private static void take(Fleet fleet, int at, long match, long edition) {
        Fleet.Reply reply = fleet.submit(at, match, edition, "c" + edition);
        fleet.run(900);
        assertEquals(Replica.Verdict.TAKEN, reply.verdict, "edition " + edition);
    }

    private static long editionAt(Fleet fleet, int at) {
        ConfigurationState read = fleet.read(at, 850);
        assertNotNull(read, "no reading at " + at);
        return read.edition().value();
    }

    @Test
    void fourthControllerJoinsAndAnyOneTakesAConfiguration() throws IOException {
        Fleet fleet = settled(1);
        assertEquals(4, fleet.running.get(0).replica.view().electorate().size());
        for (int i = 0; i < 4; i++) {
            take(fleet, i, i, i + 1);
            assertEquals(i + 1, editionAt(fleet, 3 - i));
        }
        for (int i = 0; i < 4; i++) {
            assertEquals(4, fleet.running.get(i).replica.committed().edition().value());
        }
    }

    @Test
    void resentConfigurationIsTakenOnceAndAStaleOneIsRefused() throws IOException {
        Fleet fleet = settled(2);
        take(fleet, 0, 0, 5);
        take(fleet, 1, 5, 9);
        Fleet.Reply again = fleet.submit(2, 0, 5, "c5");
        Fleet.Reply other = fleet.submit(2, 0, 7, "c7");
        Fleet.Reply lower = fleet.submit(3, 9, 8, "c8");
        fleet.run(900);
        assertEquals(Replica.Verdict.TAKEN, again.verdict);
        assertEquals(Replica.Verdict.STALE, other.verdict);
        assertEquals(Replica.Verdict.NOT_HIGHER, lower.verdict);
        assertEquals(9, editionAt(fleet, 0));
    }

    @Test
    void everyProcessLosesPowerAndNothingTakenIsLost() throws IOException {
        Fleet fleet = settled(3);
        take(fleet, 0, 0, 1);
        take(fleet, 0, 1, 2);
        for (int i = 0; i < 4; i++) {
            fleet.kill(i, true);
        }
        for (int i = 0; i < 4; i++) {
            fleet.start(i, false);
        }
        fleet.run(2_000);
        assertEquals(2, editionAt(fleet, 1));
    }

    @Test
    void wipedMemberReadsOthersBeforeItVotesAndServesAgain() throws IOException {
        Fleet fleet = settled(4);
        take(fleet, 0, 0, 1);
        fleet.kill(2, true);
        fleet.wipe(2);
        fleet.start(2, false);
        assertEquals(Replica.Standing.RECOVERING, fleet.running.get(2).replica.standing());
        fleet.run(6_000);
        Replica back = fleet.running.get(2).replica;
        assertEquals(Replica.Standing.MEMBER, back.standing());
        assertTrue(back.view().fellow(Fleet.daemonAddress(2)).incarnation() > 0);
        assertTrue(back.view().chains(Fleet.daemonAddress(2)));
        assertEquals(1, editionAt(fleet, 2));
    }

    @Test
    void wipedMemberAloneCannotMakeAMajority() throws IOException {
        Fleet fleet = settled(5);
        take(fleet, 0, 0, 1);
        fleet.kill(0, true);
        fleet.kill(1, true);
        fleet.kill(2, true);
        fleet.wipe(2);
        fleet.start(2, false);
        fleet.run(10_000);
        assertEquals(Replica.Standing.RECOVERING, fleet.running.get(2).replica.standing());
        assertNull(fleet.read(3, 850));
    }

    @Test
    void promisedMemberTakesNoPartInTheOlderView() throws IOException {
        Fleet fleet = settled(30);
        take(fleet, 0, 0, 1);
        Replica proposer = fleet.running.get(3).replica;
        long view = proposer.view().number();
        DaemonAddress middle = proposer.view().chain().get(1);
        proposer.sendPrepare(middle, view + 1, new Ballot(9, Fleet.daemonAddress(3)));
        fleet.run(20);
        Fleet.Reply reply = fleet.submit(0, 1, 2, "c2");
        fleet.run(400);
        assertNull(reply.verdict, "committed through a member that had promised a newer view");
        fleet.run(3_000);
        assertTrue(proposer.view().number() > view, "the view change was not finished");
        take(fleet, 2, editionAt(fleet, 2), 5);
    }

    /** A controller whose disk hangs or refuses still has proxies to send to. */
    @ParameterizedTest
    @ValueSource(strings = {"hung", "full", "slow"})
    void commitIsKnownWhereTheDiskIsInTrouble(String how) throws IOException {
        for (int victim = 0; victim < 4; victim++) {
            Fleet fleet = settled(70 + victim);
            take(fleet, 3, 0, 1);
            fleet.disks.get(victim).hung = how.equals("hung");
            fleet.disks.get(victim).full = how.equals("full");
            fleet.disks.get(victim).delayMs = how.equals("slow") ? 800 : 1;
            Fleet.Reply reply = null;
            for (int t = 0; t < 4 && (reply == null || reply.verdict == null); t++) {
                reply = fleet.submit((victim + 1) % 4, 1, 2, "c2");
                fleet.run(900);
            }
            assertEquals(Replica.Verdict.TAKEN, reply.verdict, how + " at " + victim);
            fleet.run(700);
            assertEquals(2, fleet.replica(victim).committed().edition().value(), how + " at " + victim);
        }
    }

    /** A head that was cut off and left behind knows nothing of what is newest: it may not refuse. */
    @Test
    void headThatWasLeftBehindRefusesNothing() throws IOException {
        Fleet fleet = settled(80);
        take(fleet, 0, 0, 1);
        DaemonAddress head = fleet.replica(0).view().head();
        int old = 0;
        while (!Fleet.daemonAddress(old).equals(head)) {
            old++;
        }
        for (int o = 0; o < 4; o++) {
            if (o != old) {
                fleet.network.cutBoth(head, Fleet.daemonAddress(o));
            }
        }
        fleet.run(3_000);
        take(fleet, (old + 1) % 4, 1, 2);
        assertEquals(head, fleet.replica(old).view().head(), "it knows of no newer view");
        Fleet.Reply next = fleet.submit(old, 2, 5, "c5");
        Fleet.Reply lower = fleet.submit(old, 1, 1, "other");
        fleet.run(900);
        assertNull(next.verdict);
        assertNull(lower.verdict);
        assertTrue(next.gaveUp && lower.gaveUp);
    }

    /** Word of a commit that comes after the next change has been taken up still counts. */
    @Test
    void lateWordOfACommitCountsThoughTheNextChangeIsOnItsWay() throws IOException {
        Fleet fleet = settled(81);
        take(fleet, 0, 0, 1);
        View view = fleet.replica(0).view();
        fleet.network.cut(view.tail(), view.head());
        // The head alone does not hear that edition 2 is committed; edition 3 is taken up by all but the tail.
        Fleet.Reply second = fleet.submit(1, 1, 2, "c2");
        fleet.run(60);
        assertEquals(Replica.Verdict.TAKEN, second.verdict);
        fleet.network.cut(view.chain().get(2), view.chain().get(3));
        fleet.submit(1, 2, 3, "c3");
        fleet.run(600);
        int head = 0;
        while (!Fleet.daemonAddress(head).equals(view.head())) {
            head++;
        }
        assertTrue(fleet.replica(head).committed().edition().value() >= 2, "the head has not heard of edition 2");
    }

    @Test
    void newViewStartsFromTheNewestStateAndKeepsWhatWasAccepted() {
        Voter a = new Voter(Fleet.daemonAddress(0), 0);
        Voter b = new Voter(Fleet.daemonAddress(1), 0);
        View wanted = new View(4, List.of(a, b), List.of(a.daemonAddress()));
        ConfigurationState older = ConfigurationState.NONE.inView(3).take(new ConfigurationRevision(5), new byte[] {5});
        ConfigurationState newer = older.take(new ConfigurationRevision(6), new byte[] {6});
        Replica.Promise fromA = new Replica.Promise(a, newer, Ballot.NONE, null, OperationLogPosition.NONE);
        Replica.Promise fromB = new Replica.Promise(b, older, Ballot.NONE, null, OperationLogPosition.NONE);
        for (List<Replica.Promise> order : List.of(List.of(fromA, fromB), List.of(fromB, fromA))) {
            Proposal p = ViewProposer.choose(order, wanted);
            assertEquals(6, p.base().edition().value());
            assertEquals(4, p.base().view());
            assertEquals(wanted, p.view());
        }
        Proposal low = new Proposal(new View(4, List.of(a), List.of(a.daemonAddress())), older.inView(4));
        Proposal high = new Proposal(new View(4, List.of(b), List.of(b.daemonAddress())), older.inView(4));
        Proposal kept = ViewProposer.choose(
                List.of(
                        new Replica.Promise(
                                a, newer, new Ballot(7, a.daemonAddress()), high, OperationLogPosition.NONE),
                        new Replica.Promise(
                                b, older, new Ballot(2, b.daemonAddress()), low, OperationLogPosition.NONE)),
                wanted);
        assertEquals(high, kept);
    }

    @ParameterizedTest
    @ValueSource(strings = {"hung", "full", "slow", "frozen", "cut", "one way in", "one way out"})
    void stuckMemberIsDroppedWellInsideTheBound(String how) throws IOException {
        for (int victim = 0; victim < 3; victim++) {
            Fleet fleet = settled(6 + victim);
            take(fleet, 3, 0, 1);
            var disk = fleet.disks.get(victim);
            for (int o = 0; o < 4; o++) {
                if (o != victim && (how.equals("cut") || how.equals("one way in"))) {
                    fleet.network.cut(Fleet.daemonAddress(o), Fleet.daemonAddress(victim));
                }
                if (o != victim && (how.equals("cut") || how.equals("one way out"))) {
                    fleet.network.cut(Fleet.daemonAddress(victim), Fleet.daemonAddress(o));
                }
            }
            disk.hung = how.equals("hung");
            disk.full = how.equals("full");
            disk.delayMs = how.equals("slow") ? 125 : 1;
            if (how.equals("frozen")) {
                fleet.network.down(Fleet.daemonAddress(victim));
            }
            boolean taken = false;
            for (int t = 0; t < 3 && !taken; t++) {
                Fleet.Reply reply = fleet.submit(3, 1, 2, "c2");
                fleet.run(900);
                taken = reply.verdict == Replica.Verdict.TAKEN;
            }
            assertTrue(taken, how + " at " + victim);
        }
    }

    @Test
    void memberWhoseDiskHasRoomAgainReturnsToTheChain() throws IOException {
        Fleet fleet = settled(20);
        take(fleet, 3, 0, 1);
        fleet.disks.get(1).full = true;
        fleet.submit(3, 1, 2, "c2");
        fleet.run(3_000);
        assertFalse(fleet.running.get(0).replica.view().chains(Fleet.daemonAddress(1)));
        fleet.disks.get(1).full = false;
        fleet.run(5_000);
        assertTrue(fleet.running.get(0).replica.view().chains(Fleet.daemonAddress(1)));
        assertEquals(2, editionAt(fleet, 1));
    }

    /** Random kills, wipes, cuts, full disks and losses: what was acknowledged stays, one winner for each version. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20})
    void nothingAcknowledgedIsLostInRandomTrouble(long seed) throws IOException {
        new RandomTrouble(4, 0, seed).play();
    }

    /** The same with an even and an odd electorate of which two may be lost at once. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void nothingAcknowledgedIsLostWhereTwoMayBeLost(long seed) throws IOException {
        new RandomTrouble(seed % 2 == 0 ? 6 : 7, 2, seed).play();
    }

    /** Right after an acknowledgment two lose their disks while all others lose power. */
    @ParameterizedTest
    @ValueSource(ints = {6, 7})
    void twoDisksLostWhileTheRestLosePowerTakeNothingAcknowledged(int size) throws IOException {
        for (int victim = 0; victim < size; victim++) {
            Fleet fleet = new Fleet(size, 3, 40 + victim, 2, null);
            fleet.run(9_000);
            assertEquals(size, fleet.running.get(0).replica.view().electorate().size());
            Fleet.Reply reply = fleet.submit(victim, 0, 3, "c3");
            while (reply.verdict == null && !reply.gaveUp) {
                fleet.run(1);
            }
            assertEquals(Replica.Verdict.TAKEN, reply.verdict);
            List<Integer> wiped = List.of(victim, (victim + 1 + victim % 3) % size);
            for (int i = 0; i < size; i++) {
                fleet.kill(i, true);
            }
            wiped.forEach(fleet::wipe);
            for (int i = 0; i < size; i++) {
                fleet.start(i, false);
            }
            fleet.run(12_000);
            for (int i = 0; i < size; i++) {
                assertEquals(3, editionAt(fleet, i), "at " + i + " after losing " + wiped);
            }
        }
    }

    private static final class RandomTrouble {
        private final Random random;
        private final int size;
        private final int atOnce;
        private final Fleet fleet;
        private final Map<Integer, Boolean> down = new HashMap<>();
        private final List<Integer> troubled = new ArrayList<>();
        private final Map<Long, String> winners = new HashMap<>();
        private final List<Object[]> open = new ArrayList<>();
        private long newestTaken;
        private long next = 1;

        RandomTrouble(int size, int tolerated, long seed) throws IOException {
            this.random = new Random(seed);
            this.size = size;
            this.atOnce = Math.max(1, tolerated);
            this.fleet = new Fleet(size, 3, seed * 77, tolerated, null);
        }

        void play() throws IOException {
            fleet.run(size > 4 ? 9_000 : 5_000);
            fleet.network.loss = 0.03;
            fleet.network.doubles = 0.02;
            fleet.network.jitterMs = 8;
            for (int step = 0; step < 150; step++) {
                if (troubled.size() < atOnce && random.nextInt(4) == 0) {
                    strike();
                } else if (!troubled.isEmpty() && random.nextInt(6) == 0) {
                    heal();
                    fleet.run(4_500);
                }
                change();
                fleet.run(100 + random.nextInt(1_000));
                judge();
                look();
            }
            heal();
            fleet.network.loss = 0;
            fleet.run(15_000);
            for (int i = 0; i < size; i++) {
                assertTrue(editionAt(fleet, i) >= newestTaken);
            }
            assertTrue(winners.size() > 5, "too little was taken: " + winners.size());
        }

        private void strike() {
            int victim = random.nextInt(size);
            if (troubled.contains(victim)) {
                return;
            }
            troubled.add(victim);
            switch (random.nextInt(5)) {
                case 0 -> {
                    fleet.kill(victim, true);
                    down.put(victim, random.nextBoolean());
                }
                case 1, 2 -> {
                    boolean oneWay = random.nextBoolean();
                    for (int o = 0; o < size; o++) {
                        if (o != victim && oneWay) {
                            fleet.network.cut(Fleet.daemonAddress(victim), Fleet.daemonAddress(o));
                        } else if (o != victim) {
                            fleet.network.cutBoth(Fleet.daemonAddress(o), Fleet.daemonAddress(victim));
                        }
                    }
                }
                case 3 -> fleet.disks.get(victim).full = true;
                default -> fleet.disks.get(victim).hung = true;
            }
        }

        private void heal() throws IOException {
            for (Map.Entry<Integer, Boolean> e : down.entrySet()) {
                if (e.getValue()) {
                    fleet.wipe(e.getKey());
                }
                fleet.start(e.getKey(), false);
            }
            down.clear();
            troubled.clear();
            fleet.network.healAll();
            fleet.disks.values().forEach(d -> {
                d.full = false;
                d.unhang();
            });
        }

        /** Two operators build on the same version, at two daemons. */
        private void change() {
            for (int k = 0; k < 2; k++) {
                int at = random.nextInt(size);
                if (fleet.running.containsKey(at)) {
                    long match = newestTaken;
                    long edition = next++;
                    open.add(new Object[] {match, edition, fleet.submit(at, match, edition, "c" + edition)});
                }
            }
        }

        private void judge() {
            for (Object[] o : open) {
                Fleet.Reply reply = (Fleet.Reply) o[2];
                if (reply.verdict == Replica.Verdict.TAKEN) {
                    String old = winners.put((Long) o[0], "c" + o[1]);
                    assertTrue(old == null || old.equals("c" + o[1]), "two winners on " + o[0]);
                    newestTaken = Math.max(newestTaken, (Long) o[1]);
                }
            }
        }

        /** A change without an answer may be in force: the operators look before they go on. */
        private void look() {
            int at = random.nextInt(size);
            if (fleet.running.containsKey(at)) {
                ConfigurationState read = fleet.read(at, 400);
                if (read != null) {
                    assertTrue(
                            read.edition().value() >= newestTaken,
                            "read " + read.edition() + " after " + newestTaken + " was taken");
                    newestTaken = Math.max(newestTaken, read.edition().value());
                }
            }
        }
    }

    /**
     * A tail that learns of its view from news may be handed a state that the member before it has not got yet. If it
     * committed that, a majority without both could take another change on the same version.
     */
    @Test
    void tailThatLearnsOfItsViewFromNewsCommitsOnlyWhatWasPassedToIt() throws Exception {
        org.umbermount.kernel.testing.FakeClock almanac = new org.umbermount.kernel.testing.FakeClock();
        org.umbermount.kernel.testing.FakeMessenger network =
                new org.umbermount.kernel.testing.FakeMessenger(almanac, 1);
        org.umbermount.storage.testing.FakeDirectory disk = new org.umbermount.storage.testing.FakeDirectory();
        disk.clock(almanac);
        List<Voter> voters = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            voters.add(new Voter(Fleet.daemonAddress(i), 0));
        }
        List<DaemonAddress> chain = List.of(Fleet.daemonAddress(0), Fleet.daemonAddress(1), Fleet.daemonAddress(2));
        ReplicaStorage before =
                ReplicaStorage.blank(0).adopt(new View(1, voters, chain), ConfigurationState.NONE.inView(1));
        org.umbermount.storage.DiskWriter room = new org.umbermount.storage.DiskWriter(
                org.umbermount.storage.AppendOnlyFile.open(disk, "m", 1 << 16), disk.executor(), almanac);
        Replica tail = new Replica(
                almanac,
                network.bag(Fleet.daemonAddress(2)),
                room,
                new org.umbermount.kernel.Metrics(),
                before,
                false,
                null,
                false,
                new java.util.Random(1));
        tail.start();
        View next = new View(2, voters, chain);
        ConfigurationState taken =
                ConfigurationState.NONE.inView(2).take(new ConfigurationRevision(8), "c8".getBytes());
        org.umbermount.kernel.MessagePackCodec.Writer news =
                org.umbermount.kernel.MessagePackCodec.write().num(5);
        next.write(news);
        taken.write(news);
        news.flag(false);
        ConfigurationState.NONE.write(news);
        network.bag(Fleet.daemonAddress(0))
                .send(Fleet.daemonAddress(2), org.umbermount.kernel.Messenger.Topic.VIEW, news.done());
        almanac.advance(1_000);
        assertEquals(2, tail.view().number());
        assertEquals(8, tail.newestEdition().value());
        assertEquals(0, tail.committed().edition().value());
        org.umbermount.kernel.MessagePackCodec.Writer write =
                org.umbermount.kernel.MessagePackCodec.write().num(2);
        taken.write(write);
        network.bag(Fleet.daemonAddress(1))
                .send(
                        Fleet.daemonAddress(2),
                        org.umbermount.kernel.Messenger.Topic.CHAIN,
                        write.num(0).done());
        almanac.advance(1_000);
        assertEquals(8, tail.committed().edition().value());
    }
}
