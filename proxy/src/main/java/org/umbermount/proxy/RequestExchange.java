package org.umbermount.proxy;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import java.io.ByteArrayOutputStream;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import org.umbermount.control.Configuration;
import org.umbermount.idempotency.OperationClient;
import org.umbermount.idempotency.OperationKey;
import org.umbermount.kernel.Clock;
import org.umbermount.kernel.ErrorKind;
import org.umbermount.kernel.MessagePackCodec;
import org.umbermount.kernel.MonotonicTime;
import org.umbermount.kernel.Safeguard;

/** One try of a client, from its arrival to its answer. */
final class RequestExchange {
    private static final int PLACEMENTS_AT_MOST = 6;
    private static final long SHORTEST_WAIT_MS = 20;
    private static final long SHARED_PATIENCE_MS = 250;
    private static final long SHARED_LEAST_MS = 100;
    private static final long BUSY_LOOK_MS = 90;
    /** How long the server may send nothing once the time is over, before its answer is cut. */
    private static final long STALL_MS = 100;
    /** A server that has less than this part of the route's aim left, and less than it usually takes, is not asked. */
    private static final double LEAST_PART_OF_AIM = 0.1;

    private final ProxyListener desk;
    private final ClientConnection reader;
    private final HttpRequest request;
    private final Configuration.Route route;
    private final UpstreamService upstreamService;
    private final MonotonicTime arrived;
    private final MonotonicTime deadline;
    private final ByteArrayOutputStream gathered = new ByteArrayOutputStream(0);
    private final List<UpstreamServer> tried = new ArrayList<>(2);
    private byte[] body = new byte[0];
    private boolean large;
    private boolean started;
    /** Whether it was ended because its time was over. */
    private boolean overdue;

    private boolean abandoned;
    private boolean answered;
    private int placements;
    private int active;
    private boolean waiting;
    private Clock.Cancellable deadlineTimer;
    private Clock.Cancellable waitTimer;
    private Clock.Cancellable hedgeTimer;
    private Attempt carrier;
    private final ArrayDeque<byte[]> pieces = new ArrayDeque<>();
    private boolean lastPiece;
    private Answer lastFailure;
    private final Sendings sendings;
    /** What the next sending goes out under, while a server is looked for. */
    private Sendings.Permit permit;

    private final Configuration.Tenant tenant;
    private final String key;
    private boolean charged;
    private long comeAgainMs;
    private OperationClient.Ticket ticket;
    private Answer kept;

    // What the reader writes.
    private ErrorKind erratum;
    private Answer answer;
    private HttpResponse streamHead;
    private final ArrayDeque<byte[]> stream = new ArrayDeque<>();
    private Attempt streamer;
    private boolean streamWhole;
    private boolean streamCut;
    private int streamHeld;
    private long streamReceived;

    RequestExchange(
            ProxyListener desk,
            ClientConnection reader,
            HttpRequest request,
            Configuration.Route route,
            UpstreamService upstreamService,
            long deadlineMs,
            Configuration.Tenant tenant,
            String key) {
        this.tenant = tenant;
        this.key = key;
        this.desk = desk;
        this.reader = reader;
        this.request = request;
        this.route = route;
        this.upstreamService = upstreamService;
        this.sendings = new Sendings(route != null && route.safe(), route == null ? 1 : route.maxTries());
        this.arrived = desk.clock().now();
        this.deadline = arrived.plus(deadlineMs);
    }

    /** A request that is answered without asking a server. */
    RequestExchange(ProxyListener desk, ClientConnection reader, HttpRequest request, ErrorKind erratum) {
        this(desk, reader, request, null, null, 0, null, null);
        this.erratum = erratum;
        this.answered = true;
    }

    HttpRequest request() {
        return request;
    }

    byte[] body() {
        return body;
    }

    MonotonicTime deadline() {
        return deadline;
    }

    int priority() {
        return route.priority();
    }

    /** After how long a refused client may come again, where that is known; otherwise 0. */
    long comeAgainMs() {
        return comeAgainMs;
    }

    int tenantPriority() {
        return tenant == null ? 0 : tenant.priority();
    }

    /** Whom the request is from, or null where nobody is asked. */
    Configuration.Tenant tenant() {
        return tenant;
    }

    /** Why the request may not be sent any more; null if it may. */
    ErrorKind whyNot() {
        return tenant == null ? null : desk.whyNot(key, tenant.label());
    }

