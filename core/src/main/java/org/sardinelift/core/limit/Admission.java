package org.sardinelift.core.limit;

import java.time.Duration;

/** Decision of a team's rate limit on one request. */
public sealed interface Admission {

    /** The request is within the team's rate and burst and has been counted. */
    record Admitted() implements Admission {}

    /**
     * The request is over the team's rate and burst and has not been counted.
     *
     * @param retryAfter time after which a request is admitted if the team stays within its rate
     */
    record Refused(Duration retryAfter) implements Admission {}
}
