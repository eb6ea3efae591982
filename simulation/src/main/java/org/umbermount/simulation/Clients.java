package org.umbermount.simulation;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.umbermount.control.Configuration;
import org.umbermount.idempotency.OperationClient;
import org.umbermount.idempotency.OperationKey;
import org.umbermount.kernel.Settings;
import org.umbermount.quota.QuotaClient;

/**
 * Clients of one tenant, which go on asking proxies all day: tries of operations that carry a key, most of them
 * repeats, and more requests than the tenant's quota allows. An operation may run once, its repeats get the answer of
 * that run, and no window of time sees more requests than the rule has it.
 */
final class Clients {
    /** The figures of the rules: the window of operations is longer than any day. */
    static final Settings.Sharing SHARING = new Settings.Sharing(false, 5_000, 3_600_000, 5_000, 0.1, 20);

    private static final double RATE_PER_S = 30;
    private static final double BURST = 30;
    static final Configuration.Tenant TENANT =
            new Configuration.Tenant("mill", List.of("key-of-mill-0001"), 1, RATE_PER_S, BURST);
    private static final double MOST_IN_A_WINDOW =
            (RATE_PER_S * SHARING.quotaWindowMs() / 1_000 + BURST) * (1 + SHARING.quotaOvershoot())
                    + SHARING.quotaBurst();
    private static final long CLAIM_MS = 800;
    private static final long QUOTA_MS = 200;
    private static final int SHORT_RUN_MS = 200;
    /** One run in four takes up to so long: it may outlive a view, and the head that granted it. */
    private static final int LONG_RUN_MS = 5_000;

    private static final int REQUESTS_A_STEP = 4;
    /** A proxy gives up to have an end noted 30 s after the claim. */
    private static final long NOTED_WITHIN_MS = 25_000;
    /** Repeats are of one of so many operations begun last. */
    private static final int REPEATED = 40;

    private final SimulatedCluster cluster;
    private final Random random;
    private final List<String> keys = new ArrayList<>();
    /** The operations that have run, each with its answer. */
    private final Map<String, String> ran = new HashMap<>();
    /** Answers that proxies are still having noted. */
    private final List<Closing> closing = new ArrayList<>();
    /** The operations whose answer has been noted: a repeat that begins later gets it. */
    private final Set<String> noted = new HashSet<>();

    private final ArrayDeque<Long> allowed = new ArrayDeque<>();
    private boolean stopped;
    private long tries;
    private long runs;
    private long repeatsAnswered;
    private long requestsAllowed;

    Clients(SimulatedCluster cluster, long seed) {
        this.cluster = cluster;
        this.random = new Random(seed);
    }

    /** No client comes any more, for a day that is to be found broken. */
    void stop() {
        stopped = true;
    }

    /** What clients do within one step of the day. */
    void step() {
        closing.removeIf(this::isOver);
        if (stopped) {
            return;
        }
        for (int i = random.nextInt(REQUESTS_A_STEP + 1); i > 0; i--) {
            Proxies.Proxy proxy = anyInUse();
            if (proxy != null) {
                proxy.quota.take(TENANT, QUOTA_MS, word -> {
                    if (word == QuotaClient.Word.MAY) {
                        allowed();
                    }
                });
            }
        }
        if (random.nextBoolean()) {
            Proxies.Proxy proxy = anyInUse();
            if (proxy != null) {
                attempt(proxy, key());
            }
        }
    }

    /** An answer that a proxy has said, and goes on saying until it is noted. */
    private record Closing(String key, Proxies.Proxy proxy, OperationClient counter, long claimedAt) {}

    /** Whether nothing more is to be learned of a closing: it was noted, or its proxy has ended or may give it up. */
    private boolean isOver(Closing one) {
        boolean givenUp = one.proxy.loans != one.counter || cluster.now() - one.claimedAt > NOTED_WITHIN_MS;
        if (!givenUp && one.counter.closing() == 0) {
            noted(one.key);
        }
        return givenUp || one.counter.closing() == 0;
    }

    /** The records hold an operation's answer. */
    void noted(String key) {
        noted.add(key);
    }

    private Proxies.Proxy anyInUse() {
        List<Proxies.Proxy> all = cluster.proxies.all();
        Proxies.Proxy proxy = all.get(random.nextInt(all.size()));
        return proxy.up && !proxy.frozen && proxy.edition > 0 ? proxy : null;
    }

