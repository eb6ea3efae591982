package org.umbermount.archive;

import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import java.util.function.Consumer;
import org.umbermount.kernel.Almanac;
import org.umbermount.kernel.Edition;
import org.umbermount.kernel.Imprint;
import org.umbermount.kernel.Moment;
import org.umbermount.kernel.Safeguard;

/** Carries a caller's configuration to the head, and a caller's read to the tail, and repeats until answered. */
public final class Porter implements Custodian.OriginListener {
    private static final long REPEAT_MS = 150;
    private static final long ASK_MS = 2_000;

    private final Custodian custodian;
    private final Almanac almanac;
    private final Map<Long, Errand> errands = new HashMap<>();
    private final Map<Long, Asked> asks = new HashMap<>();
    private Edition attested;
    private Moment attestedAt;
    private Runnable onAttested = () -> { };
    private long nextId;

    private record Asked(Moment at) {
    }

    private static final class Errand {
        Runnable ask;
        Consumer<Custodian.Verdict> verdict;
        Consumer<Accession> reading;
        Runnable confirmed;
        Runnable gaveUp;
        Moment until;
    }

    Porter(Custodian custodian, Almanac almanac, Random random) {
        this.custodian = custodian;
        this.almanac = almanac;
        this.nextId = random.nextLong() >>> 1;
    }

    /** Has a configuration taken that was sent whole; exactly one of the two is called. */
    public void submit(Edition match, Edition edition, byte[] blob, long patienceMs,
            Consumer<Custodian.Verdict> verdict, Runnable gaveUp) {
        submit(match, edition, Accession.hash(blob), blob, patienceMs, verdict, gaveUp);
    }

    /**
     * Has a configuration taken; exactly one of the two is called. The hash is that of the call. An empty configuration only
     * asks whether that call was taken, or comes too late.
     */
    public void submit(Edition match, Edition edition, long hash, byte[] blob, long patienceMs,
            Consumer<Custodian.Verdict> verdict, Runnable gaveUp) {
        Errand errand = new Errand();
        long id = nextId++;
        errand.verdict = verdict;
        errand.ask = () -> {
            Imprint head = custodian.charter().head();
            if (head != null) {
                custodian.sendSubmission(head, id, match, edition, hash, blob);
            }
        };
        begin(id, errand, patienceMs, gaveUp);
    }

    /** Reads the newest committed state as confirmed by a majority. */
    public void read(long patienceMs, Consumer<Accession> reading, Runnable gaveUp) {
        Errand errand = new Errand();
        long id = nextId++;
        errand.reading = reading;
        errand.ask = () -> {
            Imprint tail = custodian.charter().tail();
            if (tail != null) {
                custodian.sendRead(tail, id);
            }
        };
        begin(id, errand, patienceMs, gaveUp);
    }

    /** Has a majority confirm that the view is in force, asked from now on; exactly one of the two is called. */
    public void confirm(long patienceMs, Runnable confirmed, Runnable gaveUp) {
        Errand errand = new Errand();
        long id = nextId++;
        errand.confirmed = confirmed;
        errand.ask = () -> {
            Imprint tail = custodian.charter().tail();
            if (tail != null) {
                custodian.sendAttest(tail, id);
            }
        };
        begin(id, errand, patienceMs, gaveUp);
    }

    private void begin(long id, Errand errand, long patienceMs, Runnable gaveUp) {
        errand.gaveUp = gaveUp;
        errand.until = almanac.now().plus(patienceMs);
        errands.put(id, errand);
        step(id);
    }

    private void step(long id) {
        Errand errand = errands.get(id);
        if (errand == null) {
            return;
        }
        if (!almanac.now().isBefore(errand.until)) {
            errands.remove(id);
            errand.gaveUp.run();
            return;
        }
        errand.ask.run();
        almanac.after(Math.min(REPEAT_MS, Math.max(1, errand.until.since(almanac.now()))), () -> step(id));
    }

    /**
     * The errand that an answer is for, unless its time is over: what comes to a process that stood still is of the time
     * before that.
     */
    private Errand inTime(long id) {
        Errand errand = errands.get(id);
        boolean late = errand != null && !almanac.now().isBefore(errand.until);
        return late && Safeguard.LATE_ANSWERS_DROPPED.holds() ? null : errand;
    }

    @Override
    public void verdict(long id, Custodian.Verdict verdict) {
        Errand errand = inTime(id);
        if (errand != null && errand.verdict != null && verdict != Custodian.Verdict.ELSEWHERE) {
            errands.remove(id);
            errand.verdict.accept(verdict);
        }
    }

    @Override
    public void reading(long id, Accession committed) {
        Errand errand = inTime(id);
        if (errand != null && errand.reading != null) {
            errands.remove(id);
            errand.reading.accept(committed);
        }
    }

    @Override
    public void attested(long id, Edition newest) {
        Errand errand = inTime(id);
        if (errand != null && errand.confirmed != null) {
            errands.remove(id);
            errand.confirmed.run();
        }
        Asked asked = asks.remove(id);
        if (asked != null && (attestedAt == null || attestedAt.isBefore(asked.at()))) {
            attestedAt = asked.at();
            attested = newest;
            onAttested.run();
        }
    }

    /** Asks which edition is the newest that anyone has been told is taken; the answer is kept. */
    public void askNewest() {
        Imprint tail = custodian.charter().tail();
        if (tail != null) {
            asks.values().removeIf(a -> almanac.now().since(a.at()) > ASK_MS);
            long id = nextId++;
            asks.put(id, new Asked(almanac.now()));
            custodian.sendAttest(tail, id);
        }
    }

    /** Sets what to do when a confirmation has come. */
    public void onAttested(Runnable then) {
        onAttested = then;
    }

    /** The newest edition as a majority has confirmed it, or null. */
    public Edition attested() {
        return attested;
    }

    /** The moment before which the confirmation was asked for. */
    public Moment attestedAt() {
        return attestedAt;
    }
}
