package org.umbermount.stacks.testing;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executor;
import org.umbermount.kernel.Almanac;
import org.umbermount.stacks.Vault;

/** A disk for tests: slow, hung, full or torn as a test wants. */
public final class FakeVault implements Vault {
    private final Map<String, byte[]> files = new HashMap<>();
    private final Map<String, byte[]> unsynced = new HashMap<>();
    private final List<Runnable> held = new ArrayList<>();
    private Almanac clock;
    public long delayMs = 1;
    public boolean full;
    public boolean hung;
    /** The next append leaves only so many bytes and fails. */
    public int tearAt = -1;

    public void clock(Almanac almanac) {
        clock = almanac;
        held.clear();
    }

    /** Runs disk work after the disk's delay; while the disk hangs, work piles up. */
    public Executor executor() {
        Almanac mine = clock;
        return work -> mine.after(delayMs, () -> {
            if (hung) {
                held.add(work);
            } else {
                work.run();
            }
        });
    }

    public void unhang() {
        hung = false;
        List<Runnable> work = new ArrayList<>(held);
        held.clear();
        work.forEach(Runnable::run);
    }

    /** What was written without having been waited for goes with the power. */
    public void losePower() {
        held.clear();
        unsynced.forEach((name, bytes) -> {
            if (bytes == null) {
                files.remove(name);
            } else {
                files.put(name, bytes);
            }
        });
        unsynced.clear();
    }

    /** The next append reaches the file, and the process ends before the disk has confirmed it. */
    public boolean endBeforeSync;

    @Override
    public void sync(String name) {
        unsynced.remove(name);
    }

    @Override
    public List<String> list() {
        return files.keySet().stream().sorted().toList();
    }

    @Override
    public void remove(String name) {
        files.remove(name);
    }

    public byte[] raw(String name) {
        return files.get(name);
    }

    public void raw(String name, byte[] bytes) {
        files.put(name, bytes);
    }

    @Override
    public byte[] read(String name) {
        byte[] bytes = files.get(name);
        return bytes == null ? null : bytes.clone();
    }

    @Override
    public void append(String name, long at, byte[] bytes) throws IOException {
        check();
        byte[] old = files.getOrDefault(name, new byte[0]);
        int n = tearAt >= 0 ? Math.min(tearAt, bytes.length) : bytes.length;
        byte[] next = Arrays.copyOf(old, (int) Math.max(old.length, at + n));
        System.arraycopy(bytes, 0, next, (int) at, n);
        if (endBeforeSync) {
            endBeforeSync = false;
            unsynced.putIfAbsent(name, files.get(name));
            files.put(name, next);
            throw new IOException("ended");
        }
        files.put(name, next);
        unsynced.remove(name);
        if (tearAt >= 0) {
            tearAt = -1;
            throw new IOException("torn");
        }
    }

    @Override
    public void truncate(String name, long length) throws IOException {
        files.put(name, Arrays.copyOf(files.getOrDefault(name, new byte[0]), (int) length));
    }

    @Override
    public void replace(String name, byte[] bytes) throws IOException {
        check();
        files.put(name, bytes.clone());
    }

    private void check() throws IOException {
        if (full) {
            throw new IOException("no space left");
        }
    }
}
