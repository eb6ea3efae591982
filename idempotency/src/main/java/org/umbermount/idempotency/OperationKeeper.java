package org.umbermount.idempotency;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.umbermount.control.CompanionState;
import org.umbermount.control.OperationLogPosition;
import org.umbermount.control.Replica;
import org.umbermount.control.View;
import org.umbermount.kernel.Clock;
import org.umbermount.kernel.DaemonAddress;
import org.umbermount.kernel.MessagePackCodec;
import org.umbermount.kernel.Messenger;
import org.umbermount.kernel.Metrics;
import org.umbermount.kernel.MonotonicTime;
import org.umbermount.kernel.Safeguard;
import org.umbermount.storage.DiskTasks;
import org.umbermount.storage.SegmentedLog;

/**
 * One member of the line that keeps operation records: the first members of the view's chain. Tries claim at the
 * head; each member writes the entries and passes them on; the tail answers. See docs/idempotency.md.
 */
public final class OperationKeeper implements CompanionState {
    private static final Logger LOG = LoggerFactory.getLogger("idempotency");
    private static final long LOOK_MS = 40;
    /** In place of a segment's number: the disk has not taken the records. */
    private static final int REFUSED = -1;

    private static final long GATHER_MS = 6;
    private static final long REPEAT_MS = 90;
    private static final long FETCH_MS = 200;
    /** After so long a question to the voters counts as lost. */
    private static final long CONFIRM_MS = 60;

    private static final int PASS_BYTES = 48 << 10;
    private static final int PORTION_BYTES = 256 << 10;
    /** After so long a claim that was not closed cannot be at work any more. */
    static final long LONGEST_WORK_MS = 20_000;

    /** What daemons say about operation records. */
    enum Message {
        CLAIM,
        CLOSE,
        REPLY,
        PASS,
        ACK,
        FETCH,
        PORTION,
        PEEK
    }

    /** What a proxy is told. */
    enum Reply {
        GRANTED,
        ANSWERED,
        BUSY,
        UNKNOWN,
        STORED,
        ELSEWHERE,
        AGAIN
    }

    private final Clock clock;
    private final Messenger messenger;
    private final Replica replica;
    private final SegmentedLog ledger;
    private final OperationStore book;
    private final DiskTasks disk;
    private final int tolerated;
    private final long keepMs;
    private final long mostBytes;
    private final Metrics metrics;

    // The disk.
    private List<OperationRecord> queue = new ArrayList<>();
    private final Map<Integer, MonotonicTime> segmentWritten = new HashMap<>();
    private boolean writing;
    private boolean gathering;
    private MonotonicTime writeBegan = MonotonicTime.NEVER;
    private boolean refusing;
    private OperationLogPosition durable;

    // The view.
    private View view = View.NONE;
    private List<DaemonAddress> line = List.of();
    private int place = -1;
    private long acked = -1;
    private boolean passing;
    private MonotonicTime passedAt = MonotonicTime.NEVER;
    private long announced = -1;
    private long committed = -1;
    private long toldCommitted = -1;
    private Fetching fetching;
    private List<Runnable> unconfirmed = new ArrayList<>();
    private MonotonicTime confirmingSince = MonotonicTime.NEVER;

    private static final class Fetching {
        final long view;
        final Runnable done;
        long nonce;
        int turn;
        DaemonAddress from;
        MonotonicTime asked = MonotonicTime.NEVER;

        Fetching(long view, DaemonAddress from, Runnable done) {
            this.view = view;
            this.from = from;
            this.done = done;
        }
    }

    /**
     * @param book what the ledger held
     * @param keepMs how long a record is kept after it was written
     * @param mostBytes beyond this answers are no longer kept, only that the operation ran
     */
    OperationKeeper(
            Clock clock,
            Messenger messenger,
            Replica replica,
            SegmentedLog ledger,
            OperationStore book,
            java.util.concurrent.Executor disk,
            int tolerated,
            long keepMs,
            long mostBytes,
            Metrics metrics) {
        this.clock = clock;
        this.messenger = messenger;
        this.replica = replica;
        this.ledger = ledger;
        this.book = book;
        this.disk = new DiskTasks(disk, clock);
        this.tolerated = tolerated;
        this.keepMs = keepMs;
        this.mostBytes = mostBytes;
        this.metrics = metrics;
        this.durable = book.mark();
        for (int s = 0; s <= ledger.current(); s++) {
            // How old a record is after a stop nobody knows: its age counts from now.
            segmentWritten.put(s, clock.now());
        }
        messenger.subscribe(Messenger.Topic.LOAN, this::receive);
    }

