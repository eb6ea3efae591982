package org.umbermount.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import org.umbermount.kernel.Imprint;
import org.umbermount.kernel.testing.FakePost;

/** Cuts that may lie over each other: what one of them cuts stays cut when another ends, and holds for who comes later. */
final class NetworkCuts {
    /** Both ways, only what it sends, or only what it receives. */
    enum Way {
        BOTH, OUT, IN
    }

    /** One daemon cut off from some others. */
    record Cut(Imprint one, Way way, Predicate<Imprint> others) {
    }

    private final FakePost network;
    private final Set<Imprint> daemons = new java.util.TreeSet<>();
    private final List<Cut> cuts = new ArrayList<>();

    NetworkCuts(FakePost network) {
        this.network = network;
    }

    /** Says that a daemon is there. */
    void add(Imprint daemon) {
        if (daemons.add(daemon) && !cuts.isEmpty()) {
            apply();
        }
    }

    Cut cut(Imprint one, Way way, Predicate<Imprint> others) {
        Cut cut = new Cut(one, way, others);
        cuts.add(cut);
        apply();
        return cut;
    }

    void join(Cut cut) {
        cuts.removeIf(c -> c == cut);
        apply();
    }

    private void apply() {
        network.healAll();
        for (Cut cut : cuts) {
            for (Imprint other : daemons) {
                if (other.equals(cut.one) || !cut.others.test(other)) {
                    continue;
                }
                if (cut.way != Way.IN) {
                    network.cut(cut.one, other);
                }
                if (cut.way != Way.OUT) {
                    network.cut(other, cut.one);
                }
            }
        }
    }
}
