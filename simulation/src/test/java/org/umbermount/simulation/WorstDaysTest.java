package org.umbermount.simulation;

import java.io.IOException;
import java.util.stream.Collectors;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Plays fixed days of each profile; {@link SimulateCommand} plays others and shows what broke. */
class WorstDaysTest {
    @Test
    void cutsAndFrozenMachines() {
        hold(Profile.CUTS, 1, 15, 16);
    }

    @Test
    void operatorsInEachOthersWay() {
        hold(Profile.ORDERS, 1, 15, 16);
    }

    @Test
    void replacedMachines() {
        hold(Profile.REPLACEMENTS, 101, 25, 12);
    }

    @Test
    void hundredsOfChangesWhileOneIsAway() {
        hold(Profile.LONG, 1, 6, 4);
    }

    @Test
    void allOfIt() {
        hold(Profile.ALL, 1, 25, 16);
    }

    @Test
    void callsOverHttpAndChangesOfSingleItems() {
        hold(Profile.CALLS, 1, 10, 16);
    }

    /** On this day a storm goes on after the last event; its changes stood in the way of the one that the end asks for. */
    @Test
    void aDayDoesNotEndInItsStorm() {
        hold(Profile.ORDERS, 34, 1, 40);
    }

    @Test
    void operationsAndQuotasOfClients() {
        hold(Profile.SHARED, 1, 6, 10);
    }

    @Test
    void steppedClocksAndLateMessages() {
        hold(Profile.CLOCKS, 1, 12, 16);
    }

    private static void hold(Profile profile, long first, int count, int steps) {
        String bad = LongStream.range(first, first + count)
                .parallel()
                .mapToObj(seed -> Days.breakOf(Day.draw(seed, profile, steps)))
                .filter(why -> !why.isEmpty())
                .collect(Collectors.joining("\n"));
        assertTrue(bad.isEmpty(), bad);
    }

    /** A seed is worth nothing if it does not give the same day again. */
    @ParameterizedTest
    @CsvSource({"ALL, 12", "CALLS, 6", "SHARED, 4"})
    void aSeedGivesTheSameDayAgain(Profile profile, int steps) throws IOException {
        Day day = Day.draw(4, profile, steps);
        SimulatedCluster one = new SimulatedCluster(day);
        SimulatedCluster other = new SimulatedCluster(day);
        one.play();
        other.play();
        assertEquals(one.trace(), other.trace());
        assertEquals(one.served(), other.served());
        assertEquals(day, Day.draw(4, profile, steps).only(day.plan()));
    }
}
