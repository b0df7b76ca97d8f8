package org.sardinelift.core.outcome;

import java.util.Locale;

/** Kinds of refusal and failure. Callers rely on the names, so they must not change. */
public enum ProblemKind {
    MALFORMED_HTTP(400, "Send a well-formed HTTP/1.1 request."),
    HEADERS_TOO_LARGE(431, "Send fewer or shorter headers."),
    URI_TOO_LONG(414, "Send a shorter request line."),
    REQUEST_TIMEOUT(408, "Send the whole request without pauses."),
    MALFORMED_REQUEST(400, "Correct the request as the detail says and send it again."),
    UNAUTHENTICATED(401, "Send a valid key in the Authorization header."),
    KEY_WITHDRAWN(401, "Ask your operator for a new key."),
    FORBIDDEN(403, "Ask your operator to add the model or service to your team."),
    NOT_FOUND(404, "Check the path, the model and the identifier."),
    METHOD_NOT_ALLOWED(405, "Use a method that the route names."),
    CONFLICT(409, "Read the current state and decide again."),
    JOB_KEY_REUSED(409, "Use a new job key for a job with other content."),
    IDEMPOTENCY_KEY_REUSED(422, "Use a new Idempotency-Key for another request."),
    BODY_TOO_LARGE(413, "Send a smaller body."),
    INVALID_LINES(422, "Correct the lines that are named and send the whole job again."),
    RATE_LIMITED(429, "Come back after the time in Retry-After."),
    OVERLOADED(503, "Come back after the time in Retry-After."),
    PREEMPTED(503, "Come back after the time in Retry-After."),
    NO_TARGET(503, "Come back after the time in Retry-After."),
    DRAINING(503, "Send the request again; another instance will take it."),
    ISOLATED(503, "Send the request again; another instance will take it."),
    PLATFORM_UNAVAILABLE(503, "Come back after the time in Retry-After."),
    TARGET_FAILED(502, "Send the request again if it may run twice."),
    OUTCOME_UNKNOWN(502, "Check whether the call took effect before you send it again."),
    DEADLINE_EXCEEDED(504, "Send the request again with a longer deadline."),
    CRASHES_TARGETS(422, "Change the request: targets that ran it died."),
    CANCELLED(499, "Nothing to do: the request was cancelled."),
    INTERNAL(500, "Report the request id to your operator.");

    private final int status;
    private final String remedy;

    ProblemKind(int status, String remedy) {
        this.status = status;
        this.remedy = remedy;
    }

    /**
     * Returns the HTTP status code.
     *
     * @return status code
     */
    public int status() {
        return status;
    }

    /**
     * Returns what the caller can do about the problem.
     *
     * @return one sentence
     */
    public String remedy() {
        return remedy;
    }

    /**
     * Returns the name that callers see.
     *
     * @return lower-case name with underscores
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
