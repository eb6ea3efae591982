package org.umbermount.control;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.umbermount.kernel.DaemonAddress;
import org.umbermount.kernel.Mutation;
import org.umbermount.kernel.Safeguard;

import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Looks at all orders of losses, returns, arrivals, departures, commits and views that may come where {@code f} machines may be
 * lost at once, breadth first up to a number of states. A machine counts as lost while it is down, and after its return or
 * arrival until the others have had the time to come to rest; one that is gone for good counts until its successor has. In
 * every state a majority of the voters must be able to vote, and no majority may be without the newest acknowledged state.
 * Machines are alike but for what has happened to them, so states that differ in names only count as one.
 */
class MembershipSearchTest {
    private static final int UP = 1;
    private static final int GONE = 2;
    /** Its promises and its incarnation are on its disk, or rebuilt. */
    private static final int MEMORY = 4;
    /** It knows the view in force. */
    private static final int INFORMED = 8;
    /** It holds everything that was acknowledged. */
    private static final int NEWEST = 16;

    private static final int COUNTED_LOST = 32;
    private static final int VOTER = 64;
    private static final int CHAINED = 128;
    /** It came empty in the place of one that is gone, and has not had its time. */
    private static final int SUCCESSOR = 256;

    private static final int LEAVING = 512;
    private static final int ABLE = UP | VOTER | MEMORY | INFORMED;
    private static final String[] NAMES = {
        "up", "gone", "memory", "informed", "newest", "lost", "voter", "chain", "successor", "leaving"
    };

    /** What has become of each machine, sorted, and how it came to this. */
    private record State(int[] machines, String how, State before) {
        static State of(int[] machines, String how, State before) {
            Arrays.sort(machines);
            return new State(machines, how, before);
        }

        State with(int at, int machine, String what) {
            int[] next = machines.clone();
            next[at] = machine;
            return of(next, what, this);
        }

        int count(int mask, int wanted) {
            int n = 0;
            for (int m : machines) {
                n += (m & mask) == wanted ? 1 : 0;
            }
            return n;
        }

        String key() {
            char[] out = new char[machines.length];
            for (int i = 0; i < out.length; i++) {
                out[i] = (char) machines[i];
            }
            return new String(out);
        }

        String story() {
            StringBuilder out = new StringBuilder(how);
            for (State s = before; s != null; s = s.before) {
                out.insert(0, s.how + "\n");
            }
            for (int m : machines) {
                out.append("\n ");
                for (int b = 0; b < NAMES.length; b++) {
                    out.append((m & 1 << b) != 0 ? " " + NAMES[b] : "");
                }
            }
            return out.toString();
        }
    }

    private static final DaemonAddress[] ADDRESSES = new DaemonAddress[20];

    static {
        for (int i = 0; i < ADDRESSES.length; i++) {
            ADDRESSES[i] = DaemonAddress.parse("10.0.0." + (i + 10) + ":7000");
        }
    }

    private static boolean is(int machine, int mask) {
        return (machine & mask) == mask;
    }

    private static View view(State s) {
        List<Voter> voters = new ArrayList<>();
        List<DaemonAddress> chain = new ArrayList<>();
        for (int i = 0; i < s.machines.length; i++) {
            if (is(s.machines[i], VOTER)) {
                voters.add(new Voter(ADDRESSES[i], 0));
            }
            if (is(s.machines[i], CHAINED)) {
                chain.add(ADDRESSES[i]);
            }
        }
        return new View(1, voters, chain);
    }

    /** Everyone who is up sees who is. */
    private record Seen(int[] machines) implements MembershipPlan.Sight {
        private int at(DaemonAddress who) {
            return machines[(int) (who.packed() - ADDRESSES[0].packed() >> 16) % 256];
        }

        @Override
        public Iterable<DaemonAddress> known() {
            return Arrays.asList(ADDRESSES).subList(0, machines.length);
        }

        @Override
        public boolean well(DaemonAddress who) {
            return is(at(who), UP) && !is(at(who), LEAVING);
        }

        @Override
        public boolean steady(DaemonAddress who) {
            return is(at(who), UP);
        }

