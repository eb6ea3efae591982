package org.umbermount.circulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import org.junit.jupiter.api.Test;

class PressureTest {
    private final Random random = new Random(7);

    @Test
    void nothingIsTurnedAwayWhileSlotsAreLeftOrQueuesAreShort() {
        for (double ratio = 0; ratio < 1.2; ratio += 0.01) {
            assertEquals(0, Pressure.turnedAway(ratio));
            assertFalse(Pressure.turnsAway(ratio, random));
        }
        assertFalse(Pressure.busy(0.7));
        assertTrue(Pressure.busy(1.0));
    }

    @Test
    void partTurnedAwayGrowsWithTheQueuesAndSomeAreAlwaysTaken() {
        double before = 0;
        for (double ratio = 1.25; ratio < 4; ratio += 0.05) {
            double part = Pressure.turnedAway(ratio);
            assertTrue(part > before || part == 0.9, "at " + ratio);
            before = part;
        }
        int away = 0;
        for (int i = 0; i < 10_000; i++) {
            away += Pressure.turnsAway(1.5, random) ? 1 : 0;
        }
        assertEquals(0.5, away / 10_000.0, 0.03);
        assertEquals(0.9, Pressure.turnedAway(50));
    }
}
