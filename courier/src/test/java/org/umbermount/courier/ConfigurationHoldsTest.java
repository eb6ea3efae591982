package org.umbermount.courier;

import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/**
 * Plays seeded days over registrars, delivery and lectors. More of them:
 * {@code java -cp ... org.umbermount.courier.ConfigurationHoldsTest FIRST-SEED COUNT [STEPS]}.
 */
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
        assertTrue(untold(ReadingRoom::forget).contains("still has"));
        assertTrue(untold(ReadingRoom::muteAll).contains("got no answer"));
        assertTrue(untold(ReadingRoom::handOld).contains("went back"));
        assertTrue(untold(ReadingRoom::deliverRefused).contains("was refused"));
        assertTrue(untold(ReadingRoom::confirmTwice).contains("two changes"));
    }

    private static String untold(Consumer<ReadingRoom> what) throws IOException {
        ReadingRoom room = new ReadingRoom(1);
        return assertThrows(ReadingRoom.BrokenException.class, () -> room.playUntold(what)).getMessage().lines().findFirst().orElse("");
    }

    private static String play(long seed, int steps) throws IOException {
        ReadingRoom room = new ReadingRoom(seed);
        try {
            room.play(steps);
            return null;
        } catch (ReadingRoom.BrokenException e) {
            return e.getMessage();
        }
    }

    public static void main(String[] args) throws IOException {
        long first = Long.parseLong(args[0]);
        int count = Integer.parseInt(args[1]);
        int steps = args.length > 2 ? Integer.parseInt(args[2]) : STEPS;
        int broken = 0;
        for (long seed = first; seed < first + count; seed++) {
            String why = play(seed, steps);
            if (why != null) {
                broken++;
                System.out.println("seed " + seed + ": " + (count == 1 ? why : why.lines().findFirst().orElse("")));
            }
        }
        System.out.println(count + " days from seed " + first + ", " + broken + " broken");
    }
}
