package org.umbermount.control;

/** Something that is kept beside the configuration under the same views. */
public interface CompanionState {
    /** How far this daemon holds it on disk. While a promise freezes this daemon the mark does not move. */
    OperationLogPosition mark();

    /** A view has come into force here. */
    void adopted(View view);

    /** This daemon's memory was lost: fetches everything up to the mark from its holder. */
    void rebuild(OperationLogPosition upTo, Runnable done);

    /** The newest view in which this daemon holds everything. */
    long settledView();

    /** Whether the disk keeps up. */
    boolean diskGood(long patienceMs);

    /** Nothing is kept beside the configuration. */
    CompanionState NONE = new CompanionState() {
        @Override
        public OperationLogPosition mark() {
            return OperationLogPosition.NONE;
        }

        @Override
        public void adopted(View view) {}

        @Override
        public void rebuild(OperationLogPosition upTo, Runnable done) {
            done.run();
        }

        @Override
        public long settledView() {
            return Long.MAX_VALUE;
        }

        @Override
        public boolean diskGood(long patienceMs) {
            return true;
        }
    };
}
