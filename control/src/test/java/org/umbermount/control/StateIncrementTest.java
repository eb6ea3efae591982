package org.umbermount.control;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.umbermount.kernel.ConfigurationRevision;
import org.umbermount.kernel.DaemonAddress;
import org.umbermount.kernel.MessagePackCodec;
import org.umbermount.kernel.Metrics;
import org.umbermount.kernel.testing.FakeClock;
import org.umbermount.storage.AppendOnlyFile;
import org.umbermount.storage.DiskWriter;
import org.umbermount.storage.testing.FakeDirectory;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** An increment makes the state that it was made for, of the one that it was made from, on the wire and on disk. */
class StateIncrementTest {
    private static final ConfigurationState FIRST = ConfigurationState.NONE.inView(2);

    private static ConfigurationState next(ConfigurationState state, Random random) {
        String text =
                "{\"n\":" + random.nextInt(50) + "},".repeat(random.nextInt(30)) + "{\"e\":" + random.nextInt() + "}";
        return state.take(new ConfigurationRevision(state.edition().value() + 1 + random.nextInt(3)), text.getBytes());
    }

    private static boolean same(ConfigurationState one, ConfigurationState other) {
        return one.view() == other.view()
                && one.edition().equals(other.edition())
                && one.taken().equals(other.taken())
                && Arrays.equals(one.blob(), other.blob());
    }

    private static StateIncrement carried(StateIncrement increment) throws MessagePackCodec.UnreadableException {
        return StateIncrement.read(MessagePackCodec.read(increment.encoded()));
    }

    @Test
    void eachOfManyChangesIsMadeExactlyAndOfNoOtherState() throws MessagePackCodec.UnreadableException {
        Random random = new Random(1);
        StateIncrements maker = new StateIncrements();
        StateIncrements taker = new StateIncrements();
        ConfigurationState state = FIRST;
        ConfigurationState earlier = FIRST;
        for (int i = 0; i < TakenOrders.REMEMBERED + 50; i++) {
            ConfigurationState next = next(state, random);
            StateIncrement increment = carried(maker.between(state, next));
            ConfigurationState made = taker.apply(increment, state);
            assertNotNull(made, "change " + i);
            assertTrue(same(next, made), "change " + i);
            assertNull(taker.apply(increment, next));
            assertNull(taker.apply(increment, state.inView(3)));
            if (state != FIRST) {
                assertNull(taker.apply(increment, earlier));
            }
            earlier = state;
            state = next;
        }
    }

    @Test
    void whatIsNotOneOrderFurtherHasNoIncrement() {
        StateIncrements maker = new StateIncrements();
        ConfigurationState one = FIRST.take(new ConfigurationRevision(1), "c1".getBytes());
        ConfigurationState two = one.take(new ConfigurationRevision(2), "c2".getBytes());
        assertNull(maker.between(FIRST, two));
        assertNull(maker.between(two, one));
        assertNull(maker.between(one, one));
        assertNull(maker.between(one, two.inView(3)));
        assertNull(maker.between(FIRST.take(new ConfigurationRevision(1), "twin".getBytes()), two));
        assertNotNull(maker.between(one, two));
    }

    /** Two configurations under one number, taken by calls with one digest, are still told apart. */
    @Test
    void aBaseIsKnownByAllThatIsInIt() {
        Digest call = Digest.ofCall("PATCH", "p".getBytes());
        ConfigurationState one = FIRST.take(new ConfigurationRevision(1), "x".getBytes(), call);
        ConfigurationState twin = FIRST.take(new ConfigurationRevision(1), "y".getBytes(), call);
        StateIncrements increments = new StateIncrements();
        StateIncrement increment = increments.between(one, one.take(new ConfigurationRevision(2), "z".getBytes()));
        assertNull(increments.apply(increment, twin));
        assertNotNull(increments.apply(increment, one));
    }

    // ---- on disk ----

    /** One controller's disk, through processes that end at any call. */
    private static final class Disk {
        final FakeClock almanac = new FakeClock();
        /** Its timers, and what waits for the disk, end with the process. */
        MortalClock clock = new MortalClock(almanac);

        final FakeDirectory vault;
        AppendOnlyFile stack;
        ReplicaStorage read;
        DurableState durable;

        Disk(long seed) throws IOException, MessagePackCodec.UnreadableException {
            vault = new FakeDirectory().chance(seed);
            start();
        }

        void start() throws IOException, MessagePackCodec.UnreadableException {
            clock.die();
            clock = new MortalClock(almanac);
            vault.clock(clock);
            stack = AppendOnlyFile.open(vault, "m", 3_000);
            read = ReplicaStorage.load(stack);
            DiskWriter room = new DiskWriter(stack, vault.executor(), clock);
            durable = new DurableState(
                    clock,
                    room,
                    new Metrics(),
                    new StateIncrements(),
                    read == null ? ReplicaStorage.blank(0) : read,
                    read != null);
        }

