package org.umbermount.storage;

import java.io.IOException;
import java.util.List;

/**
 * The calls of a file system on one folder. Nothing is safe until it is forced: a file's content by its own force, the
 * names of files by the folder's.
 */
public interface Disk {
    /** The whole file, or null if there is none. */
    byte[] read(String name) throws IOException;

    /** The names of the files there are. */
    List<String> list() throws IOException;

    /** Opens a file for what follows, and makes it if there is none; says whether it was made. */
    boolean open(String name) throws IOException;

    void write(String name, long at, byte[] bytes) throws IOException;

    void cut(String name, long length) throws IOException;

    void force(String name) throws IOException;

    void delete(String name) throws IOException;

    void forceFolder() throws IOException;
}
