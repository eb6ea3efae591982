package org.umbermount.control;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executor;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.umbermount.kernel.Clock;
import org.umbermount.kernel.MessagePackCodec;
import org.umbermount.storage.AppendOnlyFile;
import org.umbermount.storage.LogRecord;

/**
 * Notes the servers on disk now and then, so that a control plane that was stopped as a whole need not wait for
 * every server's next beat. The notes are a memory aid: beats and other controllers overrule them, and servers
 * that do not show up are dropped like any other.
 */
final class RegistrySnapshotFile {
    private static final Logger LOG = LoggerFactory.getLogger("control");
    private static final byte SERVERS = 1;
    private static final long INTERVAL_MS = 700;
    /** Older notes say nothing about now. */
    private static final long WORTHLESS_MS = 30_000;

    private final ServerRegistry serverRegistry;
    private final AppendOnlyFile stack;
    private final Executor thread;
    private final Clock clock;
    private long notedDigest;
    private long notedAt;
    private boolean busy;

    RegistrySnapshotFile(ServerRegistry serverRegistry, AppendOnlyFile stack, Executor thread, Clock clock) {
        this.serverRegistry = serverRegistry;
        this.stack = stack;
        this.thread = thread;
        this.clock = clock;
    }

    /** Reads the notes of an earlier life, if they are fresh. */
    void recall() {
        byte[] notes = stack.get(SERVERS);
        if (notes == null) {
            return;
        }
        try {
            MessagePackCodec.ClientConnection in = MessagePackCodec.read(notes);
            long age = clock.wallMillis() - in.num();
            List<RegisteredServer> entries = in.list(RegisteredServer::read);
            if (age >= -WORTHLESS_MS && age < WORTHLESS_MS) {
                serverRegistry.recall(entries);
                LOG.info("Recalled {} servers noted {} ms ago.", entries.size(), age);
            }
        } catch (MessagePackCodec.UnreadableException e) {
            LOG.warn("The notes on servers cannot be read: {}.", e.getMessage());
        }
    }

    void start() {
        clock.every(INTERVAL_MS, this::note);
    }

    private void note() {
        long now = clock.wallMillis();
        boolean stale = now - notedAt > WORTHLESS_MS / 3;
        if (busy || !serverRegistry.ready() || serverRegistry.digest() == notedDigest && !stale) {
            return;
        }
        busy = true;
        notedDigest = serverRegistry.digest();
        notedAt = now;
        List<RegisteredServer> entries = new ArrayList<>(serverRegistry.entries());
        byte[] notes = MessagePackCodec.write()
                .num(now)
                .list(entries, (o, e) -> e.write(o))
                .done();
        thread.execute(() -> {
            try {
                stack.put(List.of(new LogRecord(SERVERS, notes)));
            } catch (IOException | RuntimeException e) {
                // A disk that refuses these refuses the chain's writes too, and is dealt with there.
                notedDigest = 0;
            }
            clock.execute(() -> busy = false);
        });
    }
}
