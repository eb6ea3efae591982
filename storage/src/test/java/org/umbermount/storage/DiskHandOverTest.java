package org.umbermount.storage;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.umbermount.kernel.Mutation;
import org.umbermount.kernel.Safeguard;
import org.umbermount.kernel.net.LoopClock;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** The hand-over between the event loop and the disk's thread, with real threads. */
class DiskHandOverTest {
    private static final int TASKS = 20_000;
    private static final int PATIENCE_S = 20;

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final LoopClock clock = new LoopClock(group.next());
    private final ExecutorService disk = Executors.newSingleThreadExecutor();
    private final DiskTasks tasks = new DiskTasks(disk, clock);

    @AfterEach
    void stop() throws InterruptedException {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).await(3, TimeUnit.SECONDS);
        disk.shutdownNow();
    }

    private <T> T onLoop(Callable<T> work) throws Exception {
        return clock.loop().submit(work).get(PATIENCE_S, TimeUnit.SECONDS);
    }

    /** What a task throws, by its number; null if it succeeds. */
    private static Throwable flaw(int kind) {
        return switch (kind) {
            case 0 -> new IOException("refused");
            case 1 -> new IllegalStateException("a fault");
            case 2 -> new OutOfMemoryError("played by the test");
            default -> null;
        };
    }

    private static int play(int number, Throwable flaw) throws IOException {
        if (flaw instanceof IOException e) {
            throw e;
        }
        if (flaw instanceof RuntimeException e) {
            throw e;
        }
        if (flaw instanceof Error e) {
            throw e;
        }
        return number;
    }

    /** Outcomes are kept in a plain list: it is the loop's alone. */
    @Test
    void everyTaskEndsOnceInOrderOnTheLoop() throws Exception {
        Random random = new Random(7);
        List<Throwable> flaws = new ArrayList<>();
        for (int i = 0; i < TASKS; i++) {
            flaws.add(flaw(random.nextInt(12)));
        }
        List<Object> outcomes = new ArrayList<>();
        CompletableFuture<Void> all = new CompletableFuture<>();
        clock.execute(() -> submitNext(flaws, 0, outcomes, all));
        all.get(PATIENCE_S, TimeUnit.SECONDS);
        for (int i = 0; i < TASKS; i++) {
            assertEquals(flaws.get(i) == null ? i : flaws.get(i), outcomes.get(i), "task " + i);
        }
        assertEquals(TASKS, outcomes.size());
    }

    /** Submits from the loop in batches, so that tasks and outcomes of several batches are under way at once. */
    private void submitNext(List<Throwable> flaws, int from, List<Object> outcomes, CompletableFuture<Void> all) {
        int until = Math.min(flaws.size(), from + 50);
        for (int i = from; i < until; i++) {
            int number = i;
            tasks.submit(
                    () -> play(number, flaws.get(number)),
                    done -> note(done, outcomes, flaws.size(), all),
                    failure -> note(failure, outcomes, flaws.size(), all));
        }
        if (until < flaws.size()) {
            clock.execute(() -> submitNext(flaws, until, outcomes, all));
        }
    }

    private void note(Object outcome, List<Object> outcomes, int expected, CompletableFuture<Void> all) {
        if (!clock.inEventLoop()) {
            all.completeExceptionally(new AssertionError("an outcome beside the loop"));
        }
        outcomes.add(outcome);
        if (outcomes.size() == expected) {
            all.complete(null);
        }
    }

    @Test
    void submittingBesideTheLoopIsFoundOut() {
        assertThrows(AssertionError.class, () -> tasks.submit(() -> 0, done -> {}, failure -> {}));
    }

    /** Fails at the next append with what the test sets. */
    private static final class FailingVault implements StorageDirectory {
        private final StorageDirectory inner;
        volatile Error next;
        volatile CountDownLatch hold;

        FailingVault(StorageDirectory inner) {
            this.inner = inner;
        }

        @Override
        public byte[] read(String name) throws IOException {
            return inner.read(name);
        }

        @Override
        public void append(String name, long at, byte[] bytes) throws IOException {
            Error failure = next;
            next = null;
            if (failure != null) {
                throw failure;
            }
            CountDownLatch latch = hold;
            if (latch != null) {
                awaitQuietly(latch);
            }
            inner.append(name, at, bytes);
        }

        private static void awaitQuietly(CountDownLatch latch) throws IOException {
            try {
                latch.await();
            } catch (InterruptedException e) {
                throw new IOException(e);
            }
        }

        @Override
        public void truncate(String name, long length) throws IOException {
            inner.truncate(name, length);
        }

        @Override
        public void sync(String name) throws IOException {
            inner.sync(name);
        }

        @Override
        public List<String> list() throws IOException {
            return inner.list();
        }

        @Override
        public void remove(String name) throws IOException {
            inner.remove(name);
        }
    }

    private boolean write(DiskWriter room, int value) throws Exception {
        CompletableFuture<Boolean> safe = new CompletableFuture<>();
        clock.execute(() -> room.write(List.of(folio(value)), safe::complete));
        return safe.get(PATIENCE_S, TimeUnit.SECONDS);
    }

    private static LogRecord folio(int value) {
        return new LogRecord((byte) 1, new byte[] {(byte) value});
    }

    /** An error on the disk's thread once left the write pending for good: the daemon counted as hung until its end. */
    @Test
    void anErrorOnTheDisksThreadIsARefusalAndTheRoomGoesOn(@TempDir Path folder) throws Exception {
        FailingVault vault = new FailingVault(new LocalDirectory(folder));
        DiskWriter room = onLoop(() -> new DiskWriter(AppendOnlyFile.open(vault, "s", 1 << 20), disk, clock));
        assertTrue(write(room, 1));
        vault.next = new OutOfMemoryError("played by the test");
        assertFalse(write(room, 2));
        assertTrue(onLoop(room::refusing));
        assertEquals(0L, onLoop(room::stuckMs));
        assertTrue(write(room, 3));
        assertFalse(onLoop(room::refusing));
        assertArrayEquals(
                new byte[] {3}, AppendOnlyFile.open(vault, "s", 1 << 20).get((byte) 1));
    }

    @Test
    void withoutTheSafeguardTheWriteStaysPending(@TempDir Path folder) throws Exception {
        FailingVault vault = new FailingVault(new LocalDirectory(folder));
        DiskWriter room = onLoop(() -> new DiskWriter(AppendOnlyFile.open(vault, "s", 1 << 20), disk, clock));
        CompletableFuture<Boolean> told = new CompletableFuture<>();
        vault.next = new OutOfMemoryError("played by the test");
        Mutation.without(Safeguard.DISK_ERRORS_REPORTED, () -> {
            onLoop(() -> {
                room.write(List.of(folio(1)), told::complete);
                return null;
            });
            return disk.submit(() -> null).get(PATIENCE_S, TimeUnit.SECONDS);
        });
        onLoop(() -> null);
        assertFalse(told.isDone());
        assertFalse(onLoop(room::refusing), "nobody learns of it");
    }

    /** The loop ends while a write waits for the disk: nobody is told of it, and what the disk then holds is whole. */
    @Test
    void theLoopEndsWhileAWriteIsInFlight(@TempDir Path folder) throws Exception {
        FailingVault vault = new FailingVault(new LocalDirectory(folder));
        DiskWriter room = onLoop(() -> new DiskWriter(AppendOnlyFile.open(vault, "s", 1 << 20), disk, clock));
        assertTrue(write(room, 1));
        CountDownLatch latch = new CountDownLatch(1);
        vault.hold = latch;
        CompletableFuture<Boolean> told = new CompletableFuture<>();
        onLoop(() -> {
            room.write(List.of(folio(2)), told::complete);
            room.write(List.of(folio(3)), told::complete);
            return null;
        });
        assertTrue(group.shutdownGracefully(0, 1, TimeUnit.SECONDS).await(PATIENCE_S, TimeUnit.SECONDS));
        latch.countDown();
        // The same thread takes this after both writes: neither kept it from going on.
        disk.submit(() -> {}).get(PATIENCE_S, TimeUnit.SECONDS);
        assertFalse(told.isDone());
        assertArrayEquals(
                new byte[] {3},
                AppendOnlyFile.open(new LocalDirectory(folder), "s", 1 << 20).get((byte) 1));
    }
}
