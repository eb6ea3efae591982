package org.umbermount.storage.testing;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.Executor;
import org.umbermount.kernel.Clock;
import org.umbermount.storage.Disk;
import org.umbermount.storage.StorageDirectory;
import org.umbermount.storage.SyncedDirectory;

/**
 * A disk for tests: slow, hung, full or torn as a test wants. The vault on it is the real one; only the file system's calls
 * are played. With a loss of power each write or cut that was not forced is there, missing or torn, sector by sector, and
 * each name that was made or removed since the folder was forced is kept or lost, each by itself. Without a seed all of
 * that is lost.
 */
public final class FakeDirectory implements StorageDirectory {
    private static final int SECTOR = 32;

    private final Platter platter = new Platter();
    private final List<Runnable> held = new ArrayList<>();
    private StorageDirectory process = new SyncedDirectory(platter);
    private Clock clock;
    private Random chance;
    public long delayMs = 1;
    public boolean full;
    public boolean hung;
    /** Cuts, removals and syncs are refused too. */
    public boolean refusesAll;
    /** The next append leaves only so many bytes and fails. */
    public int tearAt = -1;
    /** The process ends at the call of the file system after so many others; a write is torn by it. */
    public int callsLeft = Integer.MAX_VALUE;
    /** The calls that changed or forced something. */
    public int calls;
    /** How often a file was forced. */
    public int fileForces;
    /** What was written to all files. */
    public long bytesWritten;
    /** How often the folder was forced. */
    public int folderForces;

    /** The process has ended within a call. */
    public static final class EndedException extends IOException {
        EndedException() {
            super("ended");
        }
    }

    /** What a loss of power leaves hangs on the seed from here on. */
    public FakeDirectory chance(long seed) {
        // Neighbouring seeds would begin alike.
        chance = new Random((seed + 1) * 0x9E3779B97F4A7C15L);
        return this;
    }

    /** Sets the clock that times the disk's work, and starts a new process on the disk. */
    public void clock(Clock almanac) {
        clock = almanac;
        restart();
    }

    /** A new process uses the disk. */
    public void restart() {
        held.clear();
        callsLeft = Integer.MAX_VALUE;
        process = new SyncedDirectory(platter);
    }

    /** Runs disk work after the disk's delay; while the disk hangs, work piles up. */
    public Executor executor() {
        Clock mine = clock;
        return work -> mine.after(delayMs, () -> {
            if (hung) {
                held.add(work);
            } else {
                work.run();
            }
        });
    }

    /** Ends a hang: the work that has piled up is done at once. */
    public void unhang() {
        hung = false;
        List<Runnable> work = new ArrayList<>(held);
        held.clear();
        work.forEach(Runnable::run);
    }

    /** What was done without having been waited for may go with the power. */
    public void losePower() {
        restart();
        platter.losePower();
    }

    /** The next append reaches the file, and the process ends before the disk has confirmed it. */
    public boolean endBeforeSync;

    /** The content of a file as a process would read it now, or null if there is none. */
    public byte[] raw(String name) {
        return platter.read(name);
    }

    /** Puts a file on the disk, synced with its name, as if an earlier process had left it. */
    public void raw(String name, byte[] bytes) {
        File file = new File();
        file.now = bytes.clone();
        file.safe = bytes.clone();
        platter.put(name, file);
        platter.safeNames.put(name, file);
        platter.passed.remove(name);
    }

    /** What all files take. */
    public long taken() {
        return platter.names.values().stream().mapToLong(f -> f.now.length).sum();
    }

    @Override
    public byte[] read(String name) throws IOException {
        return process.read(name);
    }

    @Override
    public void append(String name, long at, byte[] bytes) throws IOException {
        process.append(name, at, bytes);
    }

    @Override
    public void truncate(String name, long length) throws IOException {
        process.truncate(name, length);
    }

    @Override
    public void sync(String name) throws IOException {
        process.sync(name);
    }

    @Override
    public List<String> list() throws IOException {
        return process.list();
    }

    @Override
    public void remove(String name) throws IOException {
        process.remove(name);
    }

    /** A change of a file's content. */
    private interface Change {
        byte[] to(byte[] content);
    }

    private static final class File {
        byte[] now = new byte[0];
        byte[] safe = new byte[0];
        final List<Change> unforced = new ArrayList<>();

        void change(Change change) {
            now = change.to(now);
            unforced.add(change);
        }

