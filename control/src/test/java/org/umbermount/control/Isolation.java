package org.umbermount.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/** Ways in which a part of the controllers loses the others, for a while. */
public enum Isolation {
    BOTH_WAYS,
    OUTWARD,
    INWARD,
    FROM_SOME,
    WITH_A_SEED,
    FROZEN;

    /** Who is on the side that is cut off: the one, and with a seed the lowest other seed as well. */
    public Set<Integer> side(int one) {
        Set<Integer> side = new TreeSet<>(List.of(one));
        if (this == WITH_A_SEED) {
            side.add(one == 0 ? 1 : 0);
        }
        return side;
    }

    /** Begins; in a fleet of this size. What is returned ends it. */
    public Runnable begin(Fleet fleet, int size, int one) {
        if (this == FROZEN) {
            fleet.freeze(one);
            return () -> fleet.thaw(one);
        }
        List<Runnable> joins = new ArrayList<>();
        Set<Integer> side = side(one);
        int spared = this == FROM_SOME ? (one + 1) % size : -1;
        for (int in : side) {
            for (int out = 0; out < size; out++) {
                if (side.contains(out) || out == spared) {
                    continue;
                }
                int other = out;
                if (this != INWARD) {
                    fleet.network.cut(Fleet.daemonAddress(in), Fleet.daemonAddress(other));
                }
                if (this != OUTWARD) {
                    fleet.network.cut(Fleet.daemonAddress(other), Fleet.daemonAddress(in));
                }
                joins.add(() -> {
                    fleet.network.join(Fleet.daemonAddress(in), Fleet.daemonAddress(other));
                    fleet.network.join(Fleet.daemonAddress(other), Fleet.daemonAddress(in));
                });
            }
        }
        return () -> joins.forEach(Runnable::run);
    }
}