    /** Within how many milliseconds an answer is aimed at. */
    long aimMs() {
        return route.targetLatencyMs();
    }

    boolean isLarge() {
        return large;
    }

    boolean isSafe() {
        return route != null && route.safe();
    }

    boolean isAnswered() {
        return answered;
    }

    ErrorKind erratum() {
        return erratum;
    }

    Answer answer() {
        return answer;
    }

    HttpResponse streamHead() {
        return streamHead;
    }

    UpstreamService upstreamService() {
        return upstreamService;
    }

    /** Whether an answer is still looked for. */
    boolean wanted() {
        return !answered && !abandoned;
    }

    int gather(byte[] piece) {
        gathered.write(piece, 0, piece.length);
        return gathered.size();
    }

    /** The body is too long to be held: it is passed on as it comes, and never sent twice. */
    void becomeLarge() {
        large = true;
        sendings.tooLong();
        pieces.add(gathered.toByteArray());
        gathered.reset();
    }

    /** A further piece of a large body; false if the client should pause. */
    boolean piece(byte[] piece, boolean last) {
        lastPiece = last;
        if (carrier != null) {
            carrier.more(piece, last);
            return carrier.canTakeMore();
        }
        pieces.add(piece);
        return false;
    }

    void carriedBy(Attempt attempt) {
        carrier = attempt;
        while (!pieces.isEmpty()) {
            byte[] piece = pieces.poll();
            attempt.more(piece, lastPiece && pieces.isEmpty());
        }
        reader.resume();
    }

    void serverWritable() {
        reader.resume();
    }

    void bodyWhole() {
        body = gathered.toByteArray();
    }

    boolean isStarted() {
        return started;
    }

    /** Whether it has been answered because its time was over. */
    boolean isOverdue() {
        return overdue;
    }

    /** The body is still arriving: the route's time counts meanwhile too. */
    void awaitBody() {
        if (deadlineTimer == null && route != null && wanted()) {
            startDeadlineTimer(deadline.since(desk.clock().now()));
        }
    }

    private void startDeadlineTimer(long leftMs) {
        deadlineTimer = desk.clock().after(Math.max(0, leftMs), this::deadlineReached);
    }

    /** With less time than this left, no server would come to an answer. */
    long leastMs() {
        return Math.max(1, (long) Math.min(LEAST_PART_OF_AIM * route.targetLatencyMs(), upstreamService.typicalMs));
    }

    private boolean tooLateToSend(MonotonicTime now) {
        return deadline.since(now) < leastMs();
    }

    /** Looks for a server. */
    void start() {
        if (started || answered) {
            return;
        }
        started = true;
        MonotonicTime now = desk.clock().now();
        upstreamService.retryBudget.request(now);
        long left = deadline.since(now);
        if (left < leastMs()) {
            refuse(ErrorKind.DEADLINE_BEFORE_RUN);
            return;
        }
        if (desk.turnsAway(upstreamService, now)) {
            refuse(ErrorKind.OVERLOADED);
            return;
        }
        if (deadlineTimer == null) {
            startDeadlineTimer(left);
        }
        charge();
    }

    /** How long the daemons that count and remember are waited for: soon enough for another try elsewhere. */
    private long sharedPatience() {
        long left = Math.max(
                SHARED_LEAST_MS,
                route.targetLatencyMs() / 4 - desk.clock().now().since(arrived));
        return Math.min(SHARED_PATIENCE_MS, left);
    }

    /** Charges the request to its tenant, once. */
    private void charge() {
        if (tenant == null || desk.quotas() == null) {
            borrow();
            return;
        }
        desk.quotas().take(tenant, sharedPatience(), word -> {
            if (!wanted()) {
                return;
            }
            switch (word) {
                case MAY -> {
                    charged = true;
                    borrow();
                }
                case SPENT -> {
                    comeAgainMs = desk.quotas().comeAgainMs(tenant);
                    refuse(ErrorKind.QUOTA_SPENT);
                }
                default -> refuse(ErrorKind.QUOTA_UNKNOWN);
            }
        });
    }

