/**
 * Tests of delivery: sender and receiver of the state synchronization protocol ({@code StateSynchronizationTest}), the
 * plug-ins around them, and the fences between senders. The module {@code simulation} plays them with the whole control
 * side.
 */
package org.umbermount.distribution;
