package org.umbermount.loans;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.umbermount.archive.Replica;
import org.umbermount.archive.StatusPage;
import org.umbermount.kernel.Department;
import org.umbermount.kernel.HouseRules;
import org.umbermount.kernel.Institution;
import org.umbermount.kernel.Postbag;
import org.umbermount.kernel.Role;
import org.umbermount.kernel.Script;
import org.umbermount.stacks.Cellar;
import org.umbermount.stacks.Ledger;
import org.umbermount.stacks.Stack;
import org.umbermount.stacks.Vault;

/** The keeping of operation records as a plug-in of the registrar. */
public final class LoansDepartment implements Department {
    private static final Logger LOG = LoggerFactory.getLogger("loans");
    private static final String FILES = "loans";
    private static final int SEGMENT_BYTES = 1 << 20;
    /** A record outlives the window by the time in which a try may still be on its way, and a margin. */
    private static final long MARGIN_MS = 15_000;
    /** Of the disk, and of the memory, what the records may take. */
    private static final long MOST_BYTES = 40L << 20;

    private LoanDesk desk;

    @Override
    public String name() {
        return "loans";
    }

    @Override
    public int order() {
        return 25;
    }

    @Override
    public boolean serves(Role role) {
        return role == Role.REGISTRAR;
    }

    @Override
    public void open(Institution host) throws Exception {
        HouseRules rules = host.rules();
        if (!rules.guarantees(HouseRules.KEYS)) {
            return;
        }
        Cellar cellar = host.find(Cellar.class);
        LoanBook book = new LoanBook();
        Ledger ledger = open(cellar, book, host);
        if (book.size() > 0) {
            LOG.info("Read {} operation records from disk, up to {}/{}.", book.size(), book.mark().view(), book.mark().pos());
        }
        desk = new LoanDesk(host.clock(), host.find(Postbag.class), host.find(Replica.class), ledger, book,
                cellar.thread(), rules.toleratedMachines(), rules.bounds().sharing().credentialWindowMs() + MARGIN_MS,
                MOST_BYTES, host.tally());
        desk.start();
        host.tally().gauge("loans.records", () -> desk.book().size());
        host.tally().gauge("loans.keys", () -> desk.book().keys());
        host.tally().gauge("loans.bytes", () -> desk.book().bytes());
        host.tally().gauge("loans.position", () -> desk.durable().pos());
        host.tally().gauge("loans.committed", () -> desk.committed());
        StatusPage page = host.findOrNull(StatusPage.class);
        if (page != null) {
            page.addSection(this::show);
        }
    }

    private static Ledger open(Cellar cellar, LoanBook book, Institution host) throws IOException {
        try {
            return Ledger.open(cellar.vault(), FILES, SEGMENT_BYTES, (segment, body) -> replay(book, segment, body, host));
        } catch (Stack.DamagedException e) {
            LOG.error("{} The daemon starts again without any memory.", e.getMessage());
            forgetAndEnd(cellar, () -> host.fatal("The operation records on disk cannot be used."));
            throw e;
        }
    }

    /**
     * Forgets on the disk's own thread and ends the process there, while the caller waits: what was handed to that
     * thread before goes first, and nothing that waits behind it can write a memory again.
     */
    static void forgetAndEnd(Cellar cellar, Runnable end) {
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
    static void forget(Vault vault) throws IOException {
        List<String> names = new ArrayList<>(vault.list());
        names.sort(Comparator.comparing(name -> name.startsWith(FILES + ".")));
        for (String name : names) {
            vault.truncate(name, 0);
        }
    }

    private static void replay(LoanBook book, int segment, byte[] body, Institution host)
            throws Script.UnreadableException {
        Slip s = Slip.read(body);
        try {
            switch (s.kind) {
                case ENTER -> book.enter(s.view);
                case CUT -> book.cut(new org.umbermount.archive.Bookmark(s.view, s.pos, org.umbermount.kernel.Imprint.NONE));
                default -> {
                    s.segment = segment;
                    s.since = host.clock().now();
                    book.add(s);
                }
            }
        } catch (IllegalStateException e) {
            throw new Script.UnreadableException(e.getMessage(), e);
        }
    }

    private void show(ObjectNode page) {
        page.putObject("loans").put("view", desk.view().number()).put("records", desk.book().size())
                .put("keys", desk.book().keys()).put("bytes", desk.book().bytes())
                .put("onDisk", desk.durable().view() + "/" + desk.durable().pos()).put("committed", desk.committed());
    }
}