    /** Claims the operation for this try, where the route is one of operations. */
    private void borrow() {
        if (!route.idempotent() || desk.loans() == null) {
            placeOrWait(sendings.first());
            return;
        }
        OperationKey operation = OperationKey.of(
                tenant == null ? "" : tenant.label(), request.headers().get(HeaderNames.OPERATION_KEY));
        boolean[] over = new boolean[1];
        OperationClient.Ticket claimed = desk.loans()
                .claim(operation, upstreamService.dedupCapable, sharedPatience(), new OperationClient.Outcome() {
                    @Override
                    public void granted() {
                        if (wanted()) {
                            placeOrWait(sendings.first());
                        } else {
                            closeLoan();
                        }
                    }

                    @Override
                    public void answered(byte[] answer) {
                        over[0] = true;
                        ticket = null;
                        repeated(answer);
                    }

                    @Override
                    public void busy() {
                        over[0] = true;
                        ticket = null;
                        stillAtWork();
                    }

                    @Override
                    public void unknown() {
                        over[0] = true;
                        ticket = null;
                        if (wanted()) {
                            refuse(ErrorKind.OUTCOME_UNKNOWN);
                        }
                    }

                    @Override
                    public void unavailable() {
                        over[0] = true;
                        ticket = null;
                        if (wanted()) {
                            refuse(ErrorKind.LOANS_UNAVAILABLE);
                        }
                    }
                });
        if (!over[0]) {
            ticket = claimed;
        }
    }

    /** The operation has run before: its answer goes out as it was, under this try's own id. */
    private void repeated(byte[] packed) {
        if (!wanted()) {
            return;
        }
        giveBack();
        try {
            Answer first = StoredAnswers.unpack(packed);
            String attempt = request.headers().get(HeaderNames.ATTEMPT);
            if (attempt != null) {
                first.headers().set(HeaderNames.ATTEMPT, attempt);
            }
            desk.metrics().count("requests.repeats");
            deliver(first);
        } catch (MessagePackCodec.UnreadableException e) {
            refuse(ErrorKind.OUTCOME_UNKNOWN);
        }
    }

    /** Another try is at work: its answer is waited for a while, and then the client is told. */
    private void stillAtWork() {
        if (!wanted()) {
            return;
        }
        MonotonicTime now = desk.clock().now();
        long patience = Math.min(route.targetLatencyMs(), deadline.since(arrived) / 3);
        if (now.since(arrived) + BUSY_LOOK_MS > patience) {
            giveBack();
            refuse(ErrorKind.AT_WORK);
        } else {
            desk.clock().after(BUSY_LOOK_MS, () -> {
                if (wanted()) {
                    borrow();
                }
            });
        }
    }

    private void giveBack() {
        if (charged) {
            charged = false;
            desk.quotas().giveBack(tenant);
        }
    }

    /** Once nothing is at work for this try any more, says how it ended. */
    private void closeLoan() {
        if (ticket == null || active > 0 || wanted()) {
            return;
        }
        OperationClient.Ticket ending = ticket;
        ticket = null;
        if (kept != null) {
            ending.close(OperationClient.End.ANSWERED, StoredAnswers.pack(kept));
        } else {
            ending.close(
                    sendings.hasNotRun() ? OperationClient.End.RELEASED : OperationClient.End.UNKNOWN, new byte[0]);
        }
    }

    private void placeOrWait(Sendings.Permit under) {
        permit = under;
        long patience = Math.max(SHORTEST_WAIT_MS, route.targetLatencyMs() / 4)
                - desk.clock().now().since(arrived);
        // Who comes now does not take a slot that others wait for and come before in rank.
        boolean others = patience > 0 && upstreamService.waitingCount() > 0;
        if (!others && tryPlace()) {
            return;
        }
        if (patience <= 0 || !upstreamService.enqueue(this)) {
            giveUp();
            return;
        }
        waiting = true;
        waitTimer = desk.clock().after(patience, this::patienceOver);
        if (others) {
            upstreamService.serveWaiting();
        }
        desk.someoneWaits();
    }

    private void patienceOver() {
        if (waiting) {
            stopWaiting();
            giveUp();
        }
    }

    /** The queue is full, and this one is the last in rank. */
    void displaced() {
        waiting = false;
        waitTimer.cancel();
        giveUp();
    }

    /** Whether it has been to no server yet, so that none is closed to it. */
    boolean mayGoAnywhere() {
        return tried.isEmpty();
    }

    private void stopWaiting() {
        waiting = false;
        upstreamService.dequeue(this);
        if (waitTimer != null) {
            waitTimer.cancel();
        }
    }

