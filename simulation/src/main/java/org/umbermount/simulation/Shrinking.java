package org.umbermount.simulation;

import java.io.IOException;

/** Looks for a shorter day that breaks the same sentence: leaves out ever smaller runs of events while it still breaks. */
final class Shrinking {
    private final String sentence;
    private final long until;
    private Day best;

    private Shrinking(Day day, String sentence, long forMs) {
        this.best = day;
        this.sentence = sentence;
        this.until = System.nanoTime() + forMs * 1_000_000;
    }

    /** The sentence that a message says is broken, without the numbers of the day. */
    static String sentence(String message) {
        return message.lines().findFirst().orElse("").replaceAll("[0-9]+(\\.[0-9]+)*(:[0-9]+)?", "#");
    }

    static Day shrink(Day day, SimulatedCluster.BrokenException broken, long forMs) throws IOException {
        Shrinking s = new Shrinking(day, sentence(broken.getMessage()), forMs);
        s.tryOut(day.upTo(broken.played()));
        boolean shorter = true;
        while (shorter && System.nanoTime() < s.until) {
            shorter = false;
            for (int run = Math.max(1, s.best.events().size() / 2); run >= 1; run /= 2) {
                for (int from = s.best.events().size() - run; from >= 0 && System.nanoTime() < s.until; from -= run) {
                    if (from + run <= s.best.events().size()) {
                        shorter |= s.tryOut(s.best.without(from, from + run, false))
                                || s.tryOut(s.best.without(from, from + run, true));
                    }
                }
            }
        }
        return s.best;
    }

    private boolean tryOut(Day day) throws IOException {
        SimulatedCluster.BrokenException broken = SimulatedCluster.breakOf(day);
        if (broken == null || !sentence(broken.getMessage()).equals(sentence)) {
            return false;
        }
        best = day.upTo(broken.played());
        return true;
    }
}
