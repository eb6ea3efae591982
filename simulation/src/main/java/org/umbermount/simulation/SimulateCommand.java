package org.umbermount.simulation;

import java.io.IOException;
import java.io.PrintWriter;
import org.slf4j.helpers.NOP_FallbackServiceProvider;
import org.umbermount.kernel.CommandExtension;
import org.umbermount.kernel.Mutation;
import org.umbermount.kernel.Safeguard;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Plays drawn days and shows what broke, as short as it can be made; or one day again with some of its events. */
@Command(
        name = "simulate",
        mixinStandardHelpOptions = true,
        description = "Plays seeded days over the control side on a simulated clock, network and disks, and shows "
                + "the shortest day found for each seed that breaks a rule.")
public final class SimulateCommand implements CommandExtension {
    private static final int HOLDS = 0;
    private static final int BREAKS = 1;
    private static final double NANOS_A_MINUTE = 60e9;

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Option(
            names = "--seed",
            paramLabel = "NUMBER",
            defaultValue = "1",
            description = "the first seed (${DEFAULT-VALUE})")
    private long seed;

    @Option(
            names = "--count",
            paramLabel = "NUMBER",
            defaultValue = "1",
            description = "how many days to play, each with the next seed (${DEFAULT-VALUE})")
    private int count;

    @Option(
            names = "--steps",
            paramLabel = "NUMBER",
            defaultValue = "40",
            description = "events of each day (${DEFAULT-VALUE})")
    private int steps;

    @Option(
            names = "--profile",
            paramLabel = "NAME",
            defaultValue = "ALL",
            description = "what the days are made of (${DEFAULT-VALUE}): one of ${COMPLETION-CANDIDATES}")
    private Profile profile;

    @Option(
            names = "--only",
            paramLabel = "EVENTS",
            description = "plays nothing but these events of the first seed's day, as a shrunk day prints them")
    private String only;

    @Option(
            names = "--without",
            paramLabel = "SAFEGUARD",
            description = "leaves out a mechanism that the arguments rest on: one of ${COMPLETION-CANDIDATES}")
    private Safeguard without;

    @Option(
            names = "--shrink-ms",
            paramLabel = "MS",
            defaultValue = "60000",
            description = "time for shortening each day that breaks, 0 for none (${DEFAULT-VALUE})")
    private long shrinkMs;

    @Override
    public Integer call() throws Exception {
        if (!SimulatedCluster.ALOUD) {
            silenceDaemons();
        }
        if (count < 1 || steps < 0 || shrinkMs < 0) {
            throw new CommandLine.ParameterException(
                    spec.commandLine(), "--count must be 1 or more, --steps and --shrink-ms 0 or more.");
        }
        return without == null ? play() : Mutation.without(without, this::play);
    }

    /** Chooses a logger that drops everything; this counts only before the first logger is made. */
    private static void silenceDaemons() {
        System.setProperty("slf4j.provider", NOP_FallbackServiceProvider.class.getName());
        System.setProperty("slf4j.internal.verbosity", "WARN");
    }

    private int play() throws IOException {
        return only == null ? playSeeds() : playAgain();
    }

    private int playAgain() throws IOException {
        Day day;
        try {
            day = Day.draw(seed, profile, steps).only(only);
        } catch (IndexOutOfBoundsException | NumberFormatException e) {
            throw new CommandLine.ParameterException(
                    spec.commandLine(), "--only names no events of this day: " + only + ".");
        }
        SimulatedCluster.BrokenException broken = SimulatedCluster.breakOf(day);
        print(broken == null ? "nothing breaks" : broken.getMessage());
        return broken == null ? HOLDS : BREAKS;
    }

    private int playSeeds() throws IOException {
        print("seeds " + seed + " to " + (seed + count - 1) + ", profile " + profile + ", " + steps + " events each"
                + (without == null ? "" : ", without " + without));
        int found = 0;
        long playing = 0;
        for (long one = seed; one < seed + count; one++) {
            Day day = Day.draw(one, profile, steps);
            long begun = System.nanoTime();
            SimulatedCluster.BrokenException broken = SimulatedCluster.breakOf(day);
            playing += System.nanoTime() - begun;
            if (broken != null) {
                found++;
                show(day, broken);
            }
        }
        print(count + " days of profile " + profile + " from seed " + seed + ", " + found + " broken, "
                + Math.round(count * NANOS_A_MINUTE / Math.max(1, playing)) + " a minute");
        return found == 0 ? HOLDS : BREAKS;
    }

    /** Prints the sentence that a day breaks, and the trace of the shortest day found that breaks the same one. */
    private void show(Day day, SimulatedCluster.BrokenException broken) throws IOException {
        String again = "--seed " + day.seed() + " --profile " + profile + " --steps " + steps
                + (without == null ? "" : " --without " + without);
        print("seed " + day.seed() + " profile " + profile + " steps " + steps + ": "
                + broken.getMessage().lines().findFirst().orElse(""));
        if (shrinkMs == 0) {
            print("  again with " + again);
            return;
        }
        Day shrunk = Shrinking.shrink(day, broken, shrinkMs);
        print("  shrunk from " + steps + " events to " + shrunk.events().size() + ", again with " + again + " --only "
                + shrunk.plan());
        SimulatedCluster.breakOf(shrunk).getMessage().lines().skip(1).forEach(line -> print("  " + line));
    }

    private void print(String line) {
        PrintWriter out = spec.commandLine().getOut();
        out.println(line);
        out.flush();
    }
}
