/**
 * Delivery of the routing table from the controller that holds a zone's lease to the zone's proxies.
 *
 * <p>Sender and receiver keep numbered states and exchange differences between them, as the State Synchronization
 * Protocol does (K. Winstein, H. Balakrishnan, "Mosh: An Interactive Remote Shell for Mobile Clients", USENIX ATC
 * 2012, section 2): an instruction carries the number of the state that it starts from and of the one that it makes,
 * is idempotent, and is not retransmitted; a later one to the newest state takes its place. The timeout follows RFC
 * 6298 ({@code RoundTrip}). Beyond the paper, an epoch fences off senders that have lost their lease, and {@link
 * org.umbermount.distribution.TableFreshness} says until when a table counts as current.
 *
 * <p>Start reading with {@link org.umbermount.distribution.Instruction}, then {@code StateSender} and {@link
 * org.umbermount.distribution.StateReceiver}; the plug-ins connect them to the control plane and to the proxy.
 */
package org.umbermount.distribution;
