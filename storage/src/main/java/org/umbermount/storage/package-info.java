/**
 * Durable files: what a controller must not forget after a crash or a loss of power.
 *
 * <p>There are two formats. An {@link org.umbermount.storage.AppendOnlyFile} keeps the newest value under each of a
 * few keys; a {@link org.umbermount.storage.SegmentedLog} keeps a sequence of records, of which old ones are dropped
 * by the segment. Both are checksummed (CRC-32C), and tell the torn end that a crash leaves from damage to synced
 * records, which is reported by an exception.
 *
 * <p>Start reading with {@link org.umbermount.storage.Disk}, which states what a file system guarantees, then {@link
 * org.umbermount.storage.SyncedDirectory}, which decides when to sync. {@link org.umbermount.storage.DiskWriter} keeps
 * writes off the event loop.
 */
package org.umbermount.storage;
