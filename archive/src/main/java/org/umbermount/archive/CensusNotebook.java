package org.umbermount.archive;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executor;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.umbermount.kernel.Clock;
import org.umbermount.kernel.Script;
import org.umbermount.stacks.DiskTasks;
import org.umbermount.stacks.Folio;
import org.umbermount.stacks.Stack;

/**
 * Notes the servers on disk now and then, so that a control plane that was stopped as a whole need not wait for
 * every server's next beat. The notes are a memory aid: beats and other registrars overrule them, and servers
 * that do not show up are dropped like any other.
 */
final class CensusNotebook {
    private static final Logger LOG = LoggerFactory.getLogger("archive");
    private static final byte SERVERS = 1;
    private static final long INTERVAL_MS = 700;
    /** Older notes say nothing about now. */
    private static final long WORTHLESS_MS = 30_000;

    private final Census census;
    private final Stack stack;
    private final DiskTasks disk;
    private final Clock clock;
    private long notedDigest;
    private long notedAt;
    private boolean busy;

    CensusNotebook(Census census, Stack stack, Executor thread, Clock clock) {
        this.census = census;
        this.stack = stack;
        this.disk = new DiskTasks(thread, clock);
        this.clock = clock;
    }

    /** Reads the notes of an earlier life, if they are fresh. */
    void recall() {
        byte[] notes = stack.get(SERVERS);
        if (notes == null) {
            return;
        }
        try {
            Script.Reader in = Script.read(notes);
            long age = clock.wallMillis() - in.num();
            List<CensusEntry> entries = in.list(CensusEntry::read);
            if (age >= -WORTHLESS_MS && age < WORTHLESS_MS) {
                census.recall(entries);
                LOG.info("Recalled {} servers noted {} ms ago.", entries.size(), age);
            }
        } catch (Script.UnreadableException e) {
            LOG.warn("The notes on servers cannot be read: {}.", e.getMessage());
        }
    }

    void start() {
        clock.every(INTERVAL_MS, this::note);
    }

    private void note() {
        long now = clock.wallMillis();
        boolean stale = now - notedAt > WORTHLESS_MS / 3;
        if (busy || !census.ready() || census.digest() == notedDigest && !stale) {
            return;
        }
        busy = true;
        notedDigest = census.digest();
        notedAt = now;
        List<CensusEntry> entries = new ArrayList<>(census.entries());
        byte[] notes = Script.write().num(now).list(entries, (o, e) -> e.write(o)).done();
        disk.submit(() -> {
            stack.put(List.of(new Folio(SERVERS, notes)));
            return null;
        }, written -> busy = false, failure -> {
            // A disk that refuses these refuses the chain's writes too, and is dealt with there.
            notedDigest = 0;
            busy = false;
        });
    }
}