    void start() {
        replica.accompany(this);
        if (replica.view().number() > 0) {
            adopted(replica.view());
        }
        clock.every(LOOK_MS, this::look);
        clock.every(2_000, this::expire);
    }

    // ---- what the views ask ----

    @Override
    public OperationLogPosition mark() {
        return new OperationLogPosition(durable.view(), durable.pos(), messenger.self());
    }

    @Override
    public long settledView() {
        return durable.view();
    }

    @Override
    public boolean diskGood(long patienceMs) {
        return !refusing && (!writing || clock.now().since(writeBegan) < patienceMs);
    }

    @Override
    public void adopted(View next) {
        view = next;
        line = next.line(tolerated);
        place = line.indexOf(messenger.self());
        acked = -1;
        passing = false;
        announced = -1;
        committed = -1;
        toldCommitted = -1;
        fetching = null;
        // Those that wait for a word ask again.
        unconfirmed.clear();
        confirmingSince = MonotonicTime.NEVER;
        join();
    }

    @Override
    public void rebuild(OperationLogPosition upTo, Runnable done) {
        if (upTo.sameAs(OperationLogPosition.NONE)) {
            done.run();
            return;
        }
        LOG.info("Reading the operation records again from {}.", upTo.holder());
        fetching = new Fetching(-1, upTo.holder(), done);
        fetch();
    }

    /** Whether the book may grow: a promise on its way or given stands still until the next view. */
    private boolean mayMove() {
        return replica.mayMove();
    }

    /** Brings the book to where the view begins, and takes part in it. */
    private void join() {
        if (place < 0 || !mayMove() || book.mark().view() == view.number()) {
            return;
        }
        if (book.mark().sameAs(view.base())) {
            enterView();
        } else if (fetching == null) {
            fetching = new Fetching(view.number(), view.base().holder(), null);
            fetch();
        }
    }

    private void enterView() {
        book.enter(view.number());
        write(OperationRecord.marker(OperationRecord.Kind.ENTER, view.number(), 0));
    }

    private boolean joined() {
        return place >= 0 && durable.view() == view.number();
    }

    private boolean isHead() {
        return place == 0;
    }

    private boolean isTail() {
        return place >= 0 && place == line.size() - 1;
    }

    // ---- the disk ----

    private void write(OperationRecord slip) {
        slip.since = clock.now();
        queue.add(slip);
        if (!isHead() || writing) {
            flush();
        } else if (!gathering) {
            // A few more come within moments: one write, one message down the line and one back serve them all.
            gathering = true;
            clock.after(GATHER_MS, () -> {
                gathering = false;
                flush();
            });
        }
    }

    private void flush() {
        if (writing || queue.isEmpty()) {
            return;
        }
        List<OperationRecord> batch = queue;
        queue = new ArrayList<>();
        OperationLogPosition upTo = book.mark();
        List<byte[]> raw = new ArrayList<>(batch.size());
        for (OperationRecord s : batch) {
            raw.add(s.raw);
        }
        writing = true;
        writeBegan = clock.now();
        disk.submit(
                () -> {
                    ledger.append(raw);
                    return ledger.current();
                },
                segment -> written(batch, upTo, segment),
                failure -> written(batch, upTo, REFUSED));
    }

    private void written(List<OperationRecord> batch, OperationLogPosition upTo, int segment) {
        writing = false;
        refusing = segment == REFUSED;
        if (refusing) {
            metrics.count("idempotency.writes.refused");
            queue.clear();
            book.cut(durable);
            return;
        }
        metrics.count("idempotency.writes");
        for (OperationRecord s : batch) {
            s.segment = segment;
        }
        segmentWritten.put(segment, clock.now());
        durable = upTo;
        if (!queue.isEmpty() && !mayMove() && replica.standing() == Replica.Standing.MEMBER) {
            // A promise was given meanwhile: it names what is on disk now.
            queue.clear();
            book.cut(durable);
        }
        flush();
        if (fetching != null && fetching.done != null && fetching.from == null && queue.isEmpty() && !writing) {
            Runnable done = fetching.done;
            fetching = null;
            done.run();
        }
        if (joined()) {
            acknowledge();
            advance();
        }
    }

