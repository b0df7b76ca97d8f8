package org.sardinelift.core.outcome;

import java.time.Duration;
import java.util.Map;

/** What follows from an event of an attempt. */
public sealed interface AttemptStep {

    /** Nothing; the event was late, crossed or told nothing new. */
    record NoAction() implements AttemptStep {}

    /**
     * The answer's status and headers are known.
     *
     * @param status HTTP status code
     * @param headers answer headers
     */
    record ResponseHead(int status, Map<String, String> headers) implements AttemptStep {}

    /**
     * The next part of the body.
     *
     * @param part body bytes that were not delivered before
     */
    record BodyPart(byte[] part) implements AttemptStep {}

    /**
     * Ask the companion what became of the attempt.
     *
     * @param offset body bytes held
     */
    record QueryState(long offset) implements AttemptStep {}

    /** The whole answer has come. */
    record Completed() implements AttemptStep {}

    /**
     * The attempt ended without the whole answer.
     *
     * @param outcome whether the call was run
     * @param cause why
     * @param detail what was wrong in this case
     * @param retryAfter when to come back; zero where it is not known
     */
    record Failed(RunOutcome outcome, FailureCause cause, String detail, Duration retryAfter)
            implements AttemptStep {}
}
