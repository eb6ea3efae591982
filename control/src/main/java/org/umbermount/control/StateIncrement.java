package org.umbermount.control;

import org.umbermount.kernel.MessagePackCodec;

/**
 * One more order on top of a state, as it travels and is written in place of the state that results. It names its base by
 * everything that is in it, so it makes the state that its maker had, or none.
 *
 * @param view the view of the base and of the result
 * @param base the fingerprint of the state that it builds on
 * @param order the order that is taken
 * @param change what becomes of the configuration
 */
record StateIncrement(long view, Digest base, TakenOrders.Taken order, ByteDelta change) {
    void write(MessagePackCodec.Writer out) {
        out.num(view);
        base.write(out);
        order.write(out);
        change.write(out);
    }

    static StateIncrement read(MessagePackCodec.Reader in) throws MessagePackCodec.UnreadableException {
        return new StateIncrement(in.num(), Digest.read(in), TakenOrders.Taken.read(in), ByteDelta.read(in));
    }

    byte[] encoded() {
        MessagePackCodec.Writer out = MessagePackCodec.write();
        write(out);
        return out.done();
    }
}
