package org.umbermount.distribution;

import org.umbermount.kernel.DaemonAddress;
import org.umbermount.kernel.MessagePackCodec;

/**
 * What a proxy says to controllers: which life and zone it is, whether it holds a table, and whether its table
 * wants vouching for; the stamp is for measuring. Controllers learn from it whom to send to.
 */
record ProxyAnnouncer(long life, String zone, boolean empty, boolean wantsVoucher, long edition, long stamp) {
    byte[] pack() {
        return MessagePackCodec.write()
                .num(life)
                .text(zone)
                .flag(empty)
                .flag(wantsVoucher)
                .num(edition)
                .num(stamp)
                .done();
    }

    static ProxyAnnouncer unpack(byte[] body) throws MessagePackCodec.UnreadableException {
        MessagePackCodec.Reader in = MessagePackCodec.read(body);
        return new ProxyAnnouncer(in.num(), in.text(), in.flag(), in.flag(), in.num(), in.num());
    }

    /** A proxy as the controllers know it. */
    record Proxy(DaemonAddress daemonAddress, String zone, long life) {}
}
