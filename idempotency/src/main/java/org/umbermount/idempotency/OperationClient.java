package org.umbermount.idempotency;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Supplier;
import org.umbermount.kernel.Clock;
import org.umbermount.kernel.DaemonAddress;
import org.umbermount.kernel.MessagePackCodec;
import org.umbermount.kernel.Messenger;
import org.umbermount.kernel.Metrics;
import org.umbermount.kernel.MonotonicTime;

/** A proxy's side of the operation records: claims operations for tries, and closes what was claimed. */
public final class OperationClient {
    private static final long REPEAT_MS = 70;
    private static final long CLOSE_FIRST_MS = 150;
    private static final long CLOSE_LONGEST_MS = 1_200;
    private static final long CLOSE_MS = 30_000;
    /** The largest answer that is kept for repeats. */
    public static final int LARGEST_ANSWER = 64 << 10;

    private static final byte[] NOTHING = new byte[0];

    /** How a claimed operation ended. */
    public enum End {
        /** It ran and was answered. */
        ANSWERED(OperationRecord.Kind.ANSWER),
        /** It has not run and will not. */
        RELEASED(OperationRecord.Kind.RELEASE),
        /** It may have run. */
        UNKNOWN(OperationRecord.Kind.END);

        private final OperationRecord.Kind kind;

        End(OperationRecord.Kind kind) {
            this.kind = kind;
        }
    }

    /** What became of a claim; exactly one is called, once. */
    public interface Outcome {
        /** The try may run, and nobody else may until it is closed. */
        void granted();

        /** The operation has run before, and this was its answer. */
        void answered(byte[] answer);

        /** Another try is at work on it. */
        void busy();

        /** It may have run before, and its answer is lost. */
        void unknown();

        /** The records cannot be reached in time. The try must not run. */
        void unavailable();
    }

    /** One try's claim. */
    public final class Ticket {
        private final long serial;
        private final OperationKey key;
        private final boolean mayRepeat;
        private final MonotonicTime since;
        private final MonotonicTime until;
        private Outcome outcome;
        private End end;
        private byte[] answer = NOTHING;
        private int asks;
        private long pause = CLOSE_FIRST_MS;
        private Clock.Cancellable timer;

        private Ticket(OperationKey key, boolean mayRepeat, Outcome outcome, long patienceMs) {
            this.serial = nextSerial++;
            this.key = key;
            this.mayRepeat = mayRepeat;
            this.outcome = outcome;
            this.since = clock.now();
            this.until = since.plus(patienceMs);
        }

        /** Gives a granted claim back, or says how it ended. */
        public void close(End how, byte[] kept) {
            if (end != null) {
                return;
            }
            outcome = null;
            if (timer != null) {
                timer.cancel();
            }
            boolean fits = kept.length <= LARGEST_ANSWER;
            end = how == End.ANSWERED && !fits ? End.UNKNOWN : how;
            answer = end == End.ANSWERED ? kept : NOTHING;
            closing++;
            tellClose();
        }

        private void ask() {
            MonotonicTime now = clock.now();
            if (outcome == null) {
                return;
            }
            if (!now.isBefore(until)) {
                Outcome told = outcome;
                metrics.count("idempotency.claims.unavailable");
                // The claim may be on its way: until it is given back for certain, no other try may run.
                close(End.RELEASED, NOTHING);
                told.unavailable();
                return;
            }
            DaemonAddress to = target(asks++);
            if (to != null) {
                messenger.send(
                        to,
                        Messenger.Topic.LOAN,
                        message(OperationKeeper.Message.CLAIM).flag(mayRepeat).done());
            }
            timer = clock.after(Math.max(1, Math.min(REPEAT_MS, until.since(now))), this::ask);
        }

        /** The head of a message about this operation. */
        private MessagePackCodec.Writer message(OperationKeeper.Message kind) {
            return MessagePackCodec.write()
                    .num(kind.ordinal())
                    .num(serial)
                    .num(key.high())
                    .num(key.low());
        }

