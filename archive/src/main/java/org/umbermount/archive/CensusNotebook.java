package org.umbermount.archive;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executor;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.umbermount.kernel.Clock;
import org.umbermount.kernel.MachineUptime;
import org.umbermount.kernel.Moment;
import org.umbermount.kernel.Safeguard;
import org.umbermount.kernel.Script;
import org.umbermount.stacks.Folio;
import org.umbermount.stacks.Stack;

/**
 * Notes the servers on disk now and then, so that a control plane that was stopped as a whole need not wait for
 * every server's next beat. The notes are a memory aid: beats and other registrars overrule them, and servers
 * that do not show up are dropped like any other.
 */
final class CensusNotebook {
    private static final Logger LOG = LoggerFactory.getLogger("archive");
    /** Notes under number 1 were dated by the time of day. */
    private static final byte SERVERS = 2;
    private static final long INTERVAL_MS = 700;
    /** Older notes say nothing about now. */
    private static final long WORTHLESS_MS = 30_000;

    private final Census census;
    private final Stack stack;
    private final Executor thread;
    private final Clock clock;
    private final MachineUptime uptime;
    private long notedDigest;
    private Moment notedAt = Moment.NEVER;
    private boolean busy;

    CensusNotebook(Census census, Stack stack, Executor thread, Clock clock, MachineUptime uptime) {
        this.census = census;
        this.stack = stack;
        this.thread = thread;
        this.clock = clock;
        this.uptime = uptime;
    }

    /** Reads the notes of an earlier life, if they are fresh. */
    void recall() {
        byte[] notes = stack.get(SERVERS);
        if (notes == null) {
            return;
        }
        try {
            Script.Reader in = Script.read(notes);
            boolean dated = isThisBoot(in.text());
            long age = uptime.millis() - in.num();
            List<CensusEntry> entries = in.list(CensusEntry::read);
            if (dated && age >= 0 && age < WORTHLESS_MS) {
                census.recall(entries);
                LOG.info("Recalled {} servers noted {} ms ago.", entries.size(), age);
            }
        } catch (Script.UnreadableException e) {
            LOG.warn("The notes on servers cannot be read: {}.", e.getMessage());
        }
    }

    /** Whether a time was counted from the same start of the machine as now: only then it says how old the notes are. */
    private boolean isThisBoot(String bootId) {
        return !bootId.isEmpty() && bootId.equals(uptime.bootId()) || !Safeguard.NOTES_DATED_BY_UPTIME.holds();
    }

    void start() {
        clock.every(INTERVAL_MS, this::note);
    }

    private void note() {
        Moment now = clock.now();
        boolean stale = now.since(notedAt) > WORTHLESS_MS / 3;
        if (busy || !census.ready() || census.digest() == notedDigest && !stale) {
            return;
        }
        busy = true;
        notedDigest = census.digest();
        notedAt = now;
        List<CensusEntry> entries = new ArrayList<>(census.entries());
        byte[] notes = Script.write().text(uptime.bootId()).num(uptime.millis()).list(entries, (o, e) -> e.write(o)).done();
        thread.execute(() -> {
            try {
                stack.put(List.of(new Folio(SERVERS, notes)));
            } catch (IOException | RuntimeException e) {
                // A disk that refuses these refuses the chain's writes too, and is dealt with there.
                notedDigest = 0;
            }
            clock.execute(() -> busy = false);
        });
    }
}
