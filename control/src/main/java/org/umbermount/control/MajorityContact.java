package org.umbermount.control;

import java.util.Arrays;
import java.util.function.Supplier;
import org.umbermount.kernel.Clock;
import org.umbermount.kernel.ConfigurationRevision;
import org.umbermount.kernel.MonotonicTime;

/**
 * When a majority of the voters last answered this daemon. Roll calls carry a stamp of their sender's steady clock, and those
 * of the others bring it back; so an answer is dated to the moment at which the question was sent, never to the one at which
 * it came. After a cut or a stop of the process the date is simply old.
 */
public final class MajorityContact {
    /** How long a majority's word counts: as long as a lease. */
    public static final long LIMIT_MS = LeaseManager.TERM_MS;

    private final Clock clock;
    private final FailureDetector detector;
    private final Replica replica;
    private final Supplier<View> view;
    private MonotonicTime judgedAt;
    private MonotonicTime unbrokenSince;
    private boolean assured;

    MajorityContact(Clock clock, FailureDetector detector, Replica replica) {
        this.clock = clock;
        this.detector = detector;
        this.replica = replica;
        this.view = replica::view;
        this.judgedAt = clock.now();
        detector.keep(this::judge);
    }

    /** The latest moment such that a majority of the voters has answered something sent then or later. */
    public MonotonicTime confirmedAt() {
        View view = this.view.get();
        if (view.electorate().isEmpty()) {
            return MonotonicTime.NEVER;
        }
        long[] answered = new long[view.electorate().size()];
        for (int i = 0; i < answered.length; i++) {
            answered[i] =
                    detector.answered(view.electorate().get(i).daemonAddress()).millis();
        }
        Arrays.sort(answered);
        return new MonotonicTime(answered[answered.length - view.majority()]);
    }

    private boolean fresh(MonotonicTime at) {
        return clock.now().since(at) <= LIMIT_MS;
    }

    /** Looks at every roll call that comes or goes, before and after, so that no break passes unnoticed. */
    private void judge() {
        MonotonicTime now = clock.now();
        if (!fresh(confirmedAt()) || now.since(judgedAt) > LIMIT_MS) {
            unbrokenSince = null;
            assured = false;
        }
        if (fresh(confirmedAt()) && unbrokenSince == null) {
            unbrokenSince = now;
        }
        judgedAt = now;
    }

    /** Whether a majority answers. */
    public boolean holds() {
        judge();
        return unbrokenSince != null;
    }

    /** How long a majority has answered without a break; -1 if it does not. */
    public long unbrokenMs() {
        return holds() ? clock.now().since(unbrokenSince) : -1;
    }

    /**
     * Whether a majority of the voters, asked just now, is in this daemon's view, bound by no promise of another, and holds
     * nothing newer than an edition. What is committed is held by a majority, so whatever was committed before they were
     * asked would show.
     */
    public boolean confirms(ConfigurationRevision edition) {
        View view = this.view.get();
        int n = 0;
        for (Voter f : view.electorate()) {
            FailureDetector.Peer p = detector.peer(f.daemonAddress());
            if (p == null) {
                n += detector.isSelf(f.daemonAddress()) && replica.mayMove() ? 1 : 0;
            } else if (p.report() != null
                    && fresh(p.answered())
                    && p.report().mayMove()
                    && p.report().view() == view.number()
                    && p.report().newestEdition() <= edition.value()) {
                n++;
            }
        }
        return !view.electorate().isEmpty() && n >= view.majority();
    }

    /**
     * Whether the committed edition held here has been confirmed as the newest, and a majority has answered without a break
     * since. From then on news of later ones comes in time.
     */
    public boolean assured() {
        judge();
        ConfigurationRevision edition = replica.committed().edition();
        if (unbrokenSince != null && !assured) {
            assured = !edition.equals(ConfigurationRevision.NONE)
                    && !replica.newestEdition().isAfter(edition)
                    && confirms(edition);
        }
        return assured;
    }
}
