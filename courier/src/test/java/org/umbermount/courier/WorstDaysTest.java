package org.umbermount.courier;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import org.junit.jupiter.api.Test;

/** Plays fixed days of each profile; {@link Simulation} plays others and shows what broke. */
class WorstDaysTest {
    @Test
    void cutsAndFrozenMachines() throws IOException {
        hold(Profile.CUTS, 1, 15, 16);
    }

    @Test
    void operatorsInEachOthersWay() throws IOException {
        hold(Profile.ORDERS, 1, 15, 16);
    }

    @Test
    void replacedMachines() throws IOException {
        hold(Profile.REPLACEMENTS, 101, 25, 12);
    }

    @Test
    void hundredsOfChangesWhileOneIsAway() throws IOException {
        hold(Profile.LONG, 1, 6, 4);
    }

    @Test
    void allOfIt() throws IOException {
        hold(Profile.ALL, 1, 25, 16);
    }

    @Test
    void steppedClocksAndLateMessages() throws IOException {
        hold(Profile.CLOCKS, 1, 12, 16);
    }

    private static void hold(Profile profile, long first, int count, int steps) throws IOException {
        StringBuilder bad = new StringBuilder();
        for (long seed = first; seed < first + count; seed++) {
            ReadingRoom.BrokenException broken = ReadingRoom.breakOf(Day.draw(seed, profile, steps));
            if (broken != null) {
                bad.append("--seed ").append(seed).append(" --steps ").append(steps).append(" --profile ").append(profile).append(": ")
                        .append(broken.getMessage().lines().findFirst().orElse("")).append('\n');
            }
        }
        assertTrue(bad.isEmpty(), bad.toString());
    }

    /** A seed is worth nothing if it does not give the same day again. */
    @Test
    void aSeedGivesTheSameDayAgain() throws IOException {
        Day day = Day.draw(4, Profile.ALL, 12);
        ReadingRoom one = new ReadingRoom(day);
        ReadingRoom other = new ReadingRoom(day);
        one.play();
        other.play();
        assertEquals(one.trace(), other.trace());
        assertEquals(day, Day.draw(4, Profile.ALL, 12).only(day.plan()));
    }
}