    private String key() {
        if (keys.isEmpty() || random.nextInt(3) == 0) {
            keys.add("operation " + keys.size());
        }
        return keys.get(keys.size() - 1 - random.nextInt(Math.min(keys.size(), REPEATED)));
    }

    private void attempt(Proxies.Proxy proxy, String key) {
        String name = key + ", try " + tries++ + " at " + proxy.daemonAddress;
        Attempt attempt = new Attempt(proxy, key, name);
        attempt.ticket = proxy.loans.claim(OperationKey.of(TENANT.label(), key), false, CLAIM_MS, attempt);
    }

    /** One try of an operation, from the claim at a proxy to what its client is told. */
    private final class Attempt implements OperationClient.Outcome {
        private final Proxies.Proxy proxy;
        private final String key;
        private final String name;
        private final long claimedAt = cluster.now();
        /** Whether the operation's answer had been noted before this began. */
        private final boolean repeatsNoted;

        private OperationClient.Ticket ticket;

        Attempt(Proxies.Proxy proxy, String key, String name) {
            this.proxy = proxy;
            this.key = key;
            this.name = name;
            this.repeatsNoted = noted.contains(key);
        }

        @Override
        public void granted() {
            if (random.nextInt(5) == 0) {
                proxy.clock.execute(() -> ticket.close(OperationClient.End.RELEASED, new byte[0]));
                return;
            }
            run(key, name);
            boolean answers = random.nextInt(6) > 0;
            int forMs = random.nextInt(random.nextInt(4) == 0 ? LONG_RUN_MS : SHORT_RUN_MS);
            proxy.clock.after(forMs, () -> close(answers));
        }

        private void close(boolean answers) {
            if (answers) {
                ticket.close(OperationClient.End.ANSWERED, name.getBytes());
                closing.add(new Closing(key, proxy, proxy.loans, claimedAt));
            } else {
                ticket.close(OperationClient.End.UNKNOWN, new byte[0]);
            }
        }

        @Override
        public void answered(byte[] answer) {
            repeat(key, new String(answer));
        }

        @Override
        public void busy() {
            withoutAnswer(repeatsNoted, key, "busy");
        }

        @Override
        public void unknown() {
            withoutAnswer(repeatsNoted, key, "unknown");
        }

        @Override
        public void unavailable() {
            // Nobody could be asked in time: the client comes again.
        }
    }

    /** A server runs an operation. */
    void run(String key, String name) {
        runs++;
        String earlier = ran.putIfAbsent(key, name);
        if (earlier != null) {
            cluster.broken("an operation runs twice: " + earlier + ", and then " + name);
        }
    }

    /** A repeat is answered without running. */
    void repeat(String key, String answer) {
        repeatsAnswered++;
        if (!answer.equals(ran.get(key))) {
            cluster.broken("a repeat of " + key + " was answered with " + answer + ", and it ran as " + ran.get(key));
        }
    }

    /** A try is told that another is at work on the operation, or that nobody knows what became of it. */
    void withoutAnswer(boolean repeatsNoted, String key, String told) {
        if (repeatsNoted) {
            cluster.broken("the answer of " + key + " was noted, and a later try is told: " + told);
        }
    }

    /** A request of the tenant may be sent. */
    void allowed() {
        requestsAllowed++;
        long now = cluster.now();
        allowed.add(now);
        while (allowed.peek() <= now - SHARING.quotaWindowMs()) {
            allowed.poll();
        }
        if (allowed.size() > MOST_IN_A_WINDOW) {
            cluster.broken("the tenant's quota was exceeded: " + allowed.size() + " requests within "
                    + SHARING.quotaWindowMs() + " ms, and " + (long) MOST_IN_A_WINDOW + " is the most");
        }
    }

    Served served() {
        return new Served(runs, repeatsAnswered, requestsAllowed);
    }

    /** What clients have got up to some moment. */
    record Served(long runs, long repeatsAnswered, long requestsAllowed) {
        /** Whether there is more of each. */
        boolean isMoreThan(Served earlier) {
            return runs > earlier.runs
                    && repeatsAnswered > earlier.repeatsAnswered
                    && requestsAllowed > earlier.requestsAllowed;
        }
    }
}
