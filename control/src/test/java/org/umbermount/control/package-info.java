/**
 * Tests of the control plane with several controllers in one process, on a simulated clock, network and disks.
 *
 * <p>Start reading with {@link org.umbermount.control.Fleet}, which starts, stops, cuts off and freezes the
 * controllers. {@code ChainTest} has the ordinary cases, {@code OrdersTest} repeated and racing changes, {@code
 * CutOffTest} network partitions.
 */
package org.umbermount.control;
