package org.umbermount.kernel;

/** The closed list of error kinds, each with its answer. */
public enum ErrorKind {
    MALFORMED(400, true, false, "The request cannot be read."),
    INVALID_CONFIGURATION(400, false, false, "The configuration is invalid."),
    INVALID_PURGE(400, false, false, "The purge is invalid."),
    INVALID_BEAT(400, false, false, "The beat cannot be read."),
    KEY_MISSING(400, false, false, "The route asks for one Operation-Key."),
    NOT_A_READER(401, false, false, "The key belongs to no tenant."),
    NO_ROUTE(404, false, false, "No route matches."),
    UNKNOWN_CALL(404, false, false, "There is no such call."),
    WRONG_METHOD(405, false, false, "The method does not fit the call."),
    AT_WORK(409, false, false, "The operation is still at work."),
    STALE_MATCH(412, false, false, "Another version is in place."),
    BODY_TOO_LARGE(413, true, false, "The body is over the limit."),
    HEADER_TOO_LARGE(431, true, false, "The headers are over the limit."),
    SLOW_REQUEST(408, true, false, "The request took too long to arrive."),
    QUOTA_SPENT(429, false, true, "The tenant has spent its quota."),
    QUOTA_UNKNOWN(503, false, true, "What is left of the tenant's quota cannot be learned now."),
    TABLE_STALE(503, false, true, "The table held here may be behind."),
    LOANS_UNAVAILABLE(503, false, true, "The operation cannot be noted now."),
    NOT_READY(503, false, true, "No table is held yet."),
    OVERLOADED(503, false, true, "Every server is busy."),
    NO_SERVER(503, false, true, "No server is known."),
    SERVERS_REFUSED(503, false, true, "The servers turned the request away."),
    DEADLINE_BEFORE_RUN(503, false, true, "The time ran out before a server was asked."),
    CONTROL_UNAVAILABLE(503, false, true, "The control plane cannot answer now."),
    CHANGE_UNKNOWN(504, false, false, "Whether the change was taken is not known."),
    OUTCOME_UNKNOWN(502, false, false, "Whether the operation ran is not known."),
    SERVER_FAILED(502, false, false, "The server's answer was lost or broken."),
    TIMED_OUT(504, false, false, "The server did not answer in time.");

    private final int status;
    private final boolean closes;
    private final boolean retryAfter;
    private final String sentence;

    ErrorKind(int status, boolean closes, boolean retryAfter, String sentence) {
        this.status = status;
        this.closes = closes;
        this.retryAfter = retryAfter;
        this.sentence = sentence;
    }

    public int status() {
        return status;
    }

    /** Whether the connection cannot be used after this answer. */
    public boolean closes() {
        return closes;
    }

    /** Whether the answer promises that the request has not run and says when to come back. */
    public boolean retryAfter() {
        return retryAfter;
    }

    /** Whether clients take the answer as a promise that the request has not run and never will. */
    public boolean promisesNotRun() {
        return status == 503 || status == 429 || status == 408 || status == 421;
    }

    public String sentence() {
        return sentence;
    }
}
