package org.umbermount.control;

import org.umbermount.kernel.MessagePackCodec;

/** What is agreed on: the next view, and the state that it starts from. */
public record Proposal(View view, ConfigurationState base) {
    void write(MessagePackCodec.Writer out) {
        view.write(out);
        base.write(out);
    }

    static Proposal read(MessagePackCodec.Reader in) throws MessagePackCodec.UnreadableException {
        return new Proposal(View.read(in), ConfigurationState.read(in));
    }
}
