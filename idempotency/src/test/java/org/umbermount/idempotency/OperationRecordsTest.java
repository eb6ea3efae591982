package org.umbermount.idempotency;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.umbermount.control.Fleet;
import org.umbermount.control.Replica;
import org.umbermount.kernel.Clock;
import org.umbermount.kernel.DaemonAddress;
import org.umbermount.kernel.MessagePackCodec;
import org.umbermount.kernel.Messenger;
import org.umbermount.kernel.Metrics;
import org.umbermount.kernel.Mutation;
import org.umbermount.kernel.Safeguard;
import org.umbermount.storage.SegmentedLog;
import org.umbermount.storage.testing.FakeDirectory;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Controllers that keep operation records and proxies that claim, on a fake clock, network and disks. */
class OperationRecordsTest {
    private static final int SIZE = 5;
    private static final int TOLERATED = 2;

    private final Map<Integer, OperationKeeper> desks = new HashMap<>();
    private final List<OperationClient> proxies = new ArrayList<>();
    private Fleet fleet;

    /** What a claim came to. */
    private static final class Told implements OperationClient.Outcome {
        String word;
        byte[] answer;

        @Override
        public void granted() {
            word = "granted";
        }

        @Override
        public void answered(byte[] kept) {
            word = "answered";
            answer = kept;
        }

        @Override
        public void busy() {
            word = "busy";
        }

        @Override
        public void unknown() {
            word = "unknown";
        }

        @Override
        public void unavailable() {
            word = "unavailable";
        }
    }

    private void open(long seed) throws IOException {
        fleet = new Fleet(SIZE, 3, seed, TOLERATED, this::attach);
        for (int i = 0; i < 3; i++) {
            DaemonAddress self = DaemonAddress.parse("10.9.0." + (i + 1) + ":7001");
            List<DaemonAddress> known = new ArrayList<>();
            for (int r = 0; r < SIZE; r++) {
                known.add(Fleet.daemonAddress(r));
            }
            proxies.add(new OperationClient(
                    fleet.almanac, fleet.network.bag(self), new Metrics(), new Random(seed + i), () -> known));
        }
        fleet.run(8_000);
    }

    private void attach(int i, Clock clock, Messenger bag, Replica replica, FakeDirectory disk) throws IOException {
        OperationStore book = new OperationStore();
        SegmentedLog ledger = SegmentedLog.open(disk, "loans", 2_000, (segment, body) -> {
            try {
                OperationRecord s = OperationRecord.read(body);
                switch (s.kind) {
                    case ENTER -> book.enter(s.view);
                    case CUT -> book.cut(
                            new org.umbermount.control.OperationLogPosition(s.view, s.pos, DaemonAddress.NONE));
                    default -> book.add(s);
                }
            } catch (MessagePackCodec.UnreadableException e) {
                throw new AssertionError(e);
            }
        });
        OperationKeeper desk = new OperationKeeper(
                clock, bag, replica, ledger, book, disk.executor(), TOLERATED, 600_000, 1 << 20, new Metrics());
        desks.put(i, desk);
        desk.start();
    }

    private OperationClient.Ticket claim(int proxy, String key, Told told) {
        return proxies.get(proxy).claim(OperationKey.of("t", key), false, 800, told);
    }

    private Told ask(int proxy, String key) {
        Told told = new Told();
        claim(proxy, key, told);
        fleet.run(850);
        return told;
    }

    /**
     * The head is cut off from the other controllers, but not from proxies, and two operations have moved on without it: one
     * was released, and one was claimed that the old head has never heard of. A proxy that still takes it for the head is
     * refused nothing there, and told of nothing that it is noted.
     */
    @Test
    void aHeadThatIsCutOffRefusesNothingAndNotesNothing() throws Exception {
        assertNull(leftBehind());
        assertNotNull(Mutation.without(Safeguard.OPERATION_REFUSAL_CONFIRMED, this::leftBehind));
    }

