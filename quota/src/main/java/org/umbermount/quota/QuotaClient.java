package org.umbermount.quota;

import java.security.SecureRandom;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import org.umbermount.control.Configuration;
import org.umbermount.kernel.Clock;
import org.umbermount.kernel.DaemonAddress;
import org.umbermount.kernel.MessagePackCodec;
import org.umbermount.kernel.Messenger;
import org.umbermount.kernel.Metrics;
import org.umbermount.kernel.MonotonicTime;
import org.umbermount.kernel.Safeguard;

/** A proxy's side of the quotas: asks for a few requests' worth at a time and lets what is not used soon lapse. */
public final class QuotaClient {
    private static final long REPEAT_MS = 60;
    private static final long REFUSE_MS = 250;
    /** A token that comes so soon is waited for, once. */
    private static final long WORTH_WAITING_MS = 120;

    private static final int WAITING_AT_MOST = 64;
    private static final double OFTEN_REFUSED = 4;
    private static final long SOON_MS = 180;
    private static final long LATER_MS = 2_000;

    /** What a request is told. */
    public enum Word {
        /** It may be sent. */
        MAY,
        /** The tenant has none left. */
        SPENT,
        /** Nobody who counts could be reached. */
        NOBODY
    }

    /** Told once whether a request may be sent. */
    public interface Outcome {
        /** Called once with the decision. */
        void told(Word word);
    }

    private static final class Waiting {
        final Outcome outcome;
        final MonotonicTime until;
        boolean again;

        Waiting(Outcome outcome, MonotonicTime until) {
            this.outcome = outcome;
            this.until = until;
        }
    }

    private final class Purse {
        final String tenant;
        final ArrayDeque<Waiting> waiting = new ArrayDeque<>();
        int tokens;
        MonotonicTime tokensUntil = MonotonicTime.NEVER;
        MonotonicTime refusedUntil = MonotonicTime.NEVER;
        double demand;
        MonotonicTime demandAt = clock.now();
        double refusals;
        MonotonicTime refusedAt = demandAt;
        boolean asking;
        int asks;
        int hops;
        Clock.Cancellable timer;

        Purse(String tenant) {
            this.tenant = tenant;
        }

        void note(MonotonicTime now) {
            demand = demand * Math.exp(-now.since(demandAt) / 1_000.0) + 1;
            demandAt = now;
        }

        void refused(Outcome outcome) {
            MonotonicTime now = clock.now();
            refusals = refusals * Math.exp(-now.since(refusedAt) / 2_000.0) + 1;
            refusedAt = now;
            metrics.count("quota.refused");
            outcome.told(Word.SPENT);
        }

        boolean spend(MonotonicTime now) {
            if (tokens > 0 && now.isBefore(tokensUntil)) {
                tokens--;
                return true;
            }
            return false;
        }

        void ask() {
            MonotonicTime now = clock.now();
            while (!waiting.isEmpty() && !now.isBefore(waiting.peek().until)) {
                Waiting late = waiting.poll();
                if (late.again) {
                    refused(late.outcome);
                } else {
                    metrics.count("quota.unreachable");
                    late.outcome.told(Word.NOBODY);
                }
            }
            if (waiting.isEmpty()) {
                asking = false;
                return;
            }
            asking = true;
            // What comes beyond those that wait is for the requests of the next moments.
            int ahead = (int) Math.min(6, demand * ttlMs / 2_000);
            DaemonAddress to = target(tenant, asks++);
            if (to != null) {
                messenger.send(
                        to,
                        Messenger.Topic.QUOTA,
                        new QuotaMessages.Ask(
                                        life,
                                        now.millis(),
                                        List.of(new QuotaMessages.Wish(tenant, waiting.size() + ahead)))
                                .pack());
            }
            timer = clock.after(REPEAT_MS, this::ask);
        }

