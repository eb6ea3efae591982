package org.umbermount.kernel;

/** A clock of the machine that runs on while processes end and start, and that nobody sets. */
public interface MachineUptime {
    /** Which start of the machine the time is counted from; empty if that cannot be told. */
    String bootId();

    /** Milliseconds since that start. */
    long millis();
}
