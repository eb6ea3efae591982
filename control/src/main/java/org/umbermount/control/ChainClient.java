package org.umbermount.control;

import java.security.SecureRandom;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.umbermount.kernel.Clock;
import org.umbermount.kernel.ConfigurationRevision;
import org.umbermount.kernel.DaemonAddress;
import org.umbermount.kernel.MonotonicTime;
import org.umbermount.kernel.Safeguard;

/** Carries a caller's configuration to the head, and a caller's read to the tail, and repeats until answered. */
public final class ChainClient implements Replica.OriginListener {
    private static final long REPEAT_MS = 150;
    private static final long ASK_MS = 2_000;

    private final Replica replica;
    private final Clock clock;
    private final Map<RequestId, Errand> errands = new HashMap<>();
    private final Map<RequestId, Asked> asks = new HashMap<>();
    private ConfigurationRevision attested;
    private MonotonicTime attestedAt;
    private Runnable onAttested = () -> {};
    /** No other life of any process has it, whatever its clock says. */
    private final long life = new SecureRandom().nextLong();

    private long lastNumber;

    private record Asked(MonotonicTime at) {}

    private static final class Errand {
        Runnable ask;
        Consumer<Replica.Verdict> verdict;
        Consumer<ConfigurationState> reading;
        Runnable confirmed;
        Runnable gaveUp;
        MonotonicTime until;
        /** The one view that it may be put to; 0 for any. */
        long onlyIn;
    }

    ChainClient(Replica replica, Clock clock) {
        this.replica = replica;
        this.clock = clock;
    }

    /** Has a configuration taken that was sent whole; exactly one of the two is called. */
    public void submit(
            ConfigurationRevision match,
            ConfigurationRevision edition,
            byte[] blob,
            long patienceMs,
            Consumer<Replica.Verdict> verdict,
            Runnable gaveUp) {
        submit(new Order(match, edition, Digest.ofCall("PUT", blob)), blob, patienceMs, verdict, gaveUp);
    }

    /**
     * Has a configuration taken; exactly one of the two is called. An empty configuration only asks whether the order was
     * taken, or comes too late. An order on a version that is not known here is put to this view alone: where it is refused
     * for that, the head remembers, and the head of another view does not.
     */
    public void submit(Order order, byte[] blob, long patienceMs, Consumer<Replica.Verdict> verdict, Runnable gaveUp) {
        Errand errand = new Errand();
        RequestId id = nextId();
        boolean ahead = order.match().isAfter(replica.committed().edition());
        errand.verdict = verdict;
        errand.ask = () -> {
            DaemonAddress head = replica.view().head();
            if (head != null) {
                if (ahead && errand.onlyIn == 0) {
                    errand.onlyIn = replica.view().number();
                }
                replica.sendSubmission(head, id, errand.onlyIn, order, blob);
            }
        };
        begin(id, errand, patienceMs, gaveUp);
    }

    /** Reads the newest committed state as confirmed by a majority. */
    public void read(long patienceMs, Consumer<ConfigurationState> reading, Runnable gaveUp) {
        Errand errand = new Errand();
        RequestId id = nextId();
        errand.reading = reading;
        errand.ask = () -> {
            DaemonAddress tail = replica.view().tail();
            if (tail != null) {
                replica.sendRead(tail, id);
            }
        };
        begin(id, errand, patienceMs, gaveUp);
    }

    private RequestId nextId() {
        return new RequestId(life, ++lastNumber);
    }

    /** The last that was given out here. */
    RequestId newestId() {
        return new RequestId(life, lastNumber);
    }

    /** An answer counts for the life that asked, and for no other one. */
    private RequestId own(RequestId answered) {
        return Safeguard.REPLY_OF_THIS_LIFE.holds() ? answered : new RequestId(life, answered.number());
    }

    /** Has a majority confirm that the view is in force, asked from now on; exactly one of the two is called. */
    public void confirm(long patienceMs, Runnable confirmed, Runnable gaveUp) {
        Errand errand = new Errand();
        RequestId id = nextId();
        errand.confirmed = confirmed;
        errand.ask = () -> {
            DaemonAddress tail = replica.view().tail();
            if (tail != null) {
                replica.sendAttest(tail, id);
            }
        };
        begin(id, errand, patienceMs, gaveUp);
    }

    private void begin(RequestId id, Errand errand, long patienceMs, Runnable gaveUp) {
        errand.gaveUp = gaveUp;
        errand.until = clock.now().plus(patienceMs);
        errands.put(id, errand);
        step(id);
    }

    private void step(RequestId id) {
        Errand errand = errands.get(id);
        if (errand == null) {
            return;
        }
        if (!clock.now().isBefore(errand.until)) {
            errands.remove(id);
            errand.gaveUp.run();
            return;
        }
        errand.ask.run();
        clock.after(Math.min(REPEAT_MS, Math.max(1, errand.until.since(clock.now()))), () -> step(id));
    }

    /**
     * The errand that an answer is for, unless its time is over: what comes to a process that stood still is of the time
     * before that.
     */
    private Errand inTime(RequestId id) {
        Errand errand = errands.get(id);
        boolean late = errand != null && !clock.now().isBefore(errand.until);
        return late && Safeguard.LATE_ANSWERS_DROPPED.holds() ? null : errand;
    }

    @Override
    public void verdict(RequestId id, Replica.Verdict verdict) {
        Errand errand = inTime(own(id));
        if (errand != null && errand.verdict != null && verdict != Replica.Verdict.ELSEWHERE) {
            errands.remove(own(id));
            errand.verdict.accept(verdict);
        }
    }

    @Override
    public void reading(RequestId id, ConfigurationState committed) {
        Errand errand = inTime(own(id));
        if (errand != null && errand.reading != null) {
            errands.remove(own(id));
            errand.reading.accept(committed);
        }
    }

    @Override
    public void attested(RequestId id, ConfigurationRevision newest) {
        Errand errand = inTime(own(id));
        if (errand != null && errand.confirmed != null) {
            errands.remove(own(id));
            errand.confirmed.run();
        }
        Asked asked = asks.remove(own(id));
        if (asked != null && (attestedAt == null || attestedAt.isBefore(asked.at()))) {
            attestedAt = asked.at();
            attested = newest;
            onAttested.run();
        }
    }

    /** Asks which edition is the newest that anyone has been told is taken; the answer is kept. */
    public void askNewest() {
        DaemonAddress tail = replica.view().tail();
        if (tail != null) {
            asks.values().removeIf(a -> clock.now().since(a.at()) > ASK_MS);
            RequestId id = nextId();
            asks.put(id, new Asked(clock.now()));
            replica.sendAttest(tail, id);
        }
    }

    /** Sets what to do when a confirmation has come. */
    public void onAttested(Runnable then) {
        onAttested = then;
    }

    /** The newest edition as a majority has confirmed it, or null. */
    public ConfigurationRevision attested() {
        return attested;
    }

    /** The moment before which the confirmation was asked for. */
    public MonotonicTime attestedAt() {
        return attestedAt;
    }
}