    /** Lets go of what is older than any operation has to be remembered, a segment at a time. */
    private void expire() {
        MonotonicTime now = clock.now();
        int current = ledger.current();
        int through = 0;
        for (Map.Entry<Integer, MonotonicTime> e : segmentWritten.entrySet()) {
            if (e.getKey() < current && now.since(e.getValue()) > keepMs) {
                through = Math.max(through, e.getKey());
            }
        }
        for (Map.Entry<Integer, MonotonicTime> e : segmentWritten.entrySet()) {
            if (e.getKey() < current && now.since(e.getValue()) <= keepMs) {
                through = Math.min(through, e.getKey() - 1);
            }
        }
        if (through <= 0) {
            return;
        }
        int last = through;
        int dropped = book.expireThrough(last);
        segmentWritten.keySet().removeIf(s -> s <= last);
        metrics.counter("idempotency.expired").increment(dropped);
        disk.submit(
                () -> {
                    ledger.dropThrough(last);
                    return null;
                },
                removed -> {},
                failure -> metrics.count("idempotency.segments.kept"));
    }

    // ---- messages ----

    private void receive(DaemonAddress from, byte[] body) throws MessagePackCodec.UnreadableException {
        MessagePackCodec.Reader in = MessagePackCodec.read(body);
        int kind = (int) in.num();
        if (kind < 0 || kind >= Message.values().length) {
            throw new MessagePackCodec.UnreadableException("an unknown message about operations", null);
        }
        switch (Message.values()[kind]) {
            case CLAIM -> {
                long serial = in.num();
                claim(from, serial, new OperationKey(in.num(), in.num()), in.flag());
            }
            case CLOSE -> {
                long serial = in.num();
                OperationKey key = new OperationKey(in.num(), in.num());
                int how = (int) in.num();
                if (how < OperationRecord.Kind.ANSWER.ordinal() || how > OperationRecord.Kind.END.ordinal()) {
                    throw new MessagePackCodec.UnreadableException("an unknown end of an operation", null);
                }
                close(from, serial, key, OperationRecord.Kind.values()[how], in.bytes());
            }
            case PASS -> passed(from, in.num(), in.num(), in.num(), slips(in));
            case ACK -> acknowledged(from, in.num(), in.num(), in.num());
            case PEEK -> {
                long serial = in.num();
                DaemonAddress proxy = in.daemonAddress();
                OperationKey key = new OperationKey(in.num(), in.num());
                peeked(serial, proxy, key, in.daemonAddress(), in.num());
            }
            case FETCH -> {
                long view = in.num();
                fetched(from, view, in.num(), in.list(OperationLogPosition::read));
            }
            case PORTION -> portion(
                    from, in.num(), OperationLogPosition.read(in), OperationLogPosition.read(in), in.flag(), slips(in));
            default -> metrics.count("idempotency.unwanted");
        }
    }

    private static List<OperationRecord> slips(MessagePackCodec.Reader in) throws MessagePackCodec.UnreadableException {
        return in.list(r -> OperationRecord.read(r.bytes()));
    }

    private static MessagePackCodec.Writer message(Message kind) {
        return MessagePackCodec.write().num(kind.ordinal());
    }

    private void reply(DaemonAddress to, long serial, Reply reply, byte[] payload) {
        messenger.send(
                to,
                Messenger.Topic.LOAN,
                message(Message.REPLY)
                        .num(serial)
                        .num(reply.ordinal())
                        .bytes(payload)
                        .done());
    }

    private static final byte[] NOTHING = new byte[0];

    // ---- the head ----

    private boolean turnedAway(DaemonAddress from, long serial) {
        if (isHead() && joined() && replica.acting() && !refusing) {
            return false;
        }
        DaemonAddress head = replica.view().head();
        reply(
                from,
                serial,
                Reply.ELSEWHERE,
                MessagePackCodec.write()
                        .daemonAddress(head == null || head.equals(messenger.self()) ? DaemonAddress.NONE : head)
                        .done());
        return true;
    }