        @Override
        public boolean expected(DaemonAddress who) {
            return false;
        }

        @Override
        public boolean linked(DaemonAddress one, DaemonAddress other) {
            return is(at(one) & at(other), UP);
        }

        @Override
        public boolean hasMemory(DaemonAddress who) {
            return is(at(who), MEMORY);
        }

        @Override
        public long incarnation(DaemonAddress who) {
            return is(at(who), MEMORY) ? 0 : 1;
        }

        @Override
        public String zone(DaemonAddress who) {
            return "";
        }
    }

    /** The next view comes into force at those voters that are up; whoever is new in it has yet to hear of it. */
    private static State step(State s, int f, boolean seatsMayChange) {
        View now = view(s);
        if (s.count(ABLE, ABLE) < now.majority()) {
            return null;
        }
        MembershipPlan.Wish wish = MembershipPlan.wish(now, f, seatsMayChange, new Seen(s.machines));
        if (wish == null) {
            return null;
        }
        int[] next = s.machines.clone();
        for (int i = 0; i < next.length; i++) {
            boolean present = is(next[i], ABLE);
            next[i] = next[i] & ~(INFORMED | NEWEST | VOTER | CHAINED)
                    | (present ? INFORMED | NEWEST : 0)
                    | (wish.view().votes(ADDRESSES[i]) ? VOTER : 0)
                    | (wish.view().chains(ADDRESSES[i]) ? CHAINED : 0);
        }
        return State.of(next, "view because " + wish.why().replaceAll("10\\.0\\.0\\.(\\d+):7000", "$1"), s);
    }

    /** Those that are up and were left behind, or have lost their memory, come by the view from those that have it. */
    private static State inform(State s) {
        View now = view(s);
        int present = s.count(ABLE, ABLE);
        int[] next = s.machines.clone();
        boolean any = false;
        for (int i = 0; i < next.length; i++) {
            // One that lost its memory has to read so many that it meets every majority.
            boolean can = is(next[i], UP) && present >= (is(next[i], MEMORY) ? 1 : now.recoveryReads());
            if (can && !is(next[i], MEMORY | INFORMED)) {
                next[i] |= MEMORY | INFORMED | NEWEST;
                any = true;
            }
        }
        return any ? State.of(next, "those behind hear of the view", s) : null;
    }

    /** Nothing happens for as long as a machine counts as lost after its return. */
    private static State rest(State s, int f) {
        State at = s;
        for (State next = s; next != null; ) {
            at = next;
            next = inform(at);
            if (next == null) {
                next = step(at, f, true);
            }
        }
        int[] calm = at.machines.clone();
        int successors = at.count(UP | SUCCESSOR, UP | SUCCESSOR);
        for (int i = 0; i < calm.length; i++) {
            if (is(calm[i], UP)) {
                calm[i] &= ~(COUNTED_LOST | SUCCESSOR);
            } else if (is(calm[i], GONE | COUNTED_LOST) && successors > 0) {
                // One that is gone stops counting when another in its place has had its time.
                calm[i] &= ~COUNTED_LOST;
                successors--;
            }
        }
        calm = Arrays.stream(calm)
                .filter(m -> !is(m, GONE) || is(m, COUNTED_LOST) || is(m, VOTER))
                .toArray();
        return State.of(calm, "rest", at);
    }

    private static String wrong(State s) {
        View now = view(s);
        if (s.how.equals("rest") && s.count(CHAINED, CHAINED) != s.count(CHAINED | UP, CHAINED | UP)) {
            return "the chain stands still after a rest";
        }
        if (s.count(ABLE, ABLE) < now.majority()) {
            return "no majority of " + now.electorate().size() + " can vote";
        }
        if (s.count(ABLE | NEWEST, ABLE) >= now.majority()) {
            return "a majority is without the newest state";
        }
        return null;
    }

