package org.umbermount.control;

/**
 * Decides whether a state goes to disk whole or as an increment on what the disk holds. Invariant: what the disk holds is a
 * whole state and the increments that were written since, each built on the one before. A process begins with a whole state.
 */
final class StateJournal {
    /** A start plays them back. */
    static final int MOST_INCREMENTS = 64;
    /** So much may always be added; beyond it, half of the whole state's length. */
    private static final int LENGTH_ALLOWANCE = 4 << 10;
    /** What a remembered order takes on disk, about. */
    private static final int ORDER_LENGTH = 20;

    private final StateIncrements increments;
    private int written = MOST_INCREMENTS;
    private long writtenLength;

    StateJournal(StateIncrements increments) {
        this.increments = increments;
    }

    /** The increment to write for the change from one state to the next, or null to write it whole. */
    StateIncrement next(ConfigurationState onDisk, ConfigurationState next) {
        if (onDisk == next || written >= MOST_INCREMENTS) {
            return null;
        }
        StateIncrement increment = increments.between(onDisk, next);
        boolean worthIt = increment != null && writtenLength + increment.encoded().length <= lengthAllowed(next);
        return worthIt ? increment : null;
    }

    private static long lengthAllowed(ConfigurationState state) {
        return LENGTH_ALLOWANCE
                + (state.blob().length
                                + (long) ORDER_LENGTH * state.taken().entries().size())
                        / 2;
    }

    /** The increment is on disk. */
    void incrementWritten(StateIncrement increment) {
        written++;
        writtenLength += increment.encoded().length;
    }

    /** A whole state is on disk. */
    void stateWritten() {
        written = 0;
        writtenLength = 0;
    }
}