    private void claim(DaemonAddress from, long serial, OperationKey key, boolean mayRepeat) {
        if (turnedAway(from, serial)) {
            return;
        }
        OperationRecord s = book.standing(key);
        if (s == null || s.kind == OperationRecord.Kind.RELEASE && !s.sameTry(from, serial)) {
            enter(OperationRecord.Kind.CLAIM, key, from, serial, NOTHING);
            return;
        }
        boolean same = s.sameTry(from, serial);
        switch (s.kind) {
            case CLAIM -> {
                if (same) {
                    if (isCommitted(s)) {
                        reply(from, serial, Reply.GRANTED, NOTHING);
                    }
                } else if (clock.now().since(s.since) < LONGEST_WORK_MS) {
                    replyConfirmed(from, serial, Reply.BUSY);
                } else if (mayRepeat) {
                    enter(OperationRecord.Kind.CLAIM, key, from, serial, NOTHING);
                } else {
                    replyConfirmed(from, serial, Reply.UNKNOWN);
                }
            }
            case ANSWER -> {
                if (isCommitted(s) && !s.isThin()) {
                    metrics.count("idempotency.repeats.answered");
                    reply(from, serial, Reply.ANSWERED, s.payload());
                } else if (isCommitted(s)) {
                    askForAnswer(from, serial, s);
                }
            }
            case END -> {
                if (mayRepeat && !same) {
                    enter(OperationRecord.Kind.CLAIM, key, from, serial, NOTHING);
                } else {
                    replyConfirmed(from, serial, Reply.UNKNOWN);
                }
            }
            default -> replyConfirmed(from, serial, Reply.UNKNOWN);
        }
    }

    /**
     * Says no to a try, or that there is nothing to note, once a majority has confirmed that this view is still in force: a
     * head that was left behind does not know what has been claimed, released or answered since. What is decided while a
     * question is out waits for the next one.
     */
    private void replyConfirmed(DaemonAddress to, long serial, Reply why) {
        if (!Safeguard.OPERATION_REFUSAL_CONFIRMED.holds()) {
            reply(to, serial, why, NOTHING);
            return;
        }
        unconfirmed.add(() -> reply(to, serial, why, NOTHING));
        if (clock.now().since(confirmingSince) >= CONFIRM_MS) {
            confirmReplies();
        }
    }

    private void confirmReplies() {
        List<Runnable> some = unconfirmed;
        unconfirmed = new ArrayList<>();
        MonotonicTime asked = clock.now();
        confirmingSince = asked;
        replica.whileInForce(() -> {
            some.forEach(Runnable::run);
            if (confirmingSince.equals(asked)) {
                confirmingSince = MonotonicTime.NEVER;
                if (!unconfirmed.isEmpty()) {
                    confirmReplies();
                }
            }
        });
    }

    /** Only the fact is kept here: whoever has the answer gives it to the proxy. */
    private void askForAnswer(DaemonAddress proxy, long serial, OperationRecord s) {
        metrics.count("idempotency.answers.elsewhere");
        byte[] body = message(Message.PEEK)
                .num(serial)
                .daemonAddress(proxy)
                .num(s.key.high())
                .num(s.key.low())
                .daemonAddress(s.origin)
                .num(s.serial)
                .done();
        view.electorate().forEach(f -> {
            if (!f.daemonAddress().equals(messenger.self())) {
                messenger.send(f.daemonAddress(), Messenger.Topic.LOAN, body);
            }
        });
    }

    private void peeked(long serial, DaemonAddress proxy, OperationKey key, DaemonAddress origin, long theirs) {
        OperationRecord s = book.standing(key);
        if (s != null && s.kind == OperationRecord.Kind.ANSWER && !s.isThin() && s.sameTry(origin, theirs)) {
            reply(proxy, serial, Reply.ANSWERED, s.payload());
        }
    }