        /** Whether the disk has taken it. */
        boolean persist(ReplicaStorage next) {
            boolean[] safe = new boolean[1];
            durable.persist(next, () -> safe[0] = true);
            almanac.advance(5);
            return safe[0];
        }
    }

    private static ReplicaStorage further(ReplicaStorage memory, Random random) {
        return switch (random.nextInt(12)) {
            case 0 -> memory.adopt(
                    memory.view(), memory.state().inView(memory.state().view() + 1));
            case 1 -> memory.promise(new Ballot(random.nextInt(100), DaemonAddress.parse("10.1.0.1:7000")));
            default -> memory.withState(next(memory.state(), random));
        };
    }

    @Test
    void whatIsPlayedBackIsTheStateThatWasWritten() throws Exception {
        int ends = 0;
        int additions = 0;
        for (long seed = 0; seed < 60; seed++) {
            Random random = new Random(seed);
            Disk disk = new Disk(seed);
            ConfigurationState confirmed = null;
            List<ConfigurationState> possible = new ArrayList<>();
            for (int i = 0; i < 120; i++) {
                disk.vault.callsLeft = random.nextInt(12) == 0 ? random.nextInt(6) : Integer.MAX_VALUE;
                disk.vault.full = random.nextInt(12) == 0;
                boolean ending = disk.vault.callsLeft < Integer.MAX_VALUE || random.nextInt(30) == 0;
                ReplicaStorage next = further(disk.durable.memory(), random);
                possible.add(next.state());
                if (disk.persist(next)) {
                    confirmed = next.state();
                    possible.clear();
                }
                disk.vault.full = false;
                additions = Math.max(additions, disk.stack.additions((byte) 3).size());
                if (ending) {
                    ends++;
                    if (random.nextBoolean()) {
                        disk.vault.losePower();
                    }
                    disk.start();
                    ConfigurationState read = disk.read == null ? null : disk.read.state();
                    ConfigurationState wanted = confirmed;
                    assertTrue(
                            read == null
                                    ? confirmed == null
                                    : wanted != null && same(read, wanted)
                                            || possible.stream().anyMatch(p -> same(p, read)),
                            "seed " + seed + ", change " + i);
                    confirmed = read;
                    possible.clear();
                }
            }
        }
        assertTrue(ends > 200, "ends: " + ends);
        assertTrue(additions > 20 && additions <= StateJournal.MOST_INCREMENTS, "additions: " + additions);
    }

    @Test
    void anIncrementOfAnotherStateIsReportedAndNotPlayedBack() throws Exception {
        Disk disk = new Disk(1);
        ReplicaStorage memory =
                ReplicaStorage.blank(0).withState(FIRST.take(new ConfigurationRevision(1), "c1".getBytes()));
        assertTrue(disk.persist(memory));
        memory = memory.withState(memory.state().take(new ConfigurationRevision(2), "c2".getBytes()));
        assertTrue(disk.persist(memory));
        assertEquals(1, disk.stack.additions((byte) 3).size());
        StateIncrements maker = new StateIncrements();
        ConfigurationState other = FIRST.take(new ConfigurationRevision(2), "other".getBytes());
        StateIncrement wrong = maker.between(other, other.take(new ConfigurationRevision(3), "c3".getBytes()));
        disk.stack.put(List.of(org.umbermount.storage.LogRecord.addition((byte) 3, wrong.encoded())));
        AppendOnlyFile.DamagedException reported = assertThrows(
                AppendOnlyFile.DamagedException.class,
                () -> ReplicaStorage.load(AppendOnlyFile.open(disk.vault, "m", 3_000)));
        assertInstanceOf(MessagePackCodec.UnreadableException.class, reported.getCause());
        assertTrue(reported.getMessage().contains("an increment of another state"), reported.getMessage());
    }

    /** A build that knows of no increments must not take the whole state below them for the newest. */
    @Test
    void aStateThatIncrementsMayFollowIsUnreadableToABuildThatKnowsNone() throws Exception {
        Disk disk = new Disk(1);
        assertTrue(disk.persist(
                ReplicaStorage.blank(0).withState(FIRST.take(new ConfigurationRevision(1), "c1".getBytes()))));
        byte[] written = disk.stack.get((byte) 3);
        assertThrows(
                MessagePackCodec.UnreadableException.class,
                () -> ConfigurationState.read(MessagePackCodec.read(written)));
        MessagePackCodec.Writer former = MessagePackCodec.write();
        disk.durable.memory().state().write(former);
        disk.stack.put(List.of(new org.umbermount.storage.LogRecord((byte) 3, former.done())));
        assertTrue(
                same(
                        disk.durable.memory().state(),
                        ReplicaStorage.load(disk.stack).state()),
                "a former build's");
    }
}
