package org.umbermount.archive;

import java.io.IOException;
import java.util.Locale;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** What a change of the configuration costs; {@code -Dchanges=20} measures more changes. */
class ChangeCostTest {
    private static ChangeCost.Figures measured(int routes) throws IOException {
        ChangeCost.Figures figures = ChangeCost.measure(routes, Integer.getInteger("changes", 5));
        System.out.printf(Locale.ROOT, "change of %,d routes (%,d B): %,.0f B a hop (%,.0f in datagrams, %d hops),"
                + " %,.0f B in the chain, %,.0f B and %.2f syncs on each disk, %.2f ms of processor time%n", routes,
                figures.configurationBytes(), figures.hopBytes(), figures.hopDatagramBytes(), figures.hops(),
                figures.chainBytes(), figures.diskBytesEach(), figures.syncsEach(), figures.processorMs());
        return figures;
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 1_000, 48_000})
    void changesAreTakenWithEachNumberOfRoutes(int routes) throws IOException {
        measured(routes);
    }
}
