package org.sardinelift.core.outcome;

import java.time.Duration;
import java.util.Map;

/** Action that an event of an attempt requires. */
public sealed interface AttemptAction {

    /** No action: the event was late, belongs to another attempt or contains nothing new. */
    record NoAction() implements AttemptAction {}

    /**
     * Pass the status and headers on to the caller.
     *
     * @param status HTTP status code
     * @param headers answer headers
     */
    record ResponseHead(int status, Map<String, String> headers) implements AttemptAction {}

    /**
     * Pass the next part of the body on to the caller.
     *
     * @param part body bytes that were not passed on before
     */
    record BodyPart(byte[] part) implements AttemptAction {}

    /**
     * Query the companion for the state of the attempt.
     *
     * @param offset number of body bytes received
     */
    record QueryState(long offset) implements AttemptAction {}

    /** The complete answer has arrived. */
    record Completed() implements AttemptAction {}

    /**
     * The attempt ended without a complete answer.
     *
     * @param outcome whether the call was run
     * @param cause why it ended
     * @param detail description of this failure
     * @param retryAfter time after which to retry; zero if unknown
     */
    record Failed(RunOutcome outcome, FailureCause cause, String detail, Duration retryAfter)
            implements AttemptAction {}
}