        private void tellClose() {
            MonotonicTime now = clock.now();
            if (now.since(since) > CLOSE_MS) {
                metrics.count("idempotency.closes.abandoned");
                forget();
                return;
            }
            DaemonAddress to = target(asks++);
            if (to != null) {
                messenger.send(
                        to,
                        Messenger.Topic.LOAN,
                        message(OperationKeeper.Message.CLOSE)
                                .num(end.kind.ordinal())
                                .bytes(answer)
                                .done());
            }
            timer = clock.after(pause, this::tellClose);
            pause = Math.min(CLOSE_LONGEST_MS, pause * 2);
        }

        private void forget() {
            if (timer != null) {
                timer.cancel();
            }
            if (tickets.remove(serial) != null && end != null) {
                closing--;
            }
        }

        private void replied(OperationKeeper.Reply reply, byte[] payload) throws MessagePackCodec.UnreadableException {
            if (reply == OperationKeeper.Reply.ELSEWHERE) {
                DaemonAddress better = MessagePackCodec.read(payload).daemonAddress();
                boolean news = !better.equals(hint);
                if (!better.equals(DaemonAddress.NONE)) {
                    hint = better;
                    if (news && (outcome != null || end != null)) {
                        timer.cancel();
                        asks = 0;
                        if (end != null) {
                            tellClose();
                        } else {
                            ask();
                        }
                    }
                }
                return;
            }
            if (end != null) {
                if (reply == OperationKeeper.Reply.STORED) {
                    forget();
                }
                return;
            }
            if (outcome == null) {
                return;
            }
            Outcome told = outcome;
            outcome = null;
            timer.cancel();
            switch (reply) {
                case GRANTED -> told.granted();
                case ANSWERED -> {
                    forget();
                    told.answered(payload);
                }
                case BUSY -> {
                    forget();
                    told.busy();
                }
                case UNKNOWN -> {
                    forget();
                    told.unknown();
                }
                default -> outcome = told;
            }
        }
    }

    private final Clock clock;
    private final Messenger messenger;
    private final Metrics metrics;
    private final Supplier<List<DaemonAddress>> controllers;
    private final Map<Long, Ticket> tickets = new HashMap<>();
    private DaemonAddress head;
    private DaemonAddress hint;
    private long nextSerial;
    private int closing;

    /** @param controllers the controllers known, for when the head is not */
    public OperationClient(
            Clock clock,
            Messenger messenger,
            Metrics metrics,
            Random random,
            Supplier<List<DaemonAddress>> controllers) {
        this.clock = clock;
        this.messenger = messenger;
        this.metrics = metrics;
        this.controllers = controllers;
        this.nextSerial = random.nextLong() >>> 1;
        messenger.subscribe(Messenger.Topic.LOAN, this::receive);
        metrics.gauge("idempotency.open", tickets::size);
    }

    /** Where the table says that claims go. */
    public void head(DaemonAddress now) {
        if (now != null && !now.equals(head)) {
            head = now;
            hint = null;
        }
    }

    private DaemonAddress target(int turn) {
        if (turn % 3 < 2 && hint != null) {
            return hint;
        }
        if (turn % 3 < 2 && head != null) {
            return head;
        }
        List<DaemonAddress> known = controllers.get();
        return known.isEmpty() ? head : known.get(turn % known.size());
    }

    /** Claims an operation for a new try. */
    public Ticket claim(OperationKey key, boolean mayRepeat, long patienceMs, Outcome outcome) {
        Ticket ticket = new Ticket(key, mayRepeat, outcome, patienceMs);
        tickets.put(ticket.serial, ticket);
        metrics.count("idempotency.claims");
        ticket.ask();
        return ticket;
    }

    /** How many ends have not been noted yet. */
    public int closing() {
        return closing;
    }

    private void receive(DaemonAddress from, byte[] body) throws MessagePackCodec.UnreadableException {
        MessagePackCodec.Reader in = MessagePackCodec.read(body);
        if (in.num() != OperationKeeper.Message.REPLY.ordinal()) {
            return;
        }
        Ticket ticket = tickets.get(in.num());
        int reply = (int) in.num();
        byte[] payload = in.bytes();
        if (ticket != null && reply >= 0 && reply < OperationKeeper.Reply.values().length) {
            ticket.replied(OperationKeeper.Reply.values()[reply], payload);
        }
    }
}
