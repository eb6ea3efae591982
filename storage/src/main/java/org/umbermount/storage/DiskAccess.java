package org.umbermount.storage;

import java.util.concurrent.Executor;

/** A daemon's disk: its folder, and the one thread that may wait for it. What is asked first is done first. */
public record DiskAccess(StorageDirectory vault, Executor thread) {}
