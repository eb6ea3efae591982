package org.umbermount.kernel;

/** What a process is for. */
public enum Role {
    /** Carries traffic. */
    PROXY,
    /** Knows servers and daemons, holds the configuration and delivers it. */
    CONTROLLER;

    /** The offset of the role's datagram port in the internal range. */
    public int portOffset() {
        return this == CONTROLLER ? 0 : 1;
    }
}
