package org.umbermount.storage;

/** One record of a stack: a key, and the newest value under it. */
public record LogRecord(byte key, byte[] value) {}
