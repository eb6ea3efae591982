package org.umbermount.storage;

import java.io.IOException;
import java.util.List;

/** The few things asked of a disk. Every call may block; none is made on an event loop once a daemon runs. */
public interface StorageDirectory {
    /** The whole file, or null if there is none. */
    byte[] read(String name) throws IOException;

    /** Writes at the end of the file and waits until it is safe, the file's name too. */
    void append(String name, long at, byte[] bytes) throws IOException;

    /** Cuts the file to a length and waits until that is safe. */
    void truncate(String name, long length) throws IOException;

    /** Waits until the file and all that it holds are safe, also what an earlier process did and did not wait for. */
    void sync(String name) throws IOException;

    /** The names of the files there are. */
    List<String> list() throws IOException;

    /** Removes a file; a loss of power may bring it back, whatever else was removed before or after. */
    void remove(String name) throws IOException;
}
