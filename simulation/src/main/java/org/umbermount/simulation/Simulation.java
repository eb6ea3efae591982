package org.umbermount.simulation;

import java.io.IOException;
import java.util.Locale;
import org.umbermount.kernel.Mutation;
import org.umbermount.kernel.Safeguard;

/**
 * Plays drawn days and shows what broke, as short as it can be made:
 * {@code java -cp ... org.umbermount.simulation.Simulation --seed N --count N --steps N --profile P}, or one day again with some of
 * its events: {@code --seed N --steps N --profile P --only 3:450,8:500}.
 */
public final class Simulation {
    private static final long SHRINK_MS = 60_000;

    private Simulation() {
    }

    public static void main(String[] args) throws Exception {
        long seed = 1;
        int count = 1;
        int steps = 40;
        Profile profile = Profile.ALL;
        long shrinkMs = SHRINK_MS;
        String only = null;
        Safeguard without = null;
        for (int k = 0; k + 1 < args.length; k += 2) {
            switch (args[k]) {
                case "--seed" -> seed = Long.parseLong(args[k + 1]);
                case "--count" -> count = Integer.parseInt(args[k + 1]);
                case "--steps" -> steps = Integer.parseInt(args[k + 1]);
                case "--profile" -> profile = Profile.valueOf(args[k + 1].toUpperCase(Locale.ROOT));
                case "--shrink-ms" -> shrinkMs = Long.parseLong(args[k + 1]);
                case "--without" -> without = Safeguard.valueOf(args[k + 1].toUpperCase(Locale.ROOT));
                case "--only" -> only = args[k + 1];
                default -> throw new IllegalArgumentException("unknown: " + args[k]);
            }
        }
        if (only != null) {
            SimulatedCluster.BrokenException broken = SimulatedCluster.breakOf(Day.draw(seed, profile, steps).only(only));
            System.out.println(broken == null ? "nothing breaks" : broken.getMessage());
            System.exit(broken == null ? 0 : 1);
        }
        Plan plan = new Plan(seed, count, steps, profile, shrinkMs);
        System.exit(without == null ? run(plan) : Mutation.without(without, () -> run(plan)));
    }

    private record Plan(long first, int count, int steps, Profile profile, long shrinkMs) {
    }

    private static int run(Plan plan) throws IOException {
        int found = 0;
        long playing = 0;
        for (long seed = plan.first(); seed < plan.first() + plan.count(); seed++) {
            Day day = Day.draw(seed, plan.profile(), plan.steps());
            long begun = System.nanoTime();
            SimulatedCluster.BrokenException broken = SimulatedCluster.breakOf(day);
            playing += System.nanoTime() - begun;
            if (broken == null) {
                continue;
            }
            found++;
            System.out.println("seed " + seed + " profile " + plan.profile() + " steps " + plan.steps() + ": "
                    + broken.getMessage().lines().findFirst().orElse(""));
            if (plan.shrinkMs() > 0) {
                Day shrunk = Shrinking.shrink(day, broken, plan.shrinkMs());
                System.out.println("  shrunk from " + plan.steps() + " events to " + shrunk.events().size()
                        + ", again with --seed " + seed + " --profile " + plan.profile() + " --steps " + plan.steps()
                        + " --only " + shrunk.plan());
                SimulatedCluster.breakOf(shrunk).getMessage().lines().skip(1).forEach(l -> System.out.println("  " + l));
            }
        }
        System.out.println(plan.count() + " days of profile " + plan.profile() + " from seed " + plan.first() + ", " + found
                + " broken, " + Math.round(plan.count() * 60e9 / Math.max(1, playing)) + " a minute");
        return found == 0 ? 0 : 1;
    }
}
