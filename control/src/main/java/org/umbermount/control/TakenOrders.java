package org.umbermount.control;

import java.util.ArrayList;
import java.util.List;
import org.umbermount.kernel.ConfigurationRevision;
import org.umbermount.kernel.MessagePackCodec;
import org.umbermount.kernel.Safeguard;

/**
 * The orders that were taken last, oldest first, and the floor: the newest number that was taken and is no longer told apart.
 * Numbers rise strictly, so an order above the floor that is not here was never taken. Nothing is said of one at or below it.
 */
public record TakenOrders(ConfigurationRevision floor, List<Taken> entries) {
    public static final TakenOrders NONE = new TakenOrders(ConfigurationRevision.NONE, List.of());
    /** Some 10 KB. Hundreds of changes are made in a day. */
    static final int REMEMBERED = 512;

    /** The number that a taken order gave, and the digest of its call. It was built on the number before it. */
    public record Taken(ConfigurationRevision edition, Digest digest) {
        void write(MessagePackCodec.Writer out) {
            out.num(edition.value());
            digest.write(out);
        }

        static Taken read(MessagePackCodec.Reader in) throws MessagePackCodec.UnreadableException {
            return new Taken(new ConfigurationRevision(in.num()), Digest.read(in));
        }
    }

    /** What is known of an order. */
    public enum Finding {
        /** This very order was taken. */
        TAKEN,
        /** This very order was not taken on top of anything up to the newest number here. */
        NOT_TAKEN,
        /** It is too old to tell, or the same call was taken on top of another version. No answer is right for sure. */
        UNCLEAR
    }

    /** Copies the list, so that a record of orders never changes. */
    public TakenOrders {
        entries = List.copyOf(entries);
    }

    TakenOrders with(Taken next) {
        if (!next.edition().isAfter(newest())) {
            throw new IllegalArgumentException("Number " + next.edition() + " is not above " + newest() + ".");
        }
        int drop = Math.max(0, entries.size() + 1 - REMEMBERED);
        List<Taken> more = new ArrayList<>(entries.subList(drop, entries.size()));
        more.add(next);
        return new TakenOrders(drop == 0 ? floor : entries.get(drop - 1).edition(), more);
    }

    /** The newest number that was taken. */
    ConfigurationRevision newest() {
        return entries.isEmpty() ? floor : entries.get(entries.size() - 1).edition();
    }

    Digest newestDigest() {
        return entries.isEmpty() ? Digest.NONE : newestTaken().digest();
    }

    /** The order that was taken last, or null if none is remembered. */
    Taken newestTaken() {
        return entries.isEmpty() ? null : entries.get(entries.size() - 1);
    }

    /** Says whether an order was taken, as far as the remembered orders can tell. */
    public Finding find(Order order) {
        if (!order.edition().isAfter(floor)) {
            return Safeguard.FLOOR_RESPECTED.holds() ? Finding.UNCLEAR : Finding.NOT_TAKEN;
        }
        ConfigurationRevision base = floor;
        for (Taken t : entries) {
            if (t.edition().equals(order.edition())) {
                if (!t.digest().equals(order.digest()) && Safeguard.DIGEST_COMPARED.holds()) {
                    return Finding.NOT_TAKEN;
                }
                return base.equals(order.match()) ? Finding.TAKEN : Finding.UNCLEAR;
            }
            base = t.edition();
        }
        return Finding.NOT_TAKEN;
    }

    void write(MessagePackCodec.Writer out) {
        out.num(floor.value()).num(entries.size());
        ConfigurationRevision base = floor;
        for (Taken t : entries) {
            // The step, since small numbers take fewer bytes.
            out.num(t.edition().value() - base.value());
            t.digest().write(out);
            base = t.edition();
        }
    }

    static TakenOrders read(MessagePackCodec.Reader in) throws MessagePackCodec.UnreadableException {
        ConfigurationRevision floor = new ConfigurationRevision(in.num());
        long size = in.num();
        if (floor.value() < 0 || size < 0 || size > REMEMBERED) {
            throw new MessagePackCodec.UnreadableException("the orders that were taken are out of bounds", null);
        }
        List<Taken> entries = new ArrayList<>();
        ConfigurationRevision base = floor;
        for (int i = 0; i < size; i++) {
            long step = in.num();
            ConfigurationRevision next = new ConfigurationRevision(base.value() + step);
            if (step <= 0 || !next.isAfter(base)) {
                throw new MessagePackCodec.UnreadableException("the numbers that were taken do not rise", null);
            }
            entries.add(new Taken(next, Digest.read(in)));
            base = next;
        }
        return new TakenOrders(floor, entries);
    }
}
