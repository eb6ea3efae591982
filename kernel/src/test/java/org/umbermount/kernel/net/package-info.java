/**
 * Tests of the datagram format: fragments that are lost, repeated, reordered or of different sender processes.
 */
package org.umbermount.kernel.net;
