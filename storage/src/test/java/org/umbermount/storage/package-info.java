/**
 * Tests of the file formats on a disk that loses power, tears writes, fills up or damages sectors.
 *
 * <p>Start reading with {@code DurabilityTest}, which ends the process at each call of the file system in turn.
 */
package org.umbermount.storage;