    private String leftBehind() throws IOException {
        proxies.clear();
        desks.clear();
        open(8);
        Told first = new Told();
        OperationClient.Ticket released = claim(0, "k", first);
        fleet.run(200);
        assertEquals("granted", first.word);
        DaemonAddress old = fleet.replica(0).view().head();
        for (int i = 0; i < SIZE; i++) {
            if (!Fleet.daemonAddress(i).equals(old)) {
                fleet.network.cutBoth(old, Fleet.daemonAddress(i));
            }
        }
        fleet.network.cutBoth(old, DaemonAddress.parse("10.9.0.1:7001"));
        fleet.run(4_000);
        released.close(OperationClient.End.RELEASED, new byte[0]);
        fleet.run(2_000);
        assertEquals(0, proxies.get(0).closing());
        Told noted = new Told();
        OperationClient.Ticket answered = claim(2, "m", noted);
        fleet.run(900);
        assertEquals("granted", noted.word);
        proxies.get(2).head(old);
        answered.close(OperationClient.End.ANSWERED, new byte[] {4});
        proxies.get(1).head(old);
        Told second = ask(1, "k");
        fleet.run(3_000);
        proxies.get(0).head(null);
        Told repeat = ask(0, "m");
        return second.word.equals("busy")
                ? "busy with what was released"
                : !"answered".equals(repeat.word) ? "the answer was lost: " + repeat.word : null;
    }

    @Test
    void firstTryRunsAndARepeatElsewhereGetsItsAnswer() throws IOException {
        open(1);
        Told first = new Told();
        OperationClient.Ticket ticket = claim(0, "k", first);
        fleet.run(100);
        assertEquals("granted", first.word);
        assertEquals("busy", ask(1, "k").word);
        ticket.close(OperationClient.End.ANSWERED, new byte[] {1, 2, 3});
        fleet.run(300);
        assertEquals(0, proxies.get(0).closing());
        Told repeat = ask(2, "k");
        assertEquals("answered", repeat.word);
        assertArrayEquals(new byte[] {1, 2, 3}, repeat.answer);
        assertEquals("granted", ask(1, "another").word);
    }

    @Test
    void aReleasedClaimMayBeTakenAndALostOneNever() throws IOException {
        open(2);
        Told first = new Told();
        OperationClient.Ticket ticket = claim(0, "k", first);
        fleet.run(100);
        ticket.close(OperationClient.End.RELEASED, new byte[0]);
        fleet.run(300);
        Told second = new Told();
        ticket = claim(1, "k", second);
        fleet.run(100);
        assertEquals("granted", second.word);
        ticket.close(OperationClient.End.UNKNOWN, new byte[0]);
        fleet.run(300);
        assertEquals("unknown", ask(2, "k").word);
    }

    @Test
    void nothingIsGrantedBeforeEnoughDisksHaveIt() throws IOException {
        open(3);
        List<DaemonAddress> line = fleet.replica(0).view().line(TOLERATED);
        assertEquals(3, line.size());
        int last = -1;
        for (int i = 0; i < SIZE; i++) {
            if (Fleet.daemonAddress(i).equals(line.get(2))) {
                last = i;
            }
        }
        fleet.disks.get(last).hung = true;
        Told told = new Told();
        claim(0, "k", told);
        fleet.run(500);
        assertNull(told.word);
        fleet.disks.get(last).unhang();
        fleet.run(100);
        assertEquals("granted", told.word);
    }

    @Test
    void whatWasAnsweredOutlivesALossOfPowerAndTheWipeOfTwo() throws IOException {
        open(4);
        Told first = new Told();
        OperationClient.Ticket ticket = claim(0, "k", first);
        fleet.run(100);
        ticket.close(OperationClient.End.ANSWERED, new byte[] {9});
        fleet.run(300);
        for (int i = 0; i < SIZE; i++) {
            fleet.kill(i, true);
        }
        // Two members of the line come back with nothing.
        fleet.wipe(0);
        fleet.wipe(1);
        for (int i = 0; i < SIZE; i++) {
            fleet.start(i, false);
        }
        fleet.run(12_000);
        Told repeat = ask(1, "k");
        assertEquals("answered", repeat.word);
        assertArrayEquals(new byte[] {9}, repeat.answer);
    }

