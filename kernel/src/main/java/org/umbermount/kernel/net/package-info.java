/**
 * The clock and the messenger on a real event loop and a real UDP socket, with Netty.
 *
 * <p>Messages of any size up to {@link org.umbermount.kernel.Messenger#LARGEST} are split into datagrams that fit an
 * Ethernet frame. Nothing is acknowledged or repeated here: protocols above repeat what matters to them.
 *
 * <p>Start reading with {@link org.umbermount.kernel.net.DatagramMessenger}; the format of a datagram is described at
 * {@link org.umbermount.kernel.net.Fragmentation}.
 */
package org.umbermount.kernel.net;
