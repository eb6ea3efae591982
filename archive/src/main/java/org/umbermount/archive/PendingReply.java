package org.umbermount.archive;

import org.umbermount.kernel.Edition;
import org.umbermount.kernel.Imprint;
import org.umbermount.kernel.Script;

/** A caller who is owed an answer once its order is committed; it goes down the chain with the write. */
record PendingReply(RequestId id, Imprint origin, Edition edition) {
    void write(Script.Writer out) {
        id.write(out);
        out.imprint(origin).num(edition.value());
    }

    static PendingReply read(Script.Reader in) throws Script.UnreadableException {
        return new PendingReply(RequestId.read(in), in.imprint(), new Edition(in.num()));
    }
}
