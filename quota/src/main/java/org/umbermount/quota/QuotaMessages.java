package org.umbermount.quota;

import java.util.List;
import org.umbermount.control.LeaseManager;
import org.umbermount.kernel.DaemonAddress;
import org.umbermount.kernel.MessagePackCodec;

/** What proxies and controllers say to each other about quotas. */
final class QuotaMessages {
    private QuotaMessages() {}

    /** The duty that counts a tenant. */
    static String dutyOf(String tenant) {
        int h = tenant.hashCode();
        return LeaseManager.QUOTA_DUTIES.get(Math.floorMod(h ^ h >>> 15, LeaseManager.QUOTA_DUTIES.size()));
    }

    /** A proxy's wish for one tenant. */
    record Wish(String tenant, int count) {
        void write(MessagePackCodec.Writer out) {
            out.text(tenant).num(count);
        }

        static Wish read(MessagePackCodec.Reader in) throws MessagePackCodec.UnreadableException {
            return new Wish(in.text(), (int) in.num());
        }
    }

    /** A proxy asks; the stamp is its own clock, the life stands for this run of it, and both come back with the answer. */
    record Ask(long life, long stamp, List<Wish> wishes) {
        byte[] pack() {
            return MessagePackCodec.write()
                    .flag(true)
                    .num(life)
                    .num(stamp)
                    .list(wishes, (o, w) -> w.write(o))
                    .done();
        }

        static Ask read(MessagePackCodec.Reader in) throws MessagePackCodec.UnreadableException {
            return new Ask(in.num(), in.num(), in.list(Wish::read));
        }
    }

    /**
     * What is granted of one wish; a count of -1 if it is kept elsewhere, by the keeper named if that is known.
     * {@code waitMs} is until there is more.
     */
    record Grant(String tenant, int count, long waitMs, DaemonAddress keeper) {
        void write(MessagePackCodec.Writer out) {
            out.text(tenant).num(count).num(waitMs).daemonAddress(keeper);
        }

        static Grant read(MessagePackCodec.Reader in) throws MessagePackCodec.UnreadableException {
            return new Grant(in.text(), (int) in.num(), in.num(), in.daemonAddress());
        }
    }

    /** A controller answers. */
    record Answer(long life, long stamp, List<Grant> grants) {
        byte[] pack() {
            return MessagePackCodec.write()
                    .flag(false)
                    .num(life)
                    .num(stamp)
                    .list(grants, (o, g) -> g.write(o))
                    .done();
        }

        static Answer read(MessagePackCodec.Reader in) throws MessagePackCodec.UnreadableException {
            return new Answer(in.num(), in.num(), in.list(Grant::read));
        }
    }
}
