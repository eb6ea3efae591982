package org.umbermount.idempotency;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.umbermount.control.Replica;
import org.umbermount.control.StatusPage;
import org.umbermount.kernel.MessagePackCodec;
import org.umbermount.kernel.Messenger;
import org.umbermount.kernel.Plugin;
import org.umbermount.kernel.PluginHost;
import org.umbermount.kernel.Role;
import org.umbermount.kernel.Settings;
import org.umbermount.storage.AppendOnlyFile;
import org.umbermount.storage.DiskAccess;
import org.umbermount.storage.SegmentedLog;
import org.umbermount.storage.StorageDirectory;

/** The keeping of operation records as a plug-in of the controller. */
public final class OperationKeeperPlugin implements Plugin {
    private static final Logger LOG = LoggerFactory.getLogger("idempotency");
    private static final String FILES = "loans";
    private static final int SEGMENT_BYTES = 1 << 20;
    /** A record outlives the window by the time in which a try may still be on its way, and a margin. */
    private static final long MARGIN_MS = 15_000;
    /** Of the disk, and of the memory, what the records may take. */
    private static final long MOST_BYTES = 40L << 20;

    private OperationKeeper desk;

    @Override
    public String name() {
        return "idempotency";
    }

    @Override
    public int order() {
        return 25;
    }

    @Override
    public boolean serves(Role role) {
        return role == Role.CONTROLLER;
    }

    @Override
    public void open(PluginHost host) throws Exception {
        Settings rules = host.rules();
        if (!rules.guarantees(Settings.KEYS)) {
            return;
        }
        DiskAccess cellar = host.find(DiskAccess.class);
        OperationStore book = new OperationStore();
        SegmentedLog ledger = open(cellar, book, host);
        if (book.size() > 0) {
            LOG.info(
                    "Read {} operation records from disk, up to {}/{}.",
                    book.size(),
                    book.mark().view(),
                    book.mark().pos());
        }
        desk = new OperationKeeper(
                host.clock(),
                host.find(Messenger.class),
                host.find(Replica.class),
                ledger,
                book,
                cellar.thread(),
                rules.toleratedMachines(),
                rules.bounds().sharing().credentialWindowMs() + MARGIN_MS,
                MOST_BYTES,
                host.metrics());
        desk.start();
        host.metrics().gauge("idempotency.records", () -> desk.book().size());
        host.metrics().gauge("idempotency.keys", () -> desk.book().keys());
        host.metrics().gauge("idempotency.bytes", () -> desk.book().bytes());
        host.metrics().gauge("idempotency.position", () -> desk.durable().pos());
        host.metrics().gauge("idempotency.committed", () -> desk.committed());
        StatusPage page = host.findOrNull(StatusPage.class);
        if (page != null) {
            page.addSection(this::show);
        }
    }

    private static SegmentedLog open(DiskAccess cellar, OperationStore book, PluginHost host) throws IOException {
        try {
            return SegmentedLog.open(
                    cellar.vault(), FILES, SEGMENT_BYTES, (segment, body) -> replay(book, segment, body, host));
        } catch (AppendOnlyFile.DamagedException e) {
            LOG.error("{} The daemon starts again without any memory.", e.getMessage());
            forgetAndEnd(cellar, () -> host.fatal("The operation records on disk cannot be used."));
            throw e;
        }
    }

    /**
     * Forgets on the disk's own thread and ends the process there, while the caller waits: what was handed to that
     * thread before goes first, and nothing that waits behind it can write a memory again.
     */
    static void forgetAndEnd(DiskAccess cellar, Runnable end) {
        CompletableFuture<Void> ended = new CompletableFuture<>();
        cellar.thread().execute(() -> {
            try {
                forget(cellar.vault());
            } catch (IOException e) {
                LOG.error("The files could not be emptied: {}.", e.getMessage());
            } finally {
                end.run();
                ended.complete(null);
            }
        });
        ended.join();
    }

    /**
     * A voter that forgot what it said must not vote as if it had not: it becomes a new incarnation. The records go last, for
     * whoever ends on the way must not be left with its vote and without them.
     */
    static void forget(StorageDirectory vault) throws IOException {
        List<String> names = new ArrayList<>(vault.list());
        names.sort(Comparator.comparing(name -> name.startsWith(FILES + ".")));
        for (String name : names) {
            vault.truncate(name, 0);
        }
    }

    private static void replay(OperationStore book, int segment, byte[] body, PluginHost host)
            throws MessagePackCodec.UnreadableException {
        OperationRecord s = OperationRecord.read(body);
        try {
            switch (s.kind) {
                case ENTER -> book.enter(s.view);
                case CUT -> book.cut(new org.umbermount.control.OperationLogPosition(
                        s.view, s.pos, org.umbermount.kernel.DaemonAddress.NONE));
                default -> {
                    s.segment = segment;
                    s.since = host.clock().now();
                    book.add(s);
                }
            }
        } catch (IllegalStateException e) {
            throw new MessagePackCodec.UnreadableException(e.getMessage(), e);
        }
    }

    private void show(ObjectNode page) {
        page.putObject("loans")
                .put("view", desk.view().number())
                .put("records", desk.book().size())
                .put("keys", desk.book().keys())
                .put("bytes", desk.book().bytes())
                .put("onDisk", desk.durable().view() + "/" + desk.durable().pos())
                .put("committed", desk.committed());
    }
}
