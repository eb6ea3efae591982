package org.umbermount.control;

import org.umbermount.kernel.MessagePackCodec;

/** Names a question: the life of the process that asked, which no other life shares, and a number within it. */
record RequestId(long life, long number) {
    void write(MessagePackCodec.Writer out) {
        out.num(life).num(number);
    }

    static RequestId read(MessagePackCodec.Reader in) throws MessagePackCodec.UnreadableException {
        return new RequestId(in.num(), in.num());
    }
}
