package org.umbermount.simulation;

import java.io.IOException;
import java.util.List;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Plays seeded days over controllers, delivery and proxies. More of them, and longer ones: {@link SimulateCommand}. */
class ConfigurationHoldsTest {
    private static final int SEEDS = 200;
    private static final int STEPS = 40;

    @Test
    void whatTheRulesSayOfConfigurationsHoldsOnSeededDays() throws IOException {
        String bad = LongStream.rangeClosed(1, SEEDS)
                .parallel()
                .mapToObj(seed -> Days.breakOf(Day.draw(seed, Profile.ORDINARY, STEPS)))
                .filter(why -> !why.isEmpty())
                .collect(Collectors.joining("\n"));
        assertTrue(bad.isEmpty(), bad);
    }

    /** The checks themselves: each of these days has to be found broken, for its own reason. */
    @Test
    void eachCheckNoticesWhatItIsFor() throws IOException {
        assertTrue(untold(Sabotage::forget).contains("still has"));
        assertTrue(untold(Sabotage::muteAll).contains("got no answer"));
        assertTrue(untold(Sabotage::handOld).contains("went back"));
        assertTrue(untold(Sabotage::deliverRefused).contains("was refused"));
        assertTrue(untold(Sabotage::confirmTwice).contains("two changes"));
        assertTrue(untold(Sabotage::deliverUnordered).contains("nobody ordered"));
        assertTrue(untold(Sabotage::takeMalformed).contains("was answered with status 200"));
    }

    @Test
    void eachCheckOfServersNoticesWhatItIsFor() throws IOException {
        Day day = new Day(1, Profile.CALLS, List.of());
        assertTrue(untold(day, Sabotage::goOnSending).contains("still sends to"));
        assertTrue(untold(day, Sabotage::forgetServer).contains("does not know"));
    }

    @Test
    void eachCheckOfClientsNoticesWhatItIsFor() throws IOException {
        Day day = new Day(1, Profile.SHARED, List.of());
        assertTrue(untold(day, Sabotage::runTwice).contains("runs twice"));
        assertTrue(untold(day, Sabotage::answerOtherwise).contains("was answered with another run"));
        assertTrue(untold(day, Sabotage::loseAnswer).contains("was noted, and a later try is told"));
        assertTrue(untold(day, Sabotage::allowAll).contains("quota was exceeded"));
        assertTrue(untold(day, Sabotage::serveNobody).contains("clients get nothing in calm"));
    }

    private static String untold(Consumer<SimulatedCluster> what) throws IOException {
        return untold(new Day(1, Profile.ORDINARY, List.of()), what);
    }

    private static String untold(Day day, Consumer<SimulatedCluster> what) throws IOException {
        SimulatedCluster cluster = new SimulatedCluster(day);
        return assertThrows(SimulatedCluster.BrokenException.class, () -> cluster.playUntold(what))
                .getMessage()
                .lines()
                .findFirst()
                .orElse("");
    }
}
