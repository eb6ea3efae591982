package org.umbermount.membership;

import org.umbermount.kernel.Imprint;
import org.umbermount.kernel.Role;
import org.umbermount.kernel.Script;

/** What one daemon tells of itself: where it is, what it is for, its zone, and how old the news is in rounds. */
public record Placename(Imprint imprint, Role role, String zone, int age) {
    public Placename older() {
        return new Placename(imprint, role, zone, age + 1);
    }

    public Placename fresh() {
        return new Placename(imprint, role, zone, 0);
    }

    void write(Script.Writer out) {
        out.imprint(imprint).num(role.ordinal()).text(zone).num(age);
    }

    static Placename read(Script.Reader in) throws Script.UnreadableException {
        Imprint imprint = in.imprint();
        long role = in.num();
        if (role < 0 || role >= Role.values().length) {
            throw new Script.UnreadableException("an unknown role", null);
        }
        return new Placename(imprint, Role.values()[(int) role], in.text(), (int) in.num());
    }
}
