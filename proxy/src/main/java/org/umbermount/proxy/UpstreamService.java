package org.umbermount.proxy;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import org.umbermount.control.Configuration;
import org.umbermount.kernel.MonotonicTime;

/** A service as this daemon sees it: its servers, its budget of further tries, and who waits for a slot. */
final class UpstreamService {
    private static final int WAITING_AT_MOST = 256;
    private static final long LOCAL_RATIO_MS = 100;

    /** Who comes first among those that wait. */
    private static final Comparator<RequestExchange> RANK = new MostUrgentFirst();

    final String label;
    final RetryBudget retryBudget;
    final List<UpstreamServer> repositories = new ArrayList<>();
    /** Those of this daemon's zone. */
    final List<UpstreamServer> local = new ArrayList<>();

    final List<UpstreamServer> elsewhere = new ArrayList<>();
    private final PriorityQueue<RequestExchange> waiting = new PriorityQueue<>(RANK);
    private boolean serving;
    final AdmissionControl pressure = new AdmissionControl();
    int maxConnections = 64;
    /** Whether its servers themselves know a key again. */
    boolean dedupCapable;
    /** Smoothed time of an answer, over all servers. */
    double typicalMs = 100;

    boolean measured;
    private double localRatio;
    private MonotonicTime localRatioAt = MonotonicTime.NEVER;

    UpstreamService(String label, RetryBudget retryBudget) {
        this.label = label;
        this.retryBudget = retryBudget;
    }

    void configure(Configuration.Upstream upstream) {
        maxConnections = upstream.maxConnections();
        dedupCapable = upstream.dedupCapable();
    }

    /**
     * The requests at the servers of this daemon's zone as a part of their slots; looked at anew now and then. A server that
     * hangs counts for twice its slots at most.
     */
    double localRatio(MonotonicTime now) {
        if (now.since(localRatioAt) > LOCAL_RATIO_MS) {
            localRatioAt = now;
            double sum = 0;
            int slots = 0;
            for (UpstreamServer r : local) {
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
    boolean enqueue(RequestExchange requestExchange) {
        if (waiting.size() >= WAITING_AT_MOST) {
            RequestExchange last = Collections.max(waiting, RANK);
            if (RANK.compare(requestExchange, last) >= 0) {
                return false;
            }
            waiting.remove(last);
            last.displaced();
        }
        return waiting.add(requestExchange);
    }

    void dequeue(RequestExchange requestExchange) {
        waiting.remove(requestExchange);
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
        List<RequestExchange> passedOver = new ArrayList<>(0);
        try {
            while (!waiting.isEmpty()) {
                // Out of the queue first: it may come back into it while it is being placed.
                RequestExchange first = waiting.poll();
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
    private static final class MostUrgentFirst implements Comparator<RequestExchange> {
        @Override
        public int compare(RequestExchange first, RequestExchange second) {
            int order = Integer.compare(first.tenantPriority(), second.tenantPriority());
            if (order == 0) {
                order = Integer.compare(first.priority(), second.priority());
            }
            return order != 0
                    ? order
                    : Long.compare(first.deadline().millis(), second.deadline().millis());
        }
    }
}