    /** Sends to a server if one has room. Called again while the request waits; true takes it from the queue. */
    boolean tryPlace() {
        if (!wanted()) {
            waiting = false;
            return true;
        }
        UpstreamServer repository = desk.loadBalancer().choose(upstreamService, route, tried, deadline);
        if (repository == null) {
            return false;
        }
        if (waiting) {
            waiting = false;
            waitTimer.cancel();
        }
        Sendings.Permit under = permit;
        permit = null;
        placements++;
        active++;
        repository.carry(new Attempt(this, repository, under));
        return true;
    }

    /** No server can be offered the request: an answer at once, a promise if nothing has run. */
    private void giveUp() {
        if (!wanted() || active > 0) {
            return;
        }
        if (lastFailure != null) {
            deliver(lastFailure);
        } else if (sendings.sent() > 0) {
            refuse(ErrorKind.SERVERS_REFUSED);
        } else {
            refuse(upstreamService.repositories.isEmpty() ? ErrorKind.NO_SERVER : ErrorKind.OVERLOADED);
        }
    }

    void nowSent(Attempt attempt, MonotonicTime now) {
        tried.add(attempt.repository);
        if (isSafe() && !large && sendings.sent() == 1 && route.maxTries() > 1) {
            long hedge = desk.loadBalancer().hedgeAfterMs(upstreamService, route);
            if (now.plus(hedge).isBefore(deadline)) {
                hedgeTimer = desk.clock().after(hedge, this::hedge);
            }
        }
    }

    /** The first server is slow to answer: asks a second one, and takes whichever answers first. */
    private void hedge() {
        if (!wanted() || active != 1) {
            return;
        }
        limitToRouteInForce();
        if (!sendings.allowsFurther(null)) {
            return;
        }
        MonotonicTime now = desk.clock().now();
        UpstreamServer second = desk.busy(upstreamService, now)
                ? null
                : desk.loadBalancer().choose(upstreamService, route, tried, deadline);
        if (second == null) {
            return;
        }
        Sendings.Permit under = sendings.further(
                null, upstreamService.retryBudget, now, desk.fleet(), desk.hedgeReserve(upstreamService, now));
        if (under == null) {
            return;
        }
        desk.metrics().count("requests.hedged");
        placements++;
        active++;
        second.carry(new Attempt(this, second, under));
    }

    /** Nothing was sent: the connection could not be had, or the server left meanwhile. */
    void notSent(Sendings.NotRun proof) {
        active--;
        if (!wanted() || active > 0) {
            closeLoan();
            return;
        }
        if (tooLateToSend(desk.clock().now())) {
            deadlineReached();
        } else if (placements >= PLACEMENTS_AT_MOST) {
            giveUp();
        } else {
            placeOrWait(sendings.instead(proof));
        }
    }

    void succeeded(Answer whole) {
        active--;
        kept = whole;
        deliver(whole);
        closeLoan();
    }

    /** The request may not be sent any more: its key has gone, or the table here is too old to say. */
    void withdrawn(ErrorKind why) {
        active--;
        if (wanted() && active == 0) {
            refuse(sendings.hasNotRun() ? why : ErrorKind.SERVER_FAILED);
        }
        closeLoan();
    }

    /** The server says that it has not run the request. */
    void refused(Sendings.NotRun proof, int status) {
        active--;
        if (!wanted() || active > 0) {
            closeLoan();
            return;
        }
        if (status == 400) {
            refuse(ErrorKind.MALFORMED);
        } else {
            goOn(proof);
        }
    }

    /** The request may have run, and there is no success to show for it. */
    void failed(Attempt attempt, String how, Answer relay) {
        active--;
        if (relay != null) {
            lastFailure = relay;
            if (relay.status() != 504) {
                kept = relay;
            }
        }
        if (!wanted() || active > 0) {
            closeLoan();
            return;
        }
        // A whole answer of the server's own is its answer, whatever its status; asking another tends to bring the
        // same.
        // It is different when one server fails far more than others do.
        if (relay == null || attempt.repository.suspect() && relay.status() != 504) {
            goOn(null);
        } else {
            giveUp();
        }
    }

    /** A configuration may have lowered the number of servers since the request was taken in. */
    private void limitToRouteInForce() {
        Configuration.Route inForce = desk.route(request);
        if (inForce != null) {
            sendings.limitTo(inForce.maxTries());
        }
    }

    /** Sends again if that may be, and gives up otherwise. */
    private void goOn(Sendings.NotRun proof) {
        MonotonicTime now = desk.clock().now();
        limitToRouteInForce();
        if (tooLateToSend(now) || !sendings.allowsFurther(proof)) {
            giveUp();
            return;
        }
        Sendings.Permit under = sendings.further(proof, upstreamService.retryBudget, now, desk.fleet(), 0);
        desk.metrics().count(under != null ? "requests.retried" : "requests.retry.denied");
        if (under == null) {
            giveUp();
        } else {
            placeOrWait(under);
        }
    }