        void losePower(Random chance) {
            byte[] left = safe;
            for (Change c : unforced) {
                int luck = chance == null ? 0 : chance.nextInt(3);
                byte[] there = luck == 0 ? left : c.to(left);
                left = luck < 2 ? there : torn(left, there, chance);
            }
            now = left;
            safe = left;
            unforced.clear();
        }

        /** The length is the old or the new one, and each sector is as it was or as it was to be. */
        private static byte[] torn(byte[] before, byte[] after, Random chance) {
            byte[] out = new byte[chance.nextBoolean() ? after.length : Math.min(before.length, after.length)];
            for (int at = 0; at < out.length; at += SECTOR) {
                byte[] from = chance.nextBoolean() ? after : before;
                int end = Math.min(Math.min(at + SECTOR, out.length), from.length);
                if (at < end) {
                    System.arraycopy(from, at, out, at, end - at);
                }
            }
            return out;
        }
    }

    private static byte[] written(byte[] old, long at, byte[] bytes, int n) {
        byte[] next = Arrays.copyOf(old, (int) Math.max(old.length, at + n));
        System.arraycopy(bytes, 0, next, (int) at, n);
        return next;
    }

    private final class Platter implements Disk {
        private final Map<String, File> names = new TreeMap<>();
        private final Map<String, File> safeNames = new HashMap<>();
        /** For each name, what it stood for at any time since the folder was forced; null for nothing. */
        private final Map<String, List<File>> passed = new TreeMap<>();

        private void put(String name, File file) {
            passed.computeIfAbsent(name, n -> new ArrayList<>(Arrays.asList(safeNames.get(n))))
                    .add(file);
            if (file == null) {
                names.remove(name);
            } else {
                names.put(name, file);
            }
        }

        private void losePower() {
            passed.forEach((name, states) -> {
                File left = states.get(chance == null ? 0 : chance.nextInt(states.size()));
                if (left == null) {
                    names.remove(name);
                } else {
                    names.put(name, left);
                }
            });
            passed.clear();
            safeNames.clear();
            safeNames.putAll(names);
            names.values().forEach(f -> f.losePower(chance));
        }

        /** Whether the process ends within this call. */
        private boolean ends() throws EndedException {
            if (callsLeft < 0) {
                throw new EndedException();
            }
            calls++;
            return callsLeft-- == 0;
        }

        private void refuse() throws IOException {
            if (refusesAll) {
                throw new IOException("no space left");
            }
        }

        @Override
        public byte[] read(String name) {
            File file = names.get(name);
            return file == null ? null : file.now.clone();
        }

        @Override
        public List<String> list() {
            return new ArrayList<>(new TreeSet<>(names.keySet()));
        }

        @Override
        public boolean open(String name) throws IOException {
            if (names.containsKey(name)) {
                return false;
            }
            if (full || refusesAll) {
                throw new IOException("no space left");
            }
            boolean last = ends();
            put(name, new File());
            if (last) {
                throw new EndedException();
            }
            return true;
        }

        @Override
        public void write(String name, long at, byte[] bytes) throws IOException {
            if (full || refusesAll) {
                throw new IOException("no space left");
            }
            boolean last = ends();
            int n = tearAt >= 0 ? Math.min(tearAt, bytes.length) : bytes.length;
            n = last && chance != null ? chance.nextInt(n + 1) : n;
            int length = n;
            bytesWritten += length;
            names.get(name).change(old -> written(old, at, bytes, length));
            if (last || endBeforeSync) {
                endBeforeSync = false;
                throw new EndedException();
            }
            if (tearAt >= 0) {
                tearAt = -1;
                throw new IOException("torn");
            }
        }

        @Override
        public void cut(String name, long length) throws IOException {
            refuse();
            boolean last = ends();
            names.get(name).change(old -> Arrays.copyOf(old, (int) length));
            if (last) {
                throw new EndedException();
            }
        }

        @Override
        public void force(String name) throws IOException {
            refuse();
            if (ends()) {
                throw new EndedException();
            }
            fileForces++;
            File file = names.get(name);
            file.safe = file.now;
            file.unforced.clear();
        }

        @Override
        public void delete(String name) throws IOException {
            refuse();
            boolean last = ends();
            if (names.containsKey(name)) {
                put(name, null);
            }
            if (last) {
                throw new EndedException();
            }
        }

        @Override
        public void forceFolder() throws IOException {
            refuse();
            if (ends()) {
                throw new EndedException();
            }
            folderForces++;
            safeNames.clear();
            safeNames.putAll(names);
            passed.clear();
        }
    }
}
