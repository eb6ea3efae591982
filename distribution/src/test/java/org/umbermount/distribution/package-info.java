/**
 * Tests of delivery, alone ({@code StateSynchronizationTest}) and together with the whole control plane ({@code
 * ConfigurationHoldsTest}).
 *
 * <p>The latter draws random faults from a seed, checks invariants after every step, and shortens the sequence of
 * faults that breaks one. {@link org.umbermount.distribution.Simulation} runs the same from the command line; see
 * {@code docs/control-simulation.md}.
 */
package org.umbermount.distribution;
