package org.umbermount.archive;

import org.umbermount.kernel.Imprint;
import org.umbermount.kernel.Script;

/** A voter: where it is, and which incarnation of its memory is meant. */
public record Fellow(Imprint imprint, long incarnation) {
    void write(Script.Writer out) {
        out.imprint(imprint).num(incarnation);
    }

    static Fellow read(Script.Reader in) throws Script.UnreadableException {
        return new Fellow(in.imprint(), in.num());
    }
}
