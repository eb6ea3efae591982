package org.umbermount.control;

import org.umbermount.kernel.ConfigurationRevision;
import org.umbermount.kernel.DaemonAddress;
import org.umbermount.kernel.MessagePackCodec;

/** A caller who is owed an answer once its order is committed; it goes down the chain with the write. */
record PendingReply(RequestId id, DaemonAddress origin, ConfigurationRevision edition) {
    void write(MessagePackCodec.Writer out) {
        id.write(out);
        out.daemonAddress(origin).num(edition.value());
    }

    static PendingReply read(MessagePackCodec.Reader in) throws MessagePackCodec.UnreadableException {
        return new PendingReply(RequestId.read(in), in.daemonAddress(), new ConfigurationRevision(in.num()));
    }
}
