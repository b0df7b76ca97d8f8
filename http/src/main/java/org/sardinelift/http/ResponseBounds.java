package org.sardinelift.http;

import java.time.Duration;

/**
 * Bounds of a response, beyond which its connection is closed and the call fails: a faulty peer may
 * send without end. The head, and the lines between the chunks of a body, have bounds of their own.
 *
 * @param maxBodyBytes maximum length of the body
 * @param maxTime maximum time from the request to the end of the response
 */
record ResponseBounds(long maxBodyBytes, Duration maxTime) {
    private static final long MAX_BUFFERED_BODY_BYTES = 16L << 20;

    /** A buffered response that arrives in small parts may take this many silence timeouts. */
    private static final int MAX_SILENCE_TIMEOUTS = 10;

    private static final Duration UNBOUNDED_TIME = Duration.ofDays(1_000);

    /** Bounds of a response whose listener limits what it keeps and how long it waits. */
    static ResponseBounds ofStreamed() {
        return new ResponseBounds(Long.MAX_VALUE, UNBOUNDED_TIME);
    }

    /** Bounds of a response that is kept in memory until it is complete. */
    static ResponseBounds ofBuffered(Duration silenceTimeout) {
        return new ResponseBounds(
                MAX_BUFFERED_BODY_BYTES, silenceTimeout.multipliedBy(MAX_SILENCE_TIMEOUTS));
    }
}