        void granted(QuotaMessages.Grant grant, MonotonicTime asked, DaemonAddress from) {
            MonotonicTime now = clock.now();
            String duty = QuotaMessages.dutyOf(tenant);
            if (grant.count() < 0) {
                boolean known = !grant.keeper().equals(DaemonAddress.NONE)
                        && !grant.keeper().equals(from);
                if (known) {
                    keepers.put(duty, grant.keeper());
                }
                if (asking && known && hops++ < 3) {
                    timer.cancel();
                    asks = 0;
                    ask();
                }
                return;
            }
            hops = 0;
            keepers.put(duty, from);
            int n = now.since(asked) < 2 * ttlMs ? grant.count() : 0;
            boolean was = asking;
            while (n > 0 && !waiting.isEmpty()) {
                n--;
                waiting.poll().outcome.told(Word.MAY);
            }
            if (n > 0) {
                tokens = n + (now.isBefore(tokensUntil) ? tokens : 0);
                tokensUntil = asked.plus(ttlMs);
            }
            if (grant.waitMs() > 0 && !waiting.isEmpty()) {
                boolean twice = waiting.peek().again;
                if (twice || grant.waitMs() > WORTH_WAITING_MS) {
                    // Clearly over its limit: its requests are turned away here for a moment, without asking for each.
                    refusedUntil = now.plus(REFUSE_MS);
                    while (!waiting.isEmpty()) {
                        refused(waiting.poll().outcome);
                    }
                } else {
                    waiting.forEach(w -> w.again = true);
                    timer.cancel();
                    timer = clock.after(grant.waitMs() + 1, this::ask);
                    return;
                }
            }
            if (was && waiting.isEmpty()) {
                timer.cancel();
                asking = false;
                asks = 0;
            }
        }
    }

    private final Clock clock;
    private final Messenger messenger;
    private final Metrics metrics;
    private final long ttlMs;
    /** Told apart from earlier runs of this daemon, whose grants have been spent or are forgotten. */
    private final long life = new SecureRandom().nextInt() & 0xFFFF_FFFFL;

    private final Supplier<List<DaemonAddress>> controllers;
    private final Map<String, Purse> purses = new HashMap<>();
    private final Map<String, DaemonAddress> keepers = new HashMap<>();

    /**
     * @param ttlMs how long a grant that nobody waits for may be spent, counted from when it was asked for
     * @param controllers the controllers known, for when the keeper of a count is not
     */
    public QuotaClient(
            Clock clock, Messenger messenger, Metrics metrics, long ttlMs, Supplier<List<DaemonAddress>> controllers) {
        this.clock = clock;
        this.messenger = messenger;
        this.metrics = metrics;
        this.ttlMs = Math.max(1, ttlMs);
        this.controllers = controllers;
        messenger.subscribe(Messenger.Topic.QUOTA, this::receive);
    }

    /** Where the table says that a share of the tenants is counted. */
    public void keeper(String duty, DaemonAddress holder) {
        keepers.put(duty, holder);
    }

    private DaemonAddress target(String tenant, int turn) {
        DaemonAddress keeper = keepers.get(QuotaMessages.dutyOf(tenant));
        if (keeper != null && turn % 3 != 2) {
            return keeper;
        }
        List<DaemonAddress> known = controllers.get();
        return known.isEmpty() ? keeper : known.get(turn % known.size());
    }

    /** Takes one request's worth; answers at once if there is one here. */
    public void take(Configuration.Tenant tenant, long patienceMs, Outcome outcome) {
        if (!tenant.limited()) {
            outcome.told(Word.MAY);
            return;
        }
        MonotonicTime now = clock.now();
        Purse purse = purses.computeIfAbsent(tenant.label(), Purse::new);
        purse.note(now);
        if (purse.spend(now)) {
            outcome.told(Word.MAY);
        } else if (now.isBefore(purse.refusedUntil) || purse.waiting.size() >= WAITING_AT_MOST) {
            purse.refused(outcome);
        } else {
            purse.waiting.add(new Waiting(outcome, now.plus(patienceMs)));
            if (!purse.asking) {
                purse.ask();
            }
        }
    }

    /**
     * When a refused request may come again. A tenant that is refused again and again is far over its limit: its clients
     * would only be refused once more if they came soon.
     */
    public long comeAgainMs(Configuration.Tenant tenant) {
        Purse purse = purses.get(tenant.label());
        return purse == null || purse.refusals < OFTEN_REFUSED ? SOON_MS : LATER_MS;
    }

    /** Gives back what was taken for a request that was not sent. */
    public void giveBack(Configuration.Tenant tenant) {
        Purse purse = purses.get(tenant.label());
        if (purse != null && clock.now().isBefore(purse.tokensUntil)) {
            purse.tokens++;
        }
    }

    private void receive(DaemonAddress from, byte[] body) throws MessagePackCodec.UnreadableException {
        MessagePackCodec.Reader in = MessagePackCodec.read(body);
        if (in.flag()) {
            return;
        }
        QuotaMessages.Answer answer = QuotaMessages.Answer.read(in);
        if (answer.life() != life && Safeguard.REPLY_MATCHED_BY_LIFE.holds()) {
            metrics.count("quota.replies.foreign");
            return;
        }
        if (answer.stamp() > clock.now().millis()) {
            return;
        }
        for (QuotaMessages.Grant g : answer.grants()) {
            Purse purse = purses.get(g.tenant());
            if (purse != null) {
                purse.granted(g, new MonotonicTime(answer.stamp()), from);
            }
        }
    }
}
