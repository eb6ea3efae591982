package org.umbermount.control;

import org.umbermount.kernel.Script;

/** What is agreed on: the next view, and the state that it starts from. */
public record Proposal(View view, ConfigurationState base) {
    void write(Script.Writer out) {
        view.write(out);
        base.write(out);
    }

    static Proposal read(Script.Reader in) throws Script.UnreadableException {
        return new Proposal(View.read(in), ConfigurationState.read(in));
    }
}
