package org.umbermount.distribution;

import org.umbermount.kernel.MessagePackCodec;

/**
 * One instruction. From sender to proxy it builds state {@code newNum} from {@code oldNum}; with an empty
 * difference it says only that the sender is there. From proxy to sender it is a bare acknowledgment.
 *
 * @param epoch the lease epoch of the sender; 0 for a baseline from a daemon that holds no lease
 * @param life which life of the proxy this is for, or 0 if the sender does not know it yet
 * @param stamp the sending clock's low bits, echoed by the other side
 * @param echo the last stamp received, adjusted by how long it was kept; -1 if there is none
 * @param vouched the edition that a majority has confirmed as the newest one taken; -1 if nothing is said of it
 * @param vouchAge how long ago that confirmation was asked for
 */
record Instruction(
        long epoch,
        long life,
        long oldNum,
        long newNum,
        long ackNum,
        long throwawayNum,
        long stamp,
        long echo,
        RoutingTable.Difference difference,
        long vouched,
        long vouchAge) {

    Instruction(
            long epoch,
            long life,
            long oldNum,
            long newNum,
            long ackNum,
            long throwawayNum,
            long stamp,
            long echo,
            RoutingTable.Difference difference) {
        this(epoch, life, oldNum, newNum, ackNum, throwawayNum, stamp, echo, difference, -1, 0);
    }

    byte[] pack() {
        MessagePackCodec.Writer out = MessagePackCodec.write()
                .num(epoch)
                .num(life)
                .num(oldNum)
                .num(newNum)
                .num(ackNum)
                .num(throwawayNum)
                .num(stamp)
                .num(echo)
                .num(vouched)
                .num(vouchAge);
        out.flag(difference != null);
        if (difference != null) {
            difference.write(out);
        }
        return out.done();
    }

    static Instruction unpack(byte[] body) throws MessagePackCodec.UnreadableException {
        MessagePackCodec.Reader in = MessagePackCodec.read(body);
        long epoch = in.num();
        long life = in.num();
        long oldNum = in.num();
        long newNum = in.num();
        long ackNum = in.num();
        long throwaway = in.num();
        long stamp = in.num();
        long echo = in.num();
        long vouched = in.num();
        long age = in.num();
        return new Instruction(
                epoch,
                life,
                oldNum,
                newNum,
                ackNum,
                throwaway,
                stamp,
                echo,
                in.flag() ? RoutingTable.Difference.read(in) : null,
                vouched,
                age);
    }
}