    private void close(DaemonAddress from, long serial, OperationKey key, OperationRecord.Kind how, byte[] payload) {
        if (turnedAway(from, serial)) {
            return;
        }
        OperationRecord s = book.standing(key);
        boolean mine = s != null && s.sameTry(from, serial);
        if (mine && s.kind == how) {
            if (isCommitted(s)) {
                reply(from, serial, Reply.STORED, NOTHING);
            }
            return;
        }
        boolean open = mine
                        && (s.kind == OperationRecord.Kind.CLAIM
                                || s.kind == OperationRecord.Kind.END && how == OperationRecord.Kind.ANSWER)
                || s == null && how == OperationRecord.Kind.RELEASE;
        if (!open) {
            replyConfirmed(from, serial, Reply.STORED);
        } else if (how == OperationRecord.Kind.ANSWER && book.bytes() + payload.length > mostBytes) {
            metrics.count("idempotency.answers.unkept");
            enter(OperationRecord.Kind.END, key, from, serial, NOTHING);
        } else {
            enter(how, key, from, serial, payload);
        }
    }

    private void enter(OperationRecord.Kind kind, OperationKey key, DaemonAddress origin, long serial, byte[] payload) {
        OperationRecord s =
                OperationRecord.of(kind, view.number(), book.mark().pos() + 1, key, origin, serial, payload);
        book.add(s);
        write(s);
    }

    private boolean isCommitted(OperationRecord s) {
        return s.view < view.number() ? committed >= 0 : s.pos <= committed;
    }

    // ---- the line ----

    private long position() {
        return joined() ? durable.pos() : -1;
    }

    /** Does what the newest news allows: commits at the tail, passes on elsewhere. */
    private void advance() {
        if (!joined() || !replica.acting()) {
            return;
        }
        if (isTail()) {
            commit(isHead() ? position() : Math.min(position(), announced));
        } else {
            pass();
        }
    }

    private void pass() {
        MonotonicTime now = clock.now();
        if (passing && now.since(passedAt) < REPEAT_MS || acked >= position()) {
            return;
        }
        long from = acked < 0 ? position() : acked;
        List<OperationRecord> next =
                book.between(new OperationLogPosition(view.number(), from, DaemonAddress.NONE), durable, PASS_BYTES);
        messenger.send(
                line.get(place + 1),
                Messenger.Topic.LOAN,
                message(Message.PASS)
                        .num(view.number())
                        .num(from)
                        .num(position())
                        .list(next, (o, s) -> o.bytes(place < tolerated ? s.raw : s.thin()))
                        .done());
        passing = true;
        passedAt = now;
    }

    private void passed(DaemonAddress from, long view, long since, long theirs, List<OperationRecord> next) {
        if (view > replica.view().number()) {
            replica.fetchFrom(from);
            return;
        }
        if (view < this.view.number()) {
            metrics.count("idempotency.messages.dropped.old_view");
            return;
        }
        if (view != this.view.number()
                || place < 1
                || !line.get(place - 1).equals(from)
                || !joined()
                || !replica.acting()) {
            return;
        }
        announced = Math.max(announced, theirs);
        boolean grew = false;
        if (since <= book.mark().pos()) {
            for (OperationRecord s : next) {
                if (s.view == view && s.pos == book.mark().pos() + 1) {
                    book.add(s);
                    write(s);
                    grew = true;
                }
            }
        }
        if (!grew) {
            acknowledge();
        }
        advance();
    }

    private void acknowledge() {
        if (place >= 1 && joined()) {
            toldCommitted = committed;
            messenger.send(
                    line.get(place - 1),
                    Messenger.Topic.LOAN,
                    message(Message.ACK)
                            .num(view.number())
                            .num(position())
                            .num(committed)
                            .done());
        }
    }

    private void acknowledged(DaemonAddress from, long view, long pos, long theirCommitted) {
        if (view < this.view.number()) {
            metrics.count("idempotency.messages.dropped.old_view");
            return;
        }
        if (view != this.view.number()
                || place < 0
                || place + 1 >= line.size()
                || !line.get(place + 1).equals(from)) {
            return;
        }
        passing = false;
        acked = Math.max(acked, pos);
        commit(Math.min(theirCommitted, position()));
        advance();
    }

