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

    /** What was noted, and when by the time of day. */
    private record Notes(long at, List<CensusEntry> entries) {
    }

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
        if (stack.get(SERVERS) == null) {
            return;
        }
        try {
            Notes notes = stack.read(SERVERS, in -> new Notes(in.num(), in.list(CensusEntry::read)));
            long age = clock.wallMillis() - notes.at;
            List<CensusEntry> entries = notes.entries;
            if (age >= -WORTHLESS_MS && age < WORTHLESS_MS) {
                census.recall(entries);
                LOG.info("Recalled {} servers noted {} ms ago.", entries.size(), age);
            }
        } catch (Stack.DamagedException e) {
            LOG.warn("{} The servers' next beats are waited for.", e.getMessage());
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
