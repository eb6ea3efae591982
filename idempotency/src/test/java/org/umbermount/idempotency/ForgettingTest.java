package org.umbermount.idempotency;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.umbermount.storage.AppendOnlyFile;
import org.umbermount.storage.DiskAccess;
import org.umbermount.storage.LogRecord;
import org.umbermount.storage.SegmentedLog;
import org.umbermount.storage.testing.FakeDirectory;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

class ForgettingTest {
    private static final int REWRITE_OVER = 200;

    /** A memory that is written again by a write that waits behind the forgetting would be a vote without its records. */
    private static boolean votesWithoutRecords(boolean onTheDisksThread) throws Exception {
        FakeDirectory vault = new FakeDirectory();
        AppendOnlyFile memory = AppendOnlyFile.open(vault, "memory.stack", REWRITE_OVER);
        memory.put(List.of(new LogRecord((byte) 1, new byte[20])));
        while (memory.length() < REWRITE_OVER - 60) {
            memory.put(List.of(new LogRecord((byte) 2, new byte[20])));
        }
        SegmentedLog.open(vault, "loans", 10, (segment, body) -> {}).append(List.of(new byte[20]));
        ThreadPoolExecutor disk = new ThreadPoolExecutor(1, 1, 0, TimeUnit.SECONDS, new LinkedBlockingQueue<>());
        CountDownLatch go = new CountDownLatch(1);
        disk.execute(() -> await(go));
        Runnable write = () -> put(memory);
        DiskAccess cellar = new DiskAccess(vault, disk);
        if (onTheDisksThread) {
            Thread loop = new Thread(() -> OperationKeeperPlugin.forgetAndEnd(cellar, disk::shutdownNow), "loop");
            loop.start();
            while (disk.getQueue().isEmpty()) {
                Thread.onSpinWait();
            }
            disk.execute(write);
            go.countDown();
            loop.join();
        } else {
            OperationKeeperPlugin.forget(vault);
            disk.execute(write);
            go.countDown();
            disk.shutdown();
        }
        disk.awaitTermination(10, TimeUnit.SECONDS);
        return !AppendOnlyFile.open(vault, "memory.stack", REWRITE_OVER).isEmpty();
    }

    private static void await(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void put(AppendOnlyFile memory) {
        try {
            memory.put(List.of(new LogRecord((byte) 2, new byte[90])));
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    @Test
    void nothingBringsTheVoteBackBehindTheForgetting() throws Exception {
        assertFalse(votesWithoutRecords(true));
        assertTrue(votesWithoutRecords(false), "forgotten beside the disk's thread the vote comes back");
    }

    /** Whoever ends while it gives its records up has no vote left, or all its records. */
    @Test
    void voteGoesBeforeTheRecords() throws IOException {
        for (int at = 0; at < 10; at++) {
            for (int seed = 0; seed < 20; seed++) {
                FakeDirectory vault = new FakeDirectory().chance(seed);
                AppendOnlyFile.open(vault, "memory.stack", 400).put(List.of(new LogRecord((byte) 1, new byte[9])));
                SegmentedLog ledger = SegmentedLog.open(vault, "loans", 10, (segment, body) -> {});
                ledger.append(List.of(new byte[20]));
                ledger.append(List.of(new byte[20]));
                vault.callsLeft = at;
                if (at < 6) {
                    assertThrows(FakeDirectory.EndedException.class, () -> OperationKeeperPlugin.forget(vault));
                } else {
                    OperationKeeperPlugin.forget(vault);
                }
                vault.losePower();
                int[] records = {0};
                SegmentedLog.open(vault, "loans", 10, (segment, body) -> records[0]++);
                assertTrue(
                        AppendOnlyFile.open(vault, "memory.stack", 400).isEmpty() || records[0] == 2,
                        "ended at call " + at);
                assertTrue(at < 6 || records[0] == 0);
            }
        }
    }
}
