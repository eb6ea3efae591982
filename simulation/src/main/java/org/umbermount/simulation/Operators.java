package org.umbermount.simulation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.umbermount.control.Replica;

/** The operators: what they order and are told, and what must be true of that whoever hears it. */
final class Operators {
    private static final int MOST_AT_ONCE = 8;
    private static final long PATIENCE_MS = 9_000;
    private static final long REMEMBERED_MS = 60_000;

    /** One change as its operator knows it, and as every daemon that was asked has answered it. */
    final class Order {
        final long match;
        final long edition;
        final String text;
        /** The body of the call that changes items of the version before; null if the whole is sent. */
        final String amendment;

        private final long variant;
        final long since = room.now();
        /** Since when the core has been settled without a break while this was asked. */
        long settledSince = since;

        private int tries;
        private int askedLast = -1;
        /** What the operator has heard; null before. */
        Boolean taken;

        boolean givenUp;
        /** When a daemon first said that it is taken, whoever heard that. */
        long takenAt = SimulatedCluster.NEVER;

        boolean refused;

        Order(long match, long edition, long variant) {
            this(match, Content.whole(edition, variant), variant, false);
        }

        private Order(long match, Content content, long variant, boolean amends) {
            this.match = match;
            this.edition = content.edition();
            this.variant = variant;
            this.text = content.text();
            this.amendment = amends ? content.amendment() : null;
            ordered.put(text, content);
        }

        boolean confirmed() {
            return takenAt != SimulatedCluster.NEVER;
        }

        /** Whether any daemon has answered it, though the operator may not have heard that. */
        boolean answered() {
            return confirmed() || refused;
        }

        boolean underWay() {
            return taken == null && !givenUp;
        }

        void ask() {
            if (!underWay()) {
                return;
            }
            if (room.now() - since > PATIENCE_MS) {
                givenUp = true;
                return;
            }
            int mine = ++tries;
            List<Integer> up = room.machines.answering();
            if (up.size() > 1 && room.lenient()) {
                up.remove((Integer) askedLast);
            }
            if (!up.isEmpty()) {
                askedLast = up.get(random.nextInt(up.size()));
                send(askedLast, mine);
            }
            room.later(1_000, () -> {
                if (tries == mine) {
                    ask();
                }
            });
        }

        /** Sends the very same order once more. */
        void repeat() {
            List<Integer> up = room.machines.answering();
            if (!up.isEmpty()) {
                send(up.get(random.nextInt(up.size())), -1);
            }
        }

        private void send(int at, int mine) {
            calls.submit(at, this, v -> {
                said(v, at);
                // A caller that has turned to another daemon does not hear what this one says, and some answers are
                // lost.
                if (lostAnswers > 0 && random.nextDouble() < lostAnswers) {
                    room.note("that answer is lost");
                } else if (tries == mine && underWay()) {
                    taken = v == Replica.Verdict.TAKEN;
                    if (!taken) {
                        read();
                    }
                }
            });
        }

        /** What a daemon says binds, whether or not it is heard. */
        void said(Replica.Verdict verdict, int at) {
            room.note(this + ": " + verdict + " from " + at);
            if (verdict == Replica.Verdict.TAKEN) {
                if (refused) {
                    room.broken(this + " was refused and then confirmed");
                }
                confirm();
            } else {
                if (confirmed()) {
                    room.broken(this + " was confirmed, and its repeat was refused: " + verdict);
                }
                if (text.equals(contents.get(edition))) {
                    room.broken(this + " is in force and was refused: " + verdict);
                }
                refused = true;
                refusedTexts.add(text);
            }
        }

        private void confirm() {
            if (confirmed()) {
                return;
            }
            Order rival = confirmedOn.putIfAbsent(match, this);
            if (rival != null) {
                room.broken("two changes on version " + match + " were confirmed: " + rival + " and " + this);
            }
            takenAt = room.now();
            seen(edition, text, "it was confirmed");
            firstAcknowledged = Math.min(firstAcknowledged, room.now());
            acknowledged = Math.max(acknowledged, edition);
            base = Math.max(base, edition);
            confirmed.add(this);
            Runnable then = onConfirmed;
            onConfirmed = null;
            if (then != null) {
                then.run();
            }
        }

        @Override
        public String toString() {
            return "edition " + edition + " on " + match + " (" + (amendment == null ? "order " : "change ") + variant
                    + ")";
        }
    }

    private final SimulatedCluster room;
    private final Random random;
    private final ControlCalls calls;
    private final List<Order> all = new ArrayList<>();
    private final List<Order> open = new ArrayList<>();
    private final Map<Long, Order> confirmedOn = new HashMap<>();
    /** What each number has been seen to stand for, wherever it was seen. */
    private final Map<Long, String> contents = new HashMap<>();
    /** What each order asks for, by its text. */
    private final Map<String, Content> ordered = new HashMap<>();

    private final Set<String> refusedTexts = new HashSet<>();
    private long acknowledged;
    private long firstAcknowledged = Long.MAX_VALUE / 4;
    private final List<Order> confirmed = new ArrayList<>();
    private long base;
    private long nextEdition = 1;
    private long variants;
    private int reads;
    private int storms;
    private final boolean amending;
    private Runnable onConfirmed;
    /** The part of the answers that get lost on their way to the operator. */
    double lostAnswers;

