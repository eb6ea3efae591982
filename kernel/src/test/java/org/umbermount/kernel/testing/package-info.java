/**
 * Replacements of time and network for the tests of all modules, which get them by this module's test jar.
 *
 * <p>Both are deterministic: {@link org.umbermount.kernel.testing.FakeClock} moves only when a test advances it, and
 * {@link org.umbermount.kernel.testing.FakeMessenger} draws delays, losses and duplicates from a seed.
 */
package org.umbermount.kernel.testing;
