package org.umbermount.readership;

import java.security.SecureRandom;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import org.umbermount.archive.Regulations;
import org.umbermount.kernel.Clock;
import org.umbermount.kernel.Imprint;
import org.umbermount.kernel.Moment;
import org.umbermount.kernel.Postbag;
import org.umbermount.kernel.Safeguard;
import org.umbermount.kernel.Script;
import org.umbermount.kernel.Tally;

/** A lector's side of the quotas: asks for a few requests' worth at a time and lets what is not used soon lapse. */
public final class QuotaCounter {
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
        void told(Word word);
    }

    private static final class Waiting {
        final Outcome outcome;
        final Moment until;
        boolean again;

        Waiting(Outcome outcome, Moment until) {
            this.outcome = outcome;
            this.until = until;
        }
    }

    private final class Purse {
        final String tenant;
        final ArrayDeque<Waiting> waiting = new ArrayDeque<>();
        int tokens;
        Moment tokensUntil = Moment.NEVER;
        Moment refusedUntil = Moment.NEVER;
        double demand;
        Moment demandAt = clock.now();
        double refusals;
        Moment refusedAt = demandAt;
        boolean asking;
        int asks;
        int hops;
        Clock.Cancellable timer;

        Purse(String tenant) {
            this.tenant = tenant;
        }

        void note(Moment now) {
            demand = demand * Math.exp(-now.since(demandAt) / 1_000.0) + 1;
            demandAt = now;
        }

        void refused(Outcome outcome) {
            Moment now = clock.now();
            refusals = refusals * Math.exp(-now.since(refusedAt) / 2_000.0) + 1;
            refusedAt = now;
            tally.count("quota.refused");
            outcome.told(Word.SPENT);
        }

        boolean spend(Moment now) {
            if (tokens > 0 && now.isBefore(tokensUntil)) {
                tokens--;
                return true;
            }
            return false;
        }

        void ask() {
            Moment now = clock.now();
            while (!waiting.isEmpty() && !now.isBefore(waiting.peek().until)) {
                Waiting late = waiting.poll();
                if (late.again) {
                    refused(late.outcome);
                } else {
                    tally.count("quota.unreachable");
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
            Imprint to = target(tenant, asks++);
            if (to != null) {
                post.send(to, Postbag.Topic.QUOTA, new QuotaMessages.Ask(life, now.millis(),
                        List.of(new QuotaMessages.Wish(tenant, waiting.size() + ahead))).pack());
            }
            timer = clock.after(REPEAT_MS, this::ask);
        }

        void granted(QuotaMessages.Grant grant, Moment asked, Imprint from) {
            Moment now = clock.now();
            String duty = QuotaMessages.dutyOf(tenant);
            if (grant.count() < 0) {
                boolean known = !grant.keeper().equals(Imprint.NONE) && !grant.keeper().equals(from);
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
    private final Postbag post;
    private final Tally tally;
    private final long ttlMs;
    /** Told apart from earlier runs of this daemon, whose grants have been spent or are forgotten. */
    private final long life = new SecureRandom().nextInt() & 0xFFFF_FFFFL;
    private final Supplier<List<Imprint>> registrars;
    private final Map<String, Purse> purses = new HashMap<>();
    private final Map<String, Imprint> keepers = new HashMap<>();

    /**
     * @param ttlMs how long a grant that nobody waits for may be spent, counted from when it was asked for
     * @param registrars the registrars known, for when the keeper of a count is not
     */
    public QuotaCounter(Clock clock, Postbag post, Tally tally, long ttlMs, Supplier<List<Imprint>> registrars) {
        this.clock = clock;
        this.post = post;
        this.tally = tally;
        this.ttlMs = Math.max(1, ttlMs);
        this.registrars = registrars;
        post.subscribe(Postbag.Topic.QUOTA, this::receive);
    }

    /** Where the table says that a share of the tenants is counted. */
    public void keeper(String duty, Imprint holder) {
        keepers.put(duty, holder);
    }

    private Imprint target(String tenant, int turn) {
        Imprint keeper = keepers.get(QuotaMessages.dutyOf(tenant));
        if (keeper != null && turn % 3 != 2) {
            return keeper;
        }
        List<Imprint> known = registrars.get();
        return known.isEmpty() ? keeper : known.get(turn % known.size());
    }

    /** Takes one request's worth; answers at once if there is one here. */
    public void take(Regulations.Tenant tenant, long patienceMs, Outcome outcome) {
        if (!tenant.limited()) {
            outcome.told(Word.MAY);
            return;
        }
        Moment now = clock.now();
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
    public long comeAgainMs(Regulations.Tenant tenant) {
        Purse purse = purses.get(tenant.label());
        return purse == null || purse.refusals < OFTEN_REFUSED ? SOON_MS : LATER_MS;
    }

    /** Gives back what was taken for a request that was not sent. */
    public void giveBack(Regulations.Tenant tenant) {
        Purse purse = purses.get(tenant.label());
        if (purse != null && clock.now().isBefore(purse.tokensUntil)) {
            purse.tokens++;
        }
    }

    private void receive(Imprint from, byte[] body) throws Script.UnreadableException {
        Script.Reader in = Script.read(body);
        if (in.flag()) {
            return;
        }
        QuotaMessages.Answer answer = QuotaMessages.Answer.read(in);
        if (answer.life() != life && Safeguard.REPLY_MATCHED_BY_LIFE.holds()) {
            tally.count("quota.replies.foreign");
            return;
        }
        if (answer.stamp() > clock.now().millis()) {
            return;
        }
        for (QuotaMessages.Grant g : answer.grants()) {
            Purse purse = purses.get(g.tenant());
            if (purse != null) {
                purse.granted(g, new Moment(answer.stamp()), from);
            }
        }
    }
}
