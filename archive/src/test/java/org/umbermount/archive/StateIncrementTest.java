package org.umbermount.archive;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.umbermount.kernel.Edition;
import org.umbermount.kernel.Imprint;
import org.umbermount.kernel.Script;
import org.umbermount.kernel.Tally;
import org.umbermount.kernel.testing.FakeClock;
import org.umbermount.stacks.Stack;
import org.umbermount.stacks.StackRoom;
import org.umbermount.stacks.testing.FakeVault;

/** An increment makes the state that it was made for, of the one that it was made from, on the wire and on disk. */
class StateIncrementTest {
    private static final ConfigurationState FIRST = ConfigurationState.NONE.inView(2);

    private static ConfigurationState next(ConfigurationState state, Random random) {
        String text = "{\"n\":" + random.nextInt(50) + "},".repeat(random.nextInt(30)) + "{\"e\":" + random.nextInt() + "}";
        return state.take(new Edition(state.edition().value() + 1 + random.nextInt(3)), text.getBytes());
    }

    private static boolean same(ConfigurationState one, ConfigurationState other) {
        return one.view() == other.view() && one.edition().equals(other.edition())
                && one.taken().equals(other.taken()) && Arrays.equals(one.blob(), other.blob());
    }

    private static StateIncrement carried(StateIncrement increment) throws Script.UnreadableException {
        return StateIncrement.read(Script.read(increment.encoded()));
    }

    @Test
    void eachOfManyChangesIsMadeExactlyAndOfNoOtherState() throws Script.UnreadableException {
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
        ConfigurationState one = FIRST.take(new Edition(1), "c1".getBytes());
        ConfigurationState two = one.take(new Edition(2), "c2".getBytes());
        assertNull(maker.between(FIRST, two));
        assertNull(maker.between(two, one));
        assertNull(maker.between(one, one));
        assertNull(maker.between(one, two.inView(3)));
        assertNull(maker.between(FIRST.take(new Edition(1), "twin".getBytes()), two));
        assertNotNull(maker.between(one, two));
    }

    /** Two configurations under one number, taken by calls with one digest, are still told apart. */
    @Test
    void aBaseIsKnownByAllThatIsInIt() {
        Digest call = Digest.ofCall("PATCH", "p".getBytes());
        ConfigurationState one = FIRST.take(new Edition(1), "x".getBytes(), call);
        ConfigurationState twin = FIRST.take(new Edition(1), "y".getBytes(), call);
        StateIncrements increments = new StateIncrements();
        StateIncrement increment = increments.between(one, one.take(new Edition(2), "z".getBytes()));
        assertNull(increments.apply(increment, twin));
        assertNotNull(increments.apply(increment, one));
    }

    // ---- on disk ----

    /** One registrar's disk, through processes that end at any call. */
    private static final class Disk {
        final FakeClock almanac = new FakeClock();
        /** Its timers, and what waits for the disk, end with the process. */
        MortalClock clock = new MortalClock(almanac);
        final FakeVault vault;
        Stack stack;
        Memory read;
        DurableState durable;

        Disk(long seed) throws IOException, Script.UnreadableException {
            vault = new FakeVault().chance(seed);
            start();
        }

        void start() throws IOException, Script.UnreadableException {
            clock.die();
            clock = new MortalClock(almanac);
            vault.clock(clock);
            stack = Stack.open(vault, "m", 3_000);
            read = Memory.load(stack);
            StackRoom room = new StackRoom(stack, vault.executor(), clock);
            durable = new DurableState(clock, room, new Tally(), new StateIncrements(),
                    read == null ? Memory.blank(0) : read, read != null);
        }

        /** Whether the disk has taken it. */
        boolean persist(Memory next) {
            boolean[] safe = new boolean[1];
            durable.persist(next, () -> safe[0] = true);
            almanac.advance(5);
            return safe[0];
        }
    }

    private static Memory further(Memory memory, Random random) {
        return switch (random.nextInt(12)) {
            case 0 -> memory.adopt(memory.view(), memory.state().inView(memory.state().view() + 1));
            case 1 -> memory.promise(new Ballot(random.nextInt(100), Imprint.parse("10.1.0.1:7000")));
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
                Memory next = further(disk.durable.memory(), random);
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
                    assertTrue(read == null ? confirmed == null : wanted != null && same(read, wanted)
                            || possible.stream().anyMatch(p -> same(p, read)), "seed " + seed + ", change " + i);
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
        Memory memory = Memory.blank(0).withState(FIRST.take(new Edition(1), "c1".getBytes()));
        assertTrue(disk.persist(memory));
        memory = memory.withState(memory.state().take(new Edition(2), "c2".getBytes()));
        assertTrue(disk.persist(memory));
        assertEquals(1, disk.stack.additions((byte) 3).size());
        StateIncrements maker = new StateIncrements();
        ConfigurationState other = FIRST.take(new Edition(2), "other".getBytes());
        StateIncrement wrong = maker.between(other, other.take(new Edition(3), "c3".getBytes()));
        disk.stack.put(List.of(org.umbermount.stacks.Folio.addition((byte) 3, wrong.encoded())));
        Stack.DamagedException reported =
                assertThrows(Stack.DamagedException.class, () -> Memory.load(Stack.open(disk.vault, "m", 3_000)));
        assertInstanceOf(Script.UnreadableException.class, reported.getCause());
        assertTrue(reported.getMessage().contains("an increment of another state"), reported.getMessage());
    }

    /** A build that knows of no increments must not take the whole state below them for the newest. */
    @Test
    void aStateThatIncrementsMayFollowIsUnreadableToABuildThatKnowsNone() throws Exception {
        Disk disk = new Disk(1);
        assertTrue(disk.persist(Memory.blank(0).withState(FIRST.take(new Edition(1), "c1".getBytes()))));
        byte[] written = disk.stack.get((byte) 3);
        assertThrows(Script.UnreadableException.class, () -> ConfigurationState.read(Script.read(written)));
        Script.Writer former = Script.write();
        disk.durable.memory().state().write(former);
        disk.stack.put(List.of(new org.umbermount.stacks.Folio((byte) 3, former.done())));
        assertTrue(same(disk.durable.memory().state(), Memory.load(disk.stack).state()), "a former build's");
    }
}
