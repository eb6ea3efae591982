package org.umbermount.control;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executor;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.umbermount.kernel.Clock;
import org.umbermount.kernel.MachineUptime;
import org.umbermount.kernel.MessagePackCodec;
import org.umbermount.kernel.MonotonicTime;
import org.umbermount.kernel.Safeguard;
import org.umbermount.storage.AppendOnlyFile;
import org.umbermount.storage.DiskTasks;
import org.umbermount.storage.LogRecord;

/**
 * Notes the servers on disk now and then, so that a control plane that was stopped as a whole need not wait for
 * every server's next beat. The notes are a memory aid: beats and other controllers overrule them, and servers
 * that do not show up are dropped like any other.
 */
final class RegistrySnapshotFile {
    private static final Logger LOG = LoggerFactory.getLogger("control");
    /** Notes under number 1 were dated by the time of day. */
    private static final byte SERVERS = 2;

    private static final long INTERVAL_MS = 700;
    /** Older notes say nothing about now. */
    private static final long WORTHLESS_MS = 30_000;

    /** What was noted, in which life of the machine, and when by its uptime. */
    private record Notes(String bootId, long at, List<RegisteredServer> entries) {}

    private final ServerRegistry serverRegistry;
    private final AppendOnlyFile stack;
    private final DiskTasks disk;
    private final Clock clock;
    private final MachineUptime uptime;
    private long notedDigest;
    private MonotonicTime notedAt = MonotonicTime.NEVER;
    private boolean busy;

    RegistrySnapshotFile(
            ServerRegistry serverRegistry, AppendOnlyFile stack, Executor thread, Clock clock, MachineUptime uptime) {
        this.serverRegistry = serverRegistry;
        this.stack = stack;
        this.disk = new DiskTasks(thread, clock);
        this.clock = clock;
        this.uptime = uptime;
    }

    /** Reads the notes of an earlier life, if they are fresh. */
    void recall() {
        if (stack.get(SERVERS) == null) {
            return;
        }
        try {
            Notes notes = stack.read(SERVERS, in -> new Notes(in.text(), in.num(), in.list(RegisteredServer::read)));
            long age = uptime.millis() - notes.at;
            List<RegisteredServer> entries = notes.entries;
            if (isThisBoot(notes.bootId) && age >= 0 && age < WORTHLESS_MS) {
                serverRegistry.recall(entries);
                LOG.info("Recalled {} servers noted {} ms ago.", entries.size(), age);
            }
        } catch (AppendOnlyFile.DamagedException e) {
            LOG.warn("{} The servers' next beats are waited for.", e.getMessage());
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
        MonotonicTime now = clock.now();
        boolean stale = now.since(notedAt) > WORTHLESS_MS / 3;
        if (busy || !serverRegistry.ready() || serverRegistry.digest() == notedDigest && !stale) {
            return;
        }
        busy = true;
        notedDigest = serverRegistry.digest();
        notedAt = now;
        List<RegisteredServer> entries = new ArrayList<>(serverRegistry.entries());
        byte[] notes = MessagePackCodec.write()
                .text(uptime.bootId())
                .num(uptime.millis())
                .list(entries, (o, e) -> e.write(o))
                .done();
        disk.submit(
                () -> {
                    stack.put(List.of(new LogRecord(SERVERS, notes)));
                    return null;
                },
                written -> busy = false,
                failure -> {
                    // A disk that refuses these refuses the chain's writes too, and is dealt with there.
                    notedDigest = 0;
                    busy = false;
                });
    }
}
