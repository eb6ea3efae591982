package org.umbermount.control;

import java.io.IOException;
import java.util.Locale;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertTrue;

/** What a change of the configuration costs; {@code -Dchanges=20} measures more changes. */
class ChangeCostTest {
    private static final int CHANGES = 5;

    private static ChangeCost.Figures measured(int routes) throws IOException {
        ChangeCost.Figures figures = ChangeCost.measure(routes, Integer.getInteger("changes", CHANGES));
        System.out.printf(
                Locale.ROOT,
                "change of %,d routes (%,d B): %,.0f B a hop (%,.0f in datagrams, %d hops),"
                        + " %,.0f B in the chain, %,.0f B and %.2f syncs on each disk, %.2f ms of processor time%n",
                routes,
                figures.configurationBytes(),
                figures.hopBytes(),
                figures.hopDatagramBytes(),
                figures.hops(),
                figures.chainBytes(),
                figures.diskBytesEach(),
                figures.syncsEach(),
                figures.processorMs());
        return figures;
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 1_000, 48_000})
    void aChangeCostsTheSameWithAnyNumberOfRoutes(int routes) throws IOException {
        ChangeCost.Figures figures = measured(routes);
        assertTrue(figures.hopBytes() < 500, "bytes a hop: " + figures.hopBytes());
        // More changes than these meet one at which the state is written whole.
        boolean wholeAmongThem = Integer.getInteger("changes", CHANGES) > CHANGES;
        assertTrue(wholeAmongThem || figures.diskBytesEach() < 500, "bytes on each disk: " + figures.diskBytesEach());
        assertTrue(figures.syncsEach() < 2.5, "syncs on each disk: " + figures.syncsEach());
    }
}