    private void deadlineReached() {
        if (wanted()) {
            if (waiting) {
                stopWaiting();
            }
            overdue = true;
            if (lastFailure != null) {
                deliver(lastFailure);
            } else {
                refuse(sendings.hasNotRun() ? ErrorKind.DEADLINE_BEFORE_RUN : ErrorKind.TIMED_OUT);
            }
            if (carrier != null) {
                carrier.dropUnlessWritten();
            }
        }
    }

    /** The daemon is leaving and others wait for this one's answer: asks a second server if that is possible. */
    void askAnother() {
        if (isSafe() && !large) {
            hedge();
        }
    }

    /** Ends the request now, as if its time were over. */
    void breakOff() {
        deadlineReached();
    }

    /** Answers without a server's answer. What would promise that the request has not run says so only if that is certain. */
    private void refuse(ErrorKind why) {
        ErrorKind kind = why;
        if (kind.promisesNotRun() && !sendings.hasNotRun() && Safeguard.PROMISE_ONLY_IF_NOT_RUN.holds()) {
            kind = ErrorKind.SERVER_FAILED;
        }
        erratum = kind;
        desk.metrics().count("requests.refused." + kind.name().toLowerCase(java.util.Locale.ROOT));
        done();
    }

    private void deliver(Answer whole) {
        if (!wanted()) {
            return;
        }
        answer = whole;
        done();
    }

    private void done() {
        answered = true;
        sendings.end();
        cancelTimers();
        reader.ready();
        closeLoan();
    }

    private void cancelTimers() {
        if (deadlineTimer != null) {
            deadlineTimer.cancel();
        }
        if (waitTimer != null) {
            waitTimer.cancel();
        }
        if (hedgeTimer != null) {
            hedgeTimer.cancel();
        }
    }

    /** The client has gone. What a server works on is left to end. */
    void abandon() {
        abandoned = true;
        sendings.end();
        if (waiting) {
            stopWaiting();
        }
        cancelTimers();
        if (streamer != null) {
            streamer.reading(true);
        }
        if (carrier != null) {
            carrier.dropUnlessWritten();
        }
        closeLoan();
    }

    // ---- long answers ----

    boolean beginStreaming(Attempt attempt, HttpResponse head) {
        if (!wanted()) {
            return false;
        }
        streamer = attempt;
        // Too long to be kept for repeats: that it ran is all that is noted.
        streamHead = head;
        done();
        long left = deadline.since(desk.clock().now());
        deadlineTimer = desk.clock().after(Math.max(0, left), this::watchForStall);
        return true;
    }

    /** The time is over: an answer of which nothing more comes is cut, one that still comes or waits for the client goes on. */
    private void watchForStall() {
        long before = streamReceived;
        deadlineTimer = desk.clock().after(STALL_MS, () -> {
            if (abandoned || streamWhole || streamCut) {
                return;
            }
            if (stream.isEmpty() && streamReceived == before) {
                desk.metrics().count("requests.streams.stalled");
                streamCut = true;
                reader.ready();
            } else {
                watchForStall();
            }
        });
    }

    void streamed(byte[] piece) {
        if (abandoned) {
            return;
        }
        stream.add(piece);
        streamHeld += piece.length;
        streamReceived += piece.length;
        reader.ready();
        if (streamHeld > Attempt.HELD_WHOLE) {
            streamer.reading(false);
        }
    }

    byte[] nextStreamed() {
        byte[] piece = stream.poll();
        if (piece != null) {
            streamHeld -= piece.length;
            if (streamHeld <= Attempt.HELD_WHOLE / 2) {
                streamer.reading(true);
            }
        }
        return piece;
    }

    boolean hasStreamed() {
        return !stream.isEmpty();
    }

    void streamedWhole() {
        active--;
        closeLoan();
        streamWhole = true;
        cancelTimers();
        reader.ready();
    }

    void streamCut() {
        active--;
        closeLoan();
        streamCut = true;
        cancelTimers();
        reader.ready();
    }

    boolean streamWhole() {
        return streamWhole && stream.isEmpty();
    }

    boolean streamCutShort() {
        return streamCut;
    }

    HttpHeaders answerHeaders() {
        return answer.headers();
    }
}
