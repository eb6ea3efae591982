package org.umbermount.control;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.TreeSet;
import org.umbermount.kernel.DaemonAddress;
import org.umbermount.kernel.Safeguard;

/**
 * Which view is wanted after the one in force, as a function of what is seen of the controllers. The voters are the controllers
 * that are well, 2f + 1 at least where f may be lost at once, and nine at most: whoever is gone gives its seat up, or has it
 * taken by a controller that is well where there are no seats to spare. One seat changes in one view. docs/control.md, point 3,
 * has the argument; MembershipSearchTest looks at all orders of losses, returns and arrivals.
 */
final class MembershipPlan {
    static final int LARGEST_ELECTORATE = 9;

    /** What a daemon sees of the controllers. */
    interface Sight {
        /** All controllers that are known, also those without a vote. */
        Iterable<DaemonAddress> known();

        /** Whether it is reached by a majority of the voters, can write, and stays. */
        boolean well(DaemonAddress who);

        /** Whether it has been well for long enough to be taken in. */
        boolean steady(DaemonAddress who);

        /** Whether it may still be on its way, since the one that looks has just started. */
        boolean expected(DaemonAddress who);

        /** Whether two controllers hear each other. */
        boolean linked(DaemonAddress one, DaemonAddress other);

        /** Whether it has its memory and votes, or has rebuilt it. */
        boolean hasMemory(DaemonAddress who);

        long incarnation(DaemonAddress who);

        String zone(DaemonAddress who);
    }

    /** The wanted view, why, and whether it cannot wait. */
    record Wish(View view, String why, boolean pressing) {}

    private final View now;
    private final int tolerated;
    private final Sight sight;
    private final List<Voter> electorate = new ArrayList<>();
    private final List<DaemonAddress> chain = new ArrayList<>();
    private String why;
    private boolean pressing;

    private MembershipPlan(View now, int tolerated, Sight sight) {
        this.now = now;
        this.tolerated = tolerated;
        this.sight = sight;
    }

    /**
     * @param seatsMayChange whether everyone who keeps operation records holds all of them in this view, and leases granted
     *     under earlier voters have run out
     * @return null if nothing is to be done, or nothing can be
     */
    static Wish wish(View now, int tolerated, boolean seatsMayChange, Sight sight) {
        return new MembershipPlan(now, tolerated, sight).wish(seatsMayChange);
    }

    /** Whether a voter that leaves can give its seat up before it goes. */
    static boolean hasSeatToSpare(View view, int tolerated) {
        return view.electorate().size() > leastElectorate(tolerated);
    }

    /** How many voters there have to be so that {@code tolerated} of them may be lost, with their disks too. */
    static int leastElectorate(int tolerated) {
        return 2 * tolerated + 1;
    }

    private Wish wish(boolean seatsMayChange) {
        renewIncarnations();
        keepWhoIsWell();
        DaemonAddress candidate = pressing || !seatsMayChange ? null : candidate();
        if (seatsMayChange) {
            changeOneSeat(candidate);
        }
        int least = new View(now.number() + 1, electorate, chain).leastChain(tolerated);
        if (!pressing || chain.size() < least && Safeguard.SHORT_CHAIN_FILLED.holds()) {
            // A chain that is too short cannot wait until nobody has to be dropped any more.
            takeIn(candidate);
        }
        if (!pressing && why != null) {
            // Neighbours in the chain share a zone where they can, so that records cross as few borders as possible.
            chain.sort(Comparator.comparing(sight::zone).thenComparing(Comparator.naturalOrder()));
        }
        View wanted = new View(now.number() + 1, electorate, chain);
        if (why == null || wanted.sameMembers(now) || chain.size() < least) {
            return null;
        }
        return new Wish(wanted, why, pressing);
    }

    private void renewIncarnations() {
        for (Voter f : now.electorate()) {
            long incarnation = sight.incarnation(f.daemonAddress());
            if (incarnation > f.incarnation() && sight.well(f.daemonAddress()) && sight.hasMemory(f.daemonAddress())) {
                electorate.add(new Voter(f.daemonAddress(), incarnation));
                why = f.daemonAddress() + " came back with a new memory";
            } else {
                electorate.add(f);
            }
        }
    }

    /** Members of the chain stay if they are well and hear all those before them: so everyone who looks keeps the same ones. */
    private void keepWhoIsWell() {
        for (DaemonAddress member : now.chain().stream().sorted().toList()) {
            if (sight.expected(member)) {
                continue;
            }
            if (!sight.well(member)) {
                drop(member, "is silent, leaving or cannot write");
            } else if (sight.incarnation(member) > now.fellow(member).incarnation() && !sight.hasMemory(member)) {
                drop(member, "lost its memory");
            } else if (!hearsAll(member)) {
                drop(member, "does not hear all of the chain");
            } else {
                chain.add(member);
            }
        }
        for (DaemonAddress member : now.chain()) {
            if (sight.expected(member)) {
                chain.add(member);
            }
        }
        chain.sort(Comparator.comparing(now.chain()::indexOf));
    }

    private void drop(DaemonAddress member, String cause) {
        why = member + " " + cause;
        pressing = true;
    }

    private boolean hearsAll(DaemonAddress who) {
        for (DaemonAddress other : chain) {
            if (!sight.expected(other) && !sight.linked(who, other)) {
                return false;
            }
        }
        return true;
    }

    /** A voter that is not well any more: it is not in the wanted chain. */
    private DaemonAddress gone() {
        for (Voter f : electorate) {
            if (!sight.expected(f.daemonAddress())
                    && !sight.well(f.daemonAddress())
                    && !chain.contains(f.daemonAddress())) {
                return f.daemonAddress();
            }
        }
        return null;
    }

    private void changeOneSeat(DaemonAddress candidate) {
        DaemonAddress gone = Safeguard.SEAT_GIVEN_UP.holds() ? gone() : null;
        boolean spare = electorate.size() > leastElectorate(tolerated);
        if (gone != null && spare) {
            // Also out of the line that committed last: a majority of those left still meets the rest of it.
            electorate.removeIf(f -> f.daemonAddress().equals(gone));
            why = why == null ? gone + " gives up its seat" : why + " and gives up its seat";
        } else if (candidate != null && gone != null && !now.chains(gone)) {
            electorate.removeIf(f -> f.daemonAddress().equals(gone));
            electorate.add(new Voter(candidate, sight.incarnation(candidate)));
            why = candidate + " takes the seat of " + gone;
        } else if (candidate != null && gone == null && electorate.size() < LARGEST_ELECTORATE) {
            electorate.add(new Voter(candidate, sight.incarnation(candidate)));
            why = candidate + " joins";
        }
    }

    private DaemonAddress candidate() {
        TreeSet<DaemonAddress> found = new TreeSet<>();
        for (DaemonAddress who : sight.known()) {
            if (!now.votes(who) && sight.well(who) && sight.steady(who)) {
                found.add(who);
            }
        }
        return found.isEmpty() ? null : found.first();
    }

    private void takeIn(DaemonAddress candidate) {
        for (Voter f : electorate) {
            DaemonAddress who = f.daemonAddress();
            if (!chain.contains(who)
                    && sight.well(who)
                    && sight.steady(who)
                    && hearsAll(who)
                    && (sight.hasMemory(who) || who.equals(candidate))) {
                chain.add(who);
                why = why == null ? who + " is well again" : why;
            }
        }
    }
}
