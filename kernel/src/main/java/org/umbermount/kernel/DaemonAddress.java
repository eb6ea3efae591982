package org.umbermount.kernel;

import java.net.InetSocketAddress;

/** Where a daemon receives internal datagrams: an IPv4 address and a port. This is also the daemon's id. */
public record DaemonAddress(int ip, int port) implements Comparable<DaemonAddress> {
    // Written out for the small types that serve as keys: what a record makes itself is put together anew at each
    // start.
    @Override
    public boolean equals(Object o) {
        return o instanceof DaemonAddress other && ip == other.ip && port == other.port;
    }

    @Override
    public int hashCode() {
        return ip * 31 + port;
    }

    public static final DaemonAddress NONE = new DaemonAddress(0, 0);

    public static DaemonAddress of(InetSocketAddress address) {
        byte[] b = address.getAddress().getAddress();
        return new DaemonAddress(
                (b[0] & 255) << 24 | (b[1] & 255) << 16 | (b[2] & 255) << 8 | b[3] & 255, address.getPort());
    }

    /** Reads {@code a.b.c.d:port}; names are not looked up. */
    public static DaemonAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        String[] parts = colon < 0 ? new String[0] : text.substring(0, colon).split("\\.", -1);
        if (parts.length != 4) {
            throw new IllegalArgumentException("not an IPv4 address with a port: " + text);
        }
        int ip = 0;
        for (String part : parts) {
            int octet = Integer.parseInt(part);
            if (octet < 0 || octet > 255) {
                throw new IllegalArgumentException("not an IPv4 address with a port: " + text);
            }
            ip = ip << 8 | octet;
        }
        int port = Integer.parseInt(text.substring(colon + 1));
        if (port < 1 || port > 65535) {
            throw new IllegalArgumentException("port out of range: " + text);
        }
        return new DaemonAddress(ip, port);
    }

    public String host() {
        return (ip >>> 24) + "." + (ip >> 16 & 255) + "." + (ip >> 8 & 255) + "." + (ip & 255);
    }

    public InetSocketAddress socketAddress() {
        try {
            byte[] b = {(byte) (ip >>> 24), (byte) (ip >> 16), (byte) (ip >> 8), (byte) ip};
            return new InetSocketAddress(java.net.InetAddress.getByAddress(b), port);
        } catch (java.net.UnknownHostException e) {
            throw new IllegalStateException(e);
        }
    }

    public DaemonAddress withPort(int other) {
        return new DaemonAddress(ip, other);
    }

    /** Both halves in one number, as sent between daemons. */
    public long packed() {
        return (ip & 0xffffffffL) << 16 | port;
    }

    public static DaemonAddress unpack(long packed) {
        return new DaemonAddress((int) (packed >>> 16), (int) (packed & 0xffff));
    }

    @Override
    public int compareTo(DaemonAddress other) {
        return Long.compare(packed(), other.packed());
    }

    @Override
    public String toString() {
        return host() + ":" + port;
    }
}
