package org.umbermount.distribution;

import org.umbermount.kernel.Edition;
import org.umbermount.kernel.Moment;

/** Where a sender learns which edition a majority has confirmed as the newest, and when that was asked. */
interface Vouching {
    Edition edition();

    /** Null while nothing has been confirmed. */
    Moment at();

    /** Nothing is ever vouched for. */
    Vouching NONE = new Vouching() {
        @Override
        public Edition edition() {
            return Edition.NONE;
        }

        @Override
        public Moment at() {
            return null;
        }
    };
}
