package org.umbermount.distribution;

import org.umbermount.kernel.ConfigurationRevision;
import org.umbermount.kernel.MonotonicTime;

/** Where a sender learns which edition a majority has confirmed as the newest, and when that was asked. */
interface TableFreshness {
    ConfigurationRevision edition();

    /** Null while nothing has been confirmed. */
    MonotonicTime at();

    /** Nothing is ever vouched for. */
    TableFreshness NONE = new TableFreshness() {
        @Override
        public ConfigurationRevision edition() {
            return ConfigurationRevision.NONE;
        }

        @Override
        public MonotonicTime at() {
            return null;
        }
    };
}