    private static List<State> after(State s, int f, int size) {
        List<State> out = new ArrayList<>();
        int lost = s.count(COUNTED_LOST, COUNTED_LOST);
        int[] ms = s.machines;
        if (s.count(CHAINED, CHAINED) == s.count(CHAINED | UP | INFORMED, CHAINED | UP | INFORMED)) {
            int[] next = ms.clone();
            for (int i = 0; i < next.length; i++) {
                next[i] = next[i] & ~NEWEST | (is(next[i], CHAINED) ? NEWEST : 0);
            }
            out.add(State.of(next, "commit", s));
        }
        State[] quiet = {step(s, f, true), step(s, f, false), inform(s), rest(s, f)};
        for (State q : quiet) {
            if (q != null) {
                out.add(q);
            }
        }
        for (int i = 0; i < ms.length; i++) {
            int m = ms[i];
            if (i > 0 && m == ms[i - 1]) {
                continue;
            }
            int seat = m & (VOTER | CHAINED) | COUNTED_LOST;
            if (is(m, UP) && (lost < f || is(m, COUNTED_LOST))) {
                out.add(s.with(i, seat | m & (MEMORY | INFORMED | NEWEST | SUCCESSOR), i + " is down"));
                out.add(s.with(i, seat | m & SUCCESSOR, i + " is down and loses its disk"));
                if (!is(m, SUCCESSOR) && !is(m, LEAVING)) {
                    out.add(s.with(i, seat | GONE, i + " is gone for good"));
                }
            } else if (!is(m, UP) && !is(m, GONE)) {
                out.add(s.with(i, m | UP, i + " is back"));
            }
            if (is(m, UP) && (m & (COUNTED_LOST | LEAVING)) == 0 && s.count(UP | LEAVING, UP) > size && lost == 0) {
                out.add(s.with(i, m | LEAVING, i + " is to leave, its successor is there"));
            } else if (is(m, UP | LEAVING) && !is(m, CHAINED) && !is(m, VOTER)) {
                out.add(s.with(i, GONE, i + " has left"));
            }
        }
        // One for each that is gone; or one more where a machine is to be replaced in order.
        boolean owed = s.count(GONE | COUNTED_LOST, GONE | COUNTED_LOST) > s.count(SUCCESSOR, SUCCESSOR);
        boolean extra = lost < f && s.count(GONE, 0) <= size && s.count(LEAVING, LEAVING) == 0;
        if (ms.length < ADDRESSES.length && (owed || extra)) {
            int[] next = Arrays.copyOf(ms, ms.length + 1);
            next[ms.length] = UP | COUNTED_LOST | (owed ? SUCCESSOR : 0);
            out.add(State.of(next, "an empty one arrives", s));
        }
        return out;
    }

    private record Found(int states, boolean all, String bad) {}

    private static Found search(int size, int f, int states) {
        int[] first = new int[size];
        Arrays.fill(first, ABLE | NEWEST | CHAINED);
        State start = State.of(first, "start", null);
        Set<String> seen = new HashSet<>(Set.of(start.key()));
        ArrayDeque<State> open = new ArrayDeque<>(List.of(start));
        while (!open.isEmpty() && seen.size() < states) {
            State s = open.poll();
            for (State next : after(s, f, size)) {
                if (seen.add(next.key())) {
                    String bad = wrong(next);
                    if (bad != null) {
                        return new Found(seen.size(), false, bad + "\n" + next.story());
                    }
                    open.add(next);
                }
            }
        }
        return new Found(seen.size(), open.isEmpty(), null);
    }

    @ParameterizedTest
    @CsvSource({
        "3,1", "4,1", "5,1", "6,1", "7,1", "8,1", "9,1", "5,2", "6,2", "7,2", "8,2", "9,2", "7,3", "8,3", "9,3", "9,4"
    })
    void majorityAndNewestStateRemainInAllOrders(int size, int f) {
        Found found = search(size, f, 30_000);
        System.out.println("membership: " + size + " voters, " + f + " lost at once: " + found.states + " states"
                + (found.all ? ", all there are" : ""));
        assertNull(found.bad, found.bad);
    }

    @Test
    void withoutGivingUpSeatsAMajorityIsLostForGood() throws Exception {
        Found found = Mutation.without(Safeguard.SEAT_GIVEN_UP, () -> search(4, 1, 30_000));
        assertNotNull(found.bad);
        assertTrue(found.bad.startsWith("no majority"), found.bad);
    }
}
