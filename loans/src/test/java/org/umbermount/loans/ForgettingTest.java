package org.umbermount.loans;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.umbermount.stacks.Cellar;
import org.umbermount.stacks.Folio;
import org.umbermount.stacks.Ledger;
import org.umbermount.stacks.Stack;
import org.umbermount.stacks.testing.FakeVault;

class ForgettingTest {
    private static final int REWRITE_OVER = 200;

    /** A memory that is written again by a write that waits behind the forgetting would be a vote without its records. */
    private static boolean votesWithoutRecords(boolean onTheDisksThread) throws Exception {
        FakeVault vault = new FakeVault();
        Stack memory = Stack.open(vault, "memory.stack", REWRITE_OVER);
        memory.put(List.of(new Folio((byte) 1, new byte[20])));
        while (memory.length() < REWRITE_OVER - 60) {
            memory.put(List.of(new Folio((byte) 2, new byte[20])));
        }
        Ledger.open(vault, "loans", 10, (segment, body) -> { }).append(List.of(new byte[20]));
        ThreadPoolExecutor disk = new ThreadPoolExecutor(1, 1, 0, TimeUnit.SECONDS, new LinkedBlockingQueue<>());
        CountDownLatch go = new CountDownLatch(1);
        disk.execute(() -> await(go));
        Runnable write = () -> put(memory);
        Cellar cellar = new Cellar(vault, disk);
        if (onTheDisksThread) {
            Thread loop = new Thread(() -> LoansDepartment.forgetAndEnd(cellar, disk::shutdownNow), "loop");
            loop.start();
            while (disk.getQueue().isEmpty()) {
                Thread.onSpinWait();
            }
            disk.execute(write);
            go.countDown();
            loop.join();
        } else {
            LoansDepartment.forget(vault);
            disk.execute(write);
            go.countDown();
            disk.shutdown();
        }
        disk.awaitTermination(10, TimeUnit.SECONDS);
        return !Stack.open(vault, "memory.stack", REWRITE_OVER).isEmpty();
    }

    private static void await(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void put(Stack memory) {
        try {
            memory.put(List.of(new Folio((byte) 2, new byte[90])));
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
                FakeVault vault = new FakeVault().chance(seed);
                Stack.open(vault, "memory.stack", 400).put(List.of(new Folio((byte) 1, new byte[9])));
                Ledger ledger = Ledger.open(vault, "loans", 10, (segment, body) -> { });
                ledger.append(List.of(new byte[20]));
                ledger.append(List.of(new byte[20]));
                vault.callsLeft = at;
                if (at < 6) {
                    assertThrows(FakeVault.EndedException.class, () -> LoansDepartment.forget(vault));
                } else {
                    LoansDepartment.forget(vault);
                }
                vault.losePower();
                int[] records = {0};
                Ledger.open(vault, "loans", 10, (segment, body) -> records[0]++);
                assertTrue(Stack.open(vault, "memory.stack", 400).isEmpty() || records[0] == 2, "ended at call " + at);
                assertTrue(at < 6 || records[0] == 0);
            }
        }
    }
}
