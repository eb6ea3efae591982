/**
 * Tests of operation records with several controllers on simulated clock, network and disks: repeats, lost members of
 * the chain, restarts, and records that are old enough to be dropped.
 */
package org.umbermount.idempotency;
