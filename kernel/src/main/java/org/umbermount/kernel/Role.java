package org.umbermount.kernel;

/** What a process is for. */
public enum Role {
    /** Carries traffic. */
    LECTOR,
    /** Knows servers and daemons, holds the configuration and delivers it. */
    REGISTRAR;

    /** The offset of the role's datagram port in the internal range. */
    public int portOffset() {
        return this == REGISTRAR ? 0 : 1;
    }
}