    /** Everyone in the line has written everything up to here. */
    private void commit(long upTo) {
        if (upTo <= committed) {
            return;
        }
        if (isTail()) {
            OperationLogPosition after =
                    new OperationLogPosition(view.number(), Math.max(0, committed), DaemonAddress.NONE);
            for (OperationRecord s : book.between(
                    after, new OperationLogPosition(view.number(), upTo, DaemonAddress.NONE), Integer.MAX_VALUE)) {
                reply(s.origin, s.serial, s.kind == OperationRecord.Kind.CLAIM ? Reply.GRANTED : Reply.STORED, NOTHING);
            }
        }
        if (committed < 0) {
            LOG.info(
                    "View {} keeps operation records from {}/{}, {} of them.",
                    view.number(),
                    view.base().view(),
                    view.base().pos(),
                    book.size());
        }
        committed = upTo;
    }

    private void look() {
        if (fetching != null && fetching.from != null && clock.now().since(fetching.asked) > FETCH_MS) {
            fetch();
        }
        if (refusing && !writing && queue.isEmpty()) {
            write(OperationRecord.marker(OperationRecord.Kind.CUT, durable.view(), durable.pos()));
        }
        if (place >= 0 && !joined() && !writing && fetching == null) {
            join();
        }
        advance();
        if (toldCommitted < committed) {
            // Only repeats wait for this news on its way to the head; it need not travel with every entry.
            acknowledge();
        }
    }

    // ---- those that are behind ----

    private void fetch() {
        Fetching f = fetching;
        if (f.view >= 0 && f.turn > 0) {
            f.from = line.get(f.turn % line.size());
            if (f.from.equals(messenger.self())) {
                f.from = line.get((f.turn + 1) % line.size());
            }
        }
        f.turn++;
        f.nonce++;
        f.asked = clock.now();
        metrics.count("idempotency.fetches");
        messenger.send(
                f.from,
                Messenger.Topic.LOAN,
                message(Message.FETCH)
                        .num(f.view)
                        .num(f.nonce)
                        .list(book.lineage(), (o, m) -> m.write(o))
                        .done());
    }

    private void fetched(DaemonAddress from, long view, long nonce, List<OperationLogPosition> theirs) {
        boolean able = view < 0
                ? replica.standing() != Replica.Standing.RECOVERING
                : view == this.view.number() && (durable.view() == view || durable.sameAs(this.view.base()));
        if (!able) {
            return;
        }
        OperationLogPosition common = OperationStore.common(book.lineage(), theirs);
        if (common.isBeyond(durable)) {
            common = durable;
        }
        List<OperationRecord> some = book.between(common, durable, PORTION_BYTES);
        OperationRecord last = some.isEmpty() ? null : some.get(some.size() - 1);
        boolean whole = book.between(
                        last == null ? common : new OperationLogPosition(last.view, last.pos, DaemonAddress.NONE),
                        durable,
                        1)
                .isEmpty();
        MessagePackCodec.Writer out = message(Message.PORTION).num(nonce);
        common.write(out);
        durable.write(out);
        messenger.send(
                from,
                Messenger.Topic.LOAN,
                out.flag(whole).list(some, (o, s) -> o.bytes(s.raw)).done());
    }

    private void portion(
            DaemonAddress from,
            long nonce,
            OperationLogPosition common,
            OperationLogPosition theirs,
            boolean whole,
            List<OperationRecord> some) {
        Fetching f = fetching;
        if (f == null
                || f.nonce != nonce
                || !from.equals(f.from)
                || f.view >= 0 && (f.view != view.number() || !mayMove())) {
            return;
        }
        if (!book.mark().sameAs(common)) {
            if (common.isBeyond(book.mark())) {
                return;
            }
            book.cut(common);
            write(OperationRecord.marker(OperationRecord.Kind.CUT, common.view(), common.pos()));
        }
        for (OperationRecord s : some) {
            book.add(s);
            write(s);
        }
        if (!whole) {
            f.turn = 0;
            fetch();
            return;
        }
        long enter = f.view >= 0 ? f.view : theirs.view();
        if (book.mark().view() < enter) {
            book.enter(enter);
        }
        write(OperationRecord.marker(OperationRecord.Kind.ENTER, enter, 0));
        if (f.done == null) {
            fetching = null;
        } else {
            f.from = null;
        }
    }

    // ---- for people ----

    OperationLogPosition durable() {
        return durable;
    }

    long committed() {
        return committed;
    }

    OperationStore book() {
        return book;
    }

    View view() {
        return view;
    }
}