    /** The head alone has a record when a view begins with it, and is gone before anyone could fetch it. */
    @Test
    void viewWhoseFirstRecordsAreLostIsFollowedByOneThatHasThem() throws IOException {
        open(5);
        DaemonAddress head = fleet.replica(0).view().head();
        int first = -1;
        for (int i = 0; i < SIZE; i++) {
            first = Fleet.daemonAddress(i).equals(head) ? i : first;
        }
        // Nobody hears the head's records, but the views' messages come through until it is gone.
        for (int i = 0; i < SIZE; i++) {
            if (i != first) {
                fleet.network.cut(head, Fleet.daemonAddress(i));
            }
        }
        Told told = new Told();
        claim(0, "k", told);
        fleet.run(60);
        fleet.network.healAll();
        fleet.kill(first, true);
        fleet.wipe(first);
        fleet.run(9_000);
        assertEquals("granted", ask(1, "k2").word);
        fleet.start(first, false);
        fleet.run(8_000);
        assertEquals("granted", ask(2, "k3").word);
    }

    /** Tries of a few keys through random losses: no key may run twice, and no answer may change. */
    @ParameterizedTest
    @ValueSource(longs = {11, 12, 13, 14, 15, 16})
    void noKeyRunsTwiceAndNoAnswerChanges(long seed) throws IOException {
        open(seed);
        Random random = new Random(seed);
        fleet.network.loss = 0.05;
        fleet.network.doubles = 0.05;
        fleet.network.jitterMs = 8;
        Map<String, String> ran = new HashMap<>();
        Set<Integer> down = new HashSet<>();
        int granted = 0;
        int repeats = 0;
        for (int step = 0; step < 700; step++) {
            String key = "k" + random.nextInt(120);
            String name = key + "/" + step;
            int proxy = random.nextInt(3);
            Told told = new Told();
            OperationClient.Ticket ticket = claim(proxy, key, told);
            fleet.run(20 + random.nextInt(120));
            if ("granted".equals(told.word)) {
                granted++;
                if (random.nextInt(4) == 0) {
                    ticket.close(OperationClient.End.RELEASED, new byte[0]);
                } else {
                    assertNull(ran.put(key, name), key + " ran twice with seed " + seed);
                    if (random.nextInt(5) > 0) {
                        ticket.close(OperationClient.End.ANSWERED, name.getBytes());
                    } else if (random.nextBoolean()) {
                        ticket.close(OperationClient.End.UNKNOWN, new byte[0]);
                    }
                }
            } else if ("answered".equals(told.word)) {
                repeats++;
                assertEquals(ran.get(key), new String(told.answer), "another answer with seed " + seed);
            } else if (told.word == null) {
                ticket.close(OperationClient.End.RELEASED, new byte[0]);
            }
            trouble(random, down);
        }
        assertTrue(granted > 20, "too little was granted to show anything: " + granted);
        assertTrue(repeats > 10, "too little was repeated to show anything: " + repeats);
    }

    private void trouble(Random random, Set<Integer> down) throws IOException {
        int which = random.nextInt(SIZE);
        switch (random.nextInt(30)) {
            case 0 -> {
                if (down.size() < TOLERATED && down.add(which)) {
                    fleet.kill(which, random.nextBoolean());
                    if (random.nextInt(3) == 0) {
                        fleet.wipe(which);
                    }
                }
            }
            case 1, 2 -> {
                for (int i : new ArrayList<>(down)) {
                    fleet.start(i, false);
                    down.remove(i);
                }
                // A returning disk counts as lost until its daemon has caught up.
                fleet.run(2_500);
            }
            case 3 -> fleet.network.cut(
                    Fleet.daemonAddress(which), Fleet.daemonAddress((which + 1 + random.nextInt(SIZE - 1)) % SIZE));
            case 4, 5 -> {
                fleet.network.healAll();
                fleet.run(600);
            }
            case 6 -> {
                if (down.isEmpty() && random.nextInt(3) == 0) {
                    for (int i = 0; i < SIZE; i++) {
                        fleet.kill(i, random.nextBoolean());
                    }
                    for (int i = 0; i < SIZE; i++) {
                        fleet.start(i, false);
                    }
                    fleet.run(4_000);
                }
            }
            default -> {}
        }
    }
}
