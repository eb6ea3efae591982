package org.umbermount.kernel;

/** The closed list of error kinds, each with its answer. */
public enum Erratum {
    MALFORMED(400, true, false, "The request cannot be read."),
    INVALID_CONFIGURATION(400, false, false, "The configuration is invalid."),
    INVALID_BEAT(400, false, false, "The beat cannot be read."),
    NO_ROUTE(404, false, false, "No route matches."),
    UNKNOWN_CALL(404, false, false, "There is no such call."),
    WRONG_METHOD(405, false, false, "The method does not fit the call."),
    STALE_MATCH(412, false, false, "Another version is in place."),
    BODY_TOO_LARGE(413, true, false, "The body is over the limit."),
    HEADER_TOO_LARGE(431, true, false, "The headers are over the limit."),
    SLOW_REQUEST(408, true, false, "The request took too long to arrive."),
    NOT_READY(503, false, true, "No table is held yet."),
    OVERLOADED(503, false, true, "Every server is busy."),
    NO_SERVER(503, false, true, "No server is known."),
    SERVERS_REFUSED(503, false, true, "The servers turned the request away."),
    DEADLINE_BEFORE_RUN(503, false, true, "The time ran out before a server was asked."),
    CONTROL_UNAVAILABLE(503, false, true, "The control plane cannot answer now."),
    SERVER_FAILED(502, false, false, "The server's answer was lost or broken."),
    TIMED_OUT(504, false, false, "The server did not answer in time.");

    private final int status;
    private final boolean closes;
    private final boolean retryAfter;
    private final String sentence;

    Erratum(int status, boolean closes, boolean retryAfter, String sentence) {
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

    public String sentence() {
        return sentence;
    }
}
