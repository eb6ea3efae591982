package org.umbermount.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import org.umbermount.kernel.DaemonAddress;
import org.umbermount.kernel.testing.FakeMessenger;

/** Cuts that may lie over each other: what one of them cuts stays cut when another ends, and holds for who comes later. */
final class NetworkCuts {
    /** Both ways, only what it sends, or only what it receives. */
    enum Way {
        BOTH,
        OUT,
        IN
    }

    /** One daemon cut off from some others. */
    record Cut(DaemonAddress one, Way way, Predicate<DaemonAddress> others) {}

    private final FakeMessenger network;
    private final Set<DaemonAddress> daemons = new java.util.TreeSet<>();
    private final List<Cut> cuts = new ArrayList<>();

    NetworkCuts(FakeMessenger network) {
        this.network = network;
    }

    /** Says that a daemon is there. */
    void add(DaemonAddress daemon) {
        if (daemons.add(daemon) && !cuts.isEmpty()) {
            apply();
        }
    }

    Cut cut(DaemonAddress one, Way way, Predicate<DaemonAddress> others) {
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
            for (DaemonAddress other : daemons) {
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
