package org.umbermount.simulation;

import java.io.IOException;
import java.io.UncheckedIOException;

/** Plays days for tests; each is by itself, so that several may be played at the same time. */
final class Days {
    private Days() {}

    /** Which sentence a day breaks, with how to play it again; empty if none. */
    static String breakOf(Day day) {
        try {
            SimulatedCluster.BrokenException broken = SimulatedCluster.breakOf(day);
            return broken == null
                    ? ""
                    : "--seed " + day.seed() + " --steps " + day.events().size() + " --profile " + day.profile() + ": "
                            + broken.getMessage().lines().findFirst().orElse("");
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
