package org.umbermount.circulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import org.junit.jupiter.api.Test;

class PressureTest {
    private final Random random = new Random(7);

    @Test
    void fewSlowServersAreNotAFullService() {
        Pressure p = new Pressure();
        for (int i = 0; i < 2_000; i++) {
            p.answered(i % 5 == 0 ? 4_000 : 100 + random.nextInt(400), 1_000);
            assertFalse(p.busy(), "after " + i + " answers: " + p.middle());
        }
        assertFalse(p.turnsAway(random));
    }

    @Test
    void lateAnswersTurnAPartAwayAndQuickOnesEndIt() {
        Pressure p = new Pressure();
        for (int i = 0; i < 60; i++) {
            p.answered(900 + random.nextInt(200), 1_000);
        }
        assertTrue(p.turnedAway() > 0.3 && p.turnedAway() <= 0.5, "part " + p.turnedAway());
        int away = 0;
        for (int i = 0; i < 10_000; i++) {
            away += p.turnsAway(random) ? 1 : 0;
        }
        assertEquals(p.turnedAway(), away / 10_000.0, 0.03);
        for (int i = 0; i < 20; i++) {
            p.answered(200, 1_000);
        }
        assertEquals(0, p.turnedAway());
    }

    @Test
    void someAreAlwaysTakenSoThatBetterTimesAreNoticed() {
        Pressure p = new Pressure();
        for (int i = 0; i < 500; i++) {
            p.answered(60_000, 1_000);
        }
        assertEquals(0.5, p.turnedAway());
    }
}
