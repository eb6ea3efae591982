package org.umbermount.circulation;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import org.umbermount.archive.Regulations;
import org.umbermount.kernel.Moment;

/** A service as this daemon sees it: its servers, its budget of further tries, and who waits for a slot. */
final class Wing {
    private static final int WAITING_AT_MOST = 256;
    private static final long LOCAL_RATIO_MS = 100;

    /** Who comes first among those that wait. */
    private static final Comparator<Borrowing> RANK = new MostUrgentFirst();

    final String label;
    final Allowance allowance;
    final List<Repository> repositories = new ArrayList<>();
    /** Those of this daemon's zone. */
    final List<Repository> local = new ArrayList<>();
    final List<Repository> elsewhere = new ArrayList<>();
    private final PriorityQueue<Borrowing> waiting = new PriorityQueue<>(RANK);
    private boolean serving;
    final Pressure pressure = new Pressure();
    int maxConnections = 64;
    /** Whether its servers themselves know a key again. */
    boolean dedupCapable;
    /** Smoothed time of an answer, over all servers. */
    double typicalMs = 100;
    boolean measured;
    private double localRatio;
    private Moment localRatioAt = Moment.NEVER;

    Wing(String label, Allowance allowance) {
        this.label = label;
        this.allowance = allowance;
    }

    void configure(Regulations.Upstream upstream) {
        maxConnections = upstream.maxConnections();
        dedupCapable = upstream.dedupCapable();
    }

    /**
     * The requests at the servers of this daemon's zone as a part of their slots; looked at anew now and then. A server that
     * hangs counts for twice its slots at most.
     */
    double localRatio(Moment now) {
        if (now.since(localRatioAt) > LOCAL_RATIO_MS) {
            localRatioAt = now;
            double sum = 0;
            int slots = 0;
            for (Repository r : local) {
                if (r.usable(now)) {
                    int capacity = r.instance.capacity();
                    sum += Math.min(r.load(now), 2 * capacity);
                    slots += capacity;
                }
            }
            localRatio = slots == 0 ? 0 : sum / slots;
        }
        return localRatio;
    }

    void sample(double ms) {
        typicalMs = measured ? typicalMs * 0.97 + ms * 0.03 : ms;
        measured = true;
    }

    /** Takes a request into the queue; false if the queue is full of requests that come first. */
    boolean enqueue(Borrowing borrowing) {
        if (waiting.size() >= WAITING_AT_MOST) {
            Borrowing last = Collections.max(waiting, RANK);
            if (RANK.compare(borrowing, last) >= 0) {
                return false;
            }
            waiting.remove(last);
            last.displaced();
        }
        return waiting.add(borrowing);
    }

    void dequeue(Borrowing borrowing) {
        waiting.remove(borrowing);
    }

    int waitingCount() {
        return waiting.size();
    }

    /**
     * Offers a slot to those that wait, the first in rank first. One that has been to some servers already may find none among
     * the others: whoever is behind it is still looked at.
     */
    void serveWaiting() {
        if (serving || waiting.isEmpty()) {
            return;
        }
        serving = true;
        List<Borrowing> passedOver = new ArrayList<>(0);
        try {
            while (!waiting.isEmpty()) {
                // Out of the queue first: it may come back into it while it is being placed.
                Borrowing first = waiting.poll();
                if (first.tryPlace()) {
                    continue;
                }
                passedOver.add(first);
                if (first.mayGoAnywhere()) {
                    return;
                }
            }
        } finally {
            waiting.addAll(passedOver);
            serving = false;
        }
    }

    /** Orders waiting requests by their tenant's priority, their route's, and their deadline. */
    private static final class MostUrgentFirst implements Comparator<Borrowing> {
        @Override
        public int compare(Borrowing first, Borrowing second) {
            int order = Integer.compare(first.tenantPriority(), second.tenantPriority());
            if (order == 0) {
                order = Integer.compare(first.priority(), second.priority());
            }
            return order != 0 ? order : Long.compare(first.deadline().millis(), second.deadline().millis());
        }
    }
}
