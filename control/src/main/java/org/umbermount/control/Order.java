package org.umbermount.control;

import org.umbermount.kernel.ConfigurationRevision;
import org.umbermount.kernel.MessagePackCodec;

/** An operator's order: the version it builds on, the number it gives, and the digest of the call. */
public record Order(ConfigurationRevision match, ConfigurationRevision edition, Digest digest) {
    /** Numbers rise strictly: an order that does not rise is refused whatever is current, and was never taken. */
    public boolean rises() {
        return edition.isAfter(match);
    }

    void write(MessagePackCodec.Writer out) {
        out.num(match.value()).num(edition.value());
        digest.write(out);
    }

    static Order read(MessagePackCodec.Reader in) throws MessagePackCodec.UnreadableException {
        return new Order(new ConfigurationRevision(in.num()), new ConfigurationRevision(in.num()), Digest.read(in));
    }

    @Override
    public String toString() {
        return match + " -> " + edition + " (" + digest + ")";
    }
}
