package org.umbermount.app;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Measures what control costs at one size on this machine. */
@Command(
        name = "stocktake",
        mixinStandardHelpOptions = true,
        description =
                "Runs controllers, a few proxies, and hollow proxies and servers on loopback addresses, and prints what they cost.")
final class ScaleRunCommand implements Callable<Integer> {
    @Parameters(paramLabel = "FOLDER", description = "an empty folder for settings, logs and the controllers' files")
    private Path folder;

    @Option(names = "--proxies", defaultValue = "50", description = "hollow proxies, at most " + ScaleRun.MOST_PROXIES)
    private int proxies;

    @Option(names = "--servers", defaultValue = "100", description = "hollow servers, at most " + ScaleRun.MOST_SERVERS)
    private int servers;

    @Option(names = "--routes", defaultValue = "50", description = "routes, at most 8000")
    private int routes;

    @Option(names = "--controllers", defaultValue = "3", description = "real controllers, 3 to 12")
    private int controllers;

    @Option(names = "--seconds", defaultValue = "20", description = "how long to measure, at most 120")
    private int seconds;

    @Override
    public Integer call() {
        if (proxies < 1
                || proxies > ScaleRun.MOST_PROXIES
                || servers < 1
                || servers > ScaleRun.MOST_SERVERS
                || routes < 1
                || routes > 8_000
                || controllers < 3
                || controllers > 12
                || seconds < 1
                || seconds > 120) {
            System.err.println("A number is out of its range; see --help.");
            return 2;
        }
        // Hundreds of proxies in one process would each log every table.
        System.setProperty("org.slf4j.simpleLogger.log.distribution", "error");
        try {
            ScaleRun.Figures figures = new ScaleRun(folder, proxies, servers, routes, controllers, seconds).measure();
            figures.values()
                    .forEach((name, value) -> System.out.println(name + "\t" + Math.round(value * 10_000) / 10_000.0));
            return 0;
        } catch (Exception e) {
            System.err.println("The stocktaking failed: " + e.getMessage());
            return 1;
        }
    }
}
