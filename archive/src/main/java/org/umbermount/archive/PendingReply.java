package org.umbermount.archive;

import org.umbermount.kernel.Edition;
import org.umbermount.kernel.Imprint;
import org.umbermount.kernel.Script;

/** A caller who is owed an answer once an edition is committed; it goes down the chain with the write. */
record PendingReply(long id, Imprint origin, Edition edition) {
    void write(Script.Writer out) {
        out.num(id).imprint(origin).num(edition.value());
    }

    static PendingReply read(Script.Reader in) throws Script.UnreadableException {
        return new PendingReply(in.num(), in.imprint(), new Edition(in.num()));
    }
}
