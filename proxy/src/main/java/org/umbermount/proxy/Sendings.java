package org.umbermount.proxy;

import io.netty.handler.codec.http.HttpResponse;
import org.umbermount.kernel.MonotonicTime;
import org.umbermount.kernel.Safeguard;

/**
 * What has become of the sendings of one request. It alone makes the permits that {@link ServerConnection} asks for before it writes to
 * a server, and the proofs that a further one rests on. Whether a request may still be promised not to run is known here too.
 */
final class Sendings {
    private final boolean safe;
    /** To how many servers the request may be sent. */
    private int mostServers;

    private boolean tooLong;
    private boolean begun;
    private boolean ended;
    /** Permits that are neither given back nor answered nor lost. */
    private int open;
    /** Those of them that have been used. */
    private int underway;

    private int sent;
    private boolean mayHaveRun;

    /**
     * @param safe whether the request may run more than once
     * @param mostServers to how many servers it may be sent
     */
    Sendings(boolean safe, int mostServers) {
        this.safe = safe;
        this.mostServers = Math.max(1, mostServers);
    }

    /** The route has been changed meanwhile: no further sending may go beyond its new limit. */
    void limitTo(int servers) {
        mostServers = Math.max(1, Math.min(mostServers, servers));
    }

    /** The body is not kept: what has been sent of it cannot be sent again. */
    void tooLong() {
        tooLong = true;
    }

    /** The permit that every request has; there is one. */
    Permit first() {
        if (begun) {
            throw new IllegalStateException("a second first sending");
        }
        begun = true;
        return new Permit();
    }

    /** A permit in the place of one of which nothing was sent. */
    Permit instead(NotRun unsent) {
        if (unsent.used || unsent.arrived || !safe && open > 0) {
            throw new IllegalStateException("not a proof that nothing was sent");
        }
        unsent.used = true;
        return new Permit();
    }

    /** Whether there may be a further sending; a request that is not safe needs the proof that none before has run. */
    boolean allowsFurther(NotRun proof) {
        // A permit that is not used yet will be: a server may be on the way of being connected to.
        int unused = open - underway;
        if (tooLong || ended || sent + unused >= mostServers) {
            return false;
        }
        boolean proven = proof != null && !proof.used && open == 0 && !mayHaveRun;
        return safe || proven || !Safeguard.SENT_ONCE.holds();
    }

    /** A permit for a further sending, paid from the budget; null if it may not be or there is nothing left. */
    Permit further(NotRun proof, RetryBudget budget, MonotonicTime now, int fleet, double reserve) {
        if (!allowsFurther(proof) || !budget.spend(now, fleet, reserve)) {
            return null;
        }
        if (proof != null) {
            proof.used = true;
        }
        return new Permit();
    }

    /** The client has its answer, or wants none: permits that are still unused are void. */
    void end() {
        ended = true;
    }

    /** How many sendings have begun. */
    int sent() {
        return sent;
    }

    /** Whether it is certain that no server has run the request or will: every sending has come back with the proof. */
    boolean hasNotRun() {
        return !mayHaveRun && underway == 0;
    }

    /** The proof that one sending has not run the request and never will. Good for one further permit. */
    static final class NotRun {
        /** Whether the server itself said so; otherwise nothing was sent to it. */
        private final boolean arrived;

        private boolean used;

        private NotRun(boolean arrived) {
            this.arrived = arrived;
        }
    }

    /** The permission to send once. */
    final class Permit {
        private boolean used;
        private boolean over;

        private Permit() {
            open++;
        }

        /** Uses the permit up; false if it is used or void. Nothing may be written unless this says yes. */
        boolean use() {
            if (used || over || ended) {
                return false;
            }
            used = true;
            underway++;
            sent++;
            return true;
        }

        /** Whether what is being sent under it may go on. */
        boolean inUse() {
            return used && !over;
        }

        /** Gives the permit back unused. */
        NotRun giveBack() {
            if (used || over) {
                throw new IllegalStateException("the permit has been used");
            }
            over = true;
            open--;
            return new NotRun(false);
        }

        /** A whole answer to this request has come; the proof if it says that the request has not run, otherwise null. */
        NotRun answered(HttpResponse head) {
            int status = head.status().code();
            boolean notRun =
                    status == 421 || status / 100 != 2 && head.headers().contains(HeaderNames.NOT_EXECUTED);
            close(!notRun);
            return notRun ? new NotRun(true) : null;
        }

        /** No whole answer will come. */
        void lost() {
            close(true);
        }

        private void close(boolean ran) {
            if (!used || over) {
                throw new IllegalStateException("nothing was sent under the permit");
            }
            over = true;
            open--;
            underway--;
            mayHaveRun |= ran;
        }
    }
}
