package org.umbermount.control;

import org.umbermount.kernel.DaemonAddress;
import org.umbermount.kernel.MessagePackCodec;

/**
 * How far a daemon holds the operation records: the view in which it took part last, its position there, and the
 * daemon that is there. The further of two marks holds all that was acknowledged up to the nearer one.
 */
public record OperationLogPosition(long view, long pos, DaemonAddress holder) {
    public static final OperationLogPosition NONE = new OperationLogPosition(0, 0, DaemonAddress.NONE);

    /** Whether this position is later: by view first, then by position within the view. */
    public boolean isBeyond(OperationLogPosition other) {
        return view != other.view ? view > other.view : pos > other.pos;
    }

    /** Whether both name the same place in the log, whichever daemon holds it. */
    public boolean sameAs(OperationLogPosition other) {
        return view == other.view && pos == other.pos;
    }

    /** Writes the position into a message. */
    public void write(MessagePackCodec.Writer out) {
        out.num(view).num(pos).daemonAddress(holder);
    }

    /** Reads a position from a message. */
    public static OperationLogPosition read(MessagePackCodec.Reader in) throws MessagePackCodec.UnreadableException {
        return new OperationLogPosition(in.num(), in.num(), in.daemonAddress());
    }
}
