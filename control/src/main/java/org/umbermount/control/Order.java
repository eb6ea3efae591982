package org.umbermount.control;

import org.umbermount.kernel.Edition;
import org.umbermount.kernel.Script;

/** An operator's order: the version it builds on, the number it gives, and the digest of the call. */
public record Order(Edition match, Edition edition, Digest digest) {
    /** Numbers rise strictly: an order that does not rise is refused whatever is current, and was never taken. */
    public boolean rises() {
        return edition.isAfter(match);
    }

    void write(Script.Writer out) {
        out.num(match.value()).num(edition.value());
        digest.write(out);
    }

    static Order read(Script.Reader in) throws Script.UnreadableException {
        return new Order(new Edition(in.num()), new Edition(in.num()), Digest.read(in));
    }

    @Override
    public String toString() {
        return match + " -> " + edition + " (" + digest + ")";
    }
}
