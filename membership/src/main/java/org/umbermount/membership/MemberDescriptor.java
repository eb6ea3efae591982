package org.umbermount.membership;

import org.umbermount.kernel.DaemonAddress;
import org.umbermount.kernel.MessagePackCodec;
import org.umbermount.kernel.Role;

/** What one daemon tells of itself: where it is, what it is for, its zone, and how old the news is in rounds. */
public record MemberDescriptor(DaemonAddress daemonAddress, Role role, String zone, int age) {
    /** The same descriptor, one round older. */
    public MemberDescriptor older() {
        return new MemberDescriptor(daemonAddress, role, zone, age + 1);
    }

    /** The same descriptor with age 0, as its own daemon sends it. */
    public MemberDescriptor fresh() {
        return new MemberDescriptor(daemonAddress, role, zone, 0);
    }

    void write(MessagePackCodec.Writer out) {
        out.daemonAddress(daemonAddress).num(role.ordinal()).text(zone).num(age);
    }

    static MemberDescriptor read(MessagePackCodec.Reader in) throws MessagePackCodec.UnreadableException {
        DaemonAddress daemonAddress = in.daemonAddress();
        long role = in.num();
        if (role < 0 || role >= Role.values().length) {
            throw new MessagePackCodec.UnreadableException("an unknown role", null);
        }
        return new MemberDescriptor(daemonAddress, Role.values()[(int) role], in.text(), (int) in.num());
    }
}
