/**
 * A deterministic simulation of the control side: controllers, the delivery of tables and proxies run as they are, on a
 * clock, a network and disks that are simulated. Days are drawn from a seed and checked after every step. Start reading
 * at {@link org.umbermount.simulation.SimulatedCluster}; docs/control-simulation.md has the profiles and the checks.
 */
package org.umbermount.simulation;
