package org.umbermount.control;

import org.umbermount.kernel.Script;

/** Names a question: the life of the process that asked, which no other life shares, and a number within it. */
record RequestId(long life, long number) {
    void write(Script.Writer out) {
        out.num(life).num(number);
    }

    static RequestId read(Script.Reader in) throws Script.UnreadableException {
        return new RequestId(in.num(), in.num());
    }
}