    /** @param amending whether some orders change items of the version before */
    Operators(SimulatedCluster room, Random random, ControlCalls calls, boolean amending) {
        this.room = room;
        this.random = random;
        this.calls = calls;
        this.amending = amending;
    }

    long acknowledged() {
        return acknowledged;
    }

    long firstAcknowledged() {
        return firstAcknowledged;
    }

    /** The newest version that an operator knows of. */
    long base() {
        return base;
    }

    /** Every order that a daemon has confirmed, in the order in which that was. */
    List<Order> confirmed() {
        return confirmed;
    }

    List<Order> underWay() {
        open.removeIf(o -> !o.underWay());
        return open;
    }

    boolean pending() {
        return !underWay().isEmpty();
    }

    /** The next confirmation does this. */
    void onConfirmed(Runnable then) {
        onConfirmed = then;
    }

    private Order order(long match, long edition, long waitMs) {
        Content base = ordered.get(contents.get(match));
        boolean amends = amending && base != null && random.nextBoolean();
        long variant = variants++;
        Content whole = Content.whole(edition, variant);
        Content content = amends ? base.amended(edition, variant) : room.hasClients() ? whole.withTenant() : whole;
        Order o = new Order(match, content, variant, amends);
        all.add(o);
        open.add(o);
        if (waitMs == 0) {
            o.ask();
        } else {
            room.later(waitMs, o::ask);
        }
        return o;
    }

    /** One change, or several on the same version at once; nothing while others are under way. */
    void change(int how) {
        if (pending()) {
            return;
        }
        long match = base;
        for (int i = 0; i < how; i++) {
            nextEdition = Math.max(nextEdition, base) + 1 + random.nextInt(3);
            order(match, nextEdition, 0);
        }
    }

    /** Several orders on versions known, with numbers that others may choose as well, while others are under way. */
    void many(int how, Random salt) {
        long match = base;
        for (int i = 0; i < how && underWay().size() < MOST_AT_ONCE; i++) {
            long edition = match + 1 + salt.nextInt(3);
            nextEdition = Math.max(nextEdition, edition);
            order(match, edition, salt.nextInt(3) == 0 ? salt.nextInt(400) : 0);
        }
    }

    /** Two operators choose one number for different changes. */
    void clash(Random salt) {
        long edition = base + 1 + salt.nextInt(3);
        nextEdition = Math.max(nextEdition, edition);
        long waitMs = salt.nextBoolean() ? 0 : salt.nextInt(60);
        if (underWay().size() + 2 <= MOST_AT_ONCE) {
            order(base, edition, 0);
            order(base, edition, waitMs);
        }
    }

    /** Changes one upon the other, faster than what is lost is found out. */
    void storm(int left, long gap) {
        storms++;
        goOnStorming(left, gap);
    }

    private void goOnStorming(int left, long gap) {
        change(1);
        if (left > 0) {
            room.later(gap, () -> goOnStorming(left - 1, gap));
        } else {
            storms--;
        }
    }

    /** Whether changes of a storm are still to come. */
    boolean storming() {
        return storms > 0;
    }

    /** Orders of the last minute come again. */
    void repeat(int how, Random salt) {
        int first = all.size();
        while (first > 0 && all.get(first - 1).since > room.now() - REMEMBERED_MS) {
            first--;
        }
        for (int i = 0; i < how && first < all.size(); i++) {
            all.get(first + salt.nextInt(all.size() - first)).repeat();
        }
    }

    /** Takes note of what a number stands for somewhere. */
    void seen(long edition, String text, String where) {
        if (text.equals(contents.get(edition))) {
            return;
        }
        String other = contents.putIfAbsent(edition, text);
        if (other != null) {
            room.broken("edition " + edition + " stands for two contents: " + other + " and, " + where + ", " + text);
        }
        if (refusedTexts.contains(text)) {
            room.broken("edition " + edition + " was refused, and " + where);
        }
        if (!ordered.containsKey(text)) {
            room.broken("nobody ordered edition " + edition + " as it is, and " + where + ": " + text);
        }
    }

    /** Asks a daemon what is in force; whether it answers or not. */
    void read() {
        if (reads <= 3) {
            read(() -> {});
        }
    }

    void read(Runnable done) {
        List<Integer> up = room.machines.answering();
        if (up.isEmpty()) {
            return;
        }
        long least = acknowledged;
        reads++;
        calls.read(
                up.get(random.nextInt(up.size())),
                text -> {
                    reads--;
                    long edition = text.isEmpty() ? 0 : edition(text);
                    if (edition < least) {
                        room.broken("edition " + edition + " was read when " + least + " had been confirmed");
                    }
                    if (edition > 0) {
                        seen(edition, text, "it was read");
                        base = Math.max(base, edition);
                    }
                    done.run();
                },
                () -> reads--);
    }

    private long edition(String text) {
        Content content = ordered.get(text);
        if (content == null) {
            room.broken("nobody ordered what was read: " + text);
        }
        return content.edition();
    }

    /** A change that is refused, for a day that is to be found broken. */
    void refuse(long edition) {
        refusedTexts.add(Content.whole(edition, 0).text());
    }

    /** A second change on the version of the first, for a day that is to be found broken. */
    void confirmTwice() {
        new Order(all.get(0).match, 50, 0).said(Replica.Verdict.TAKEN, 0);
    }
}
