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

    public void losePower() {
        held.clear();
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
        files.put(name, next);
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
