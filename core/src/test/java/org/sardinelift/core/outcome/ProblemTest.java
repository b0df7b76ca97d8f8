package org.sardinelift.core.outcome;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** A refusal must not ask the caller to retry after 0 s. */
class ProblemTest {
    @Test
    void aZeroRetryAfterIsOmitted() {
        assertEquals(Optional.empty(), retryAfter(Duration.ZERO));
        assertEquals(Optional.of(Duration.ofMillis(1)), retryAfter(Duration.ofMillis(1)));
    }

    private static Optional<Duration> retryAfter(Duration duration) {
        return Problem.notRun(ProblemKind.DEADLINE_EXCEEDED, "late", duration).retryAfter();
    }
}
