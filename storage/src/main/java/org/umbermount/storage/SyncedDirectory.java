package org.umbermount.storage;

import java.io.IOException;
import java.util.List;
import org.umbermount.kernel.Safeguard;

/**
 * Decides what is forced, and when, before something counts as safe. The folder is forced once at the start, because an
 * earlier process may have made a file and not have got as far, and after that for each file that is made. No file is ever
 * renamed. A removal is not forced: those who remove a file must bear its return. At the start the loop's thread uses the
 * disk beside the disk's own, so one call at a time is let in.
 */
public class SyncedDirectory implements StorageDirectory {
    private final Disk disk;
    private boolean uncertainNames = true;

    public SyncedDirectory(Disk disk) {
        this.disk = disk;
    }

    @Override
    public synchronized byte[] read(String name) throws IOException {
        return disk.read(name);
    }

    @Override
    public synchronized List<String> list() throws IOException {
        return disk.list();
    }

    @Override
    public synchronized void append(String name, long at, byte[] bytes) throws IOException {
        open(name);
        disk.write(name, at, bytes);
        force(name);
    }

    @Override
    public synchronized void truncate(String name, long length) throws IOException {
        open(name);
        disk.cut(name, length);
        disk.force(name);
    }

    @Override
    public synchronized void sync(String name) throws IOException {
        open(name);
        force(name);
    }

    @Override
    public synchronized void remove(String name) throws IOException {
        disk.delete(name);
    }

    private void open(String name) throws IOException {
        if (disk.open(name)) {
            uncertainNames = true;
        }
    }

    private void force(String name) throws IOException {
        disk.force(name);
        if (uncertainNames && Safeguard.FOLDER_SYNCED.holds()) {
            disk.forceFolder();
            uncertainNames = false;
        }
    }
}
