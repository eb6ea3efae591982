package org.umbermount.proxy;

import java.util.Random;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class AdmissionControlTest {
    private final Random random = new Random(7);
    private final AdmissionControl pressure = new AdmissionControl();

    @Test
    void nothingIsTurnedAwayWhileSlotsAreLeftOrQueuesAreShort() {
        for (double ratio = 0; ratio < 1.2; ratio += 0.01) {
            assertEquals(0, pressure.turnedAway(ratio));
            assertFalse(pressure.turnsAway(ratio, random));
        }
        assertFalse(pressure.busy(0.7));
        assertTrue(pressure.busy(1.0));
    }

    @Test
    void partTurnedAwayGrowsWithTheQueuesAndSomeAreAlwaysTaken() {
        double before = 0;
        for (double ratio = 1.25; ratio < 4; ratio += 0.05) {
            double part = pressure.turnedAway(ratio);
            assertTrue(part > before || part == 0.8, "at " + ratio);
            before = part;
        }
        int away = 0;
        for (int i = 0; i < 10_000; i++) {
            away += pressure.turnsAway(1.5, random) ? 1 : 0;
        }
        assertEquals(0.5, away / 10_000.0, 0.03);
        assertEquals(0.8, pressure.turnedAway(50));
    }

    @Test
    void fewSlowServersAreNotAFullService() {
        for (int i = 0; i < 2_000; i++) {
            pressure.answered(i % 5 == 0 ? 4_000 : 100 + random.nextInt(400), 1_000);
            assertFalse(pressure.busy(0.5), "after " + i + " answers");
            assertEquals(0, pressure.turnedAway(0.5));
        }
    }

    @Test
    void lateAnswersTurnAPartAwayAndQuickOnesEndIt() {
        for (int i = 0; i < 60; i++) {
            pressure.answered(1_100 + random.nextInt(200), 1_000);
        }
        assertTrue(
                pressure.turnedAway(0.5) > 0.4 && pressure.turnedAway(0.5) < 0.7, "part " + pressure.turnedAway(0.5));
        for (int i = 0; i < 20; i++) {
            pressure.answered(200, 1_000);
        }
        assertEquals(0, pressure.turnedAway(0.5));
    }
}
