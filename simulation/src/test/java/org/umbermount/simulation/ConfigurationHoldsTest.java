package org.umbermount.simulation;

import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/** Plays seeded days over registrars, delivery and lectors. More of them, and longer ones: {@link SimulateCommand}. */
class ConfigurationHoldsTest {
    private static final int SEEDS = 200;
    private static final int STEPS = 40;

    @Test
    void whatTheRulesSayOfConfigurationsHoldsOnSeededDays() throws IOException {
        StringBuilder bad = new StringBuilder();
        for (long seed = 1; seed <= SEEDS; seed++) {
            String why = play(seed, STEPS);
            if (why != null) {
                bad.append("seed ").append(seed).append(": ").append(why.lines().findFirst().orElse("")).append('\n');
            }
        }
        assertTrue(bad.isEmpty(), bad.toString());
    }

    /** The checks themselves: each of these days has to be found broken, for its own reason. */
    @Test
    void eachCheckNoticesWhatItIsFor() throws IOException {
        assertTrue(untold(SimulatedCluster::forget).contains("still has"));
        assertTrue(untold(SimulatedCluster::muteAll).contains("got no answer"));
        assertTrue(untold(SimulatedCluster::handOld).contains("went back"));
        assertTrue(untold(SimulatedCluster::deliverRefused).contains("was refused"));
        assertTrue(untold(SimulatedCluster::confirmTwice).contains("two changes"));
    }

    private static String untold(Consumer<SimulatedCluster> what) throws IOException {
        SimulatedCluster room = new SimulatedCluster(1);
        return assertThrows(SimulatedCluster.BrokenException.class, () -> room.playUntold(what)).getMessage().lines().findFirst().orElse("");
    }

    private static String play(long seed, int steps) throws IOException {
        SimulatedCluster.BrokenException broken = SimulatedCluster.breakOf(Day.draw(seed, Profile.ORDINARY, steps));
        return broken == null ? null : broken.getMessage();
    }
}
