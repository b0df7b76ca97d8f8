package org.sardinelift.core.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/** Guards against calls that are accepted during a stop and cut off by the exit. */
class ShutdownWindowTest {
    private static final Duration GRACE_PERIOD = Duration.ofSeconds(8);
    private static final Duration EXIT_RESERVE = Duration.ofMillis(900);

    /** Such that the times of the stop overflow, as those of a monotonic clock may. */
    private static final long REQUESTED_AT = Long.MAX_VALUE - Duration.ofSeconds(3).toNanos();

    private final ShutdownWindow window =
            ShutdownWindow.stopping(REQUESTED_AT, GRACE_PERIOD, EXIT_RESERVE);

    private static long after(long millis) {
        return REQUESTED_AT + Duration.ofMillis(millis).toNanos();
    }

    @Test
    void anyCallFitsWhileNoStopIsRequested() {
        assertTrue(ShutdownWindow.running().fits(Duration.ofDays(1), REQUESTED_AT));
        assertTrue(ShutdownWindow.running().fits(Duration.ofDays(1), after(100_000)));
    }

    @Test
    void anAcceptedCallEndsBeforeTheExitAtEachMomentOfTheStop() {
        LongStream.rangeClosed(0, 9_000)
                .forEach(
                        at ->
                                LongStream.of(1, 300, 1_000, 5_000, 7_100, 30_000)
                                        .forEach(limit -> assertEndsBeforeExit(at, limit)));
    }

    private void assertEndsBeforeExit(long at, long limitMs) {
        long exit = GRACE_PERIOD.minus(EXIT_RESERVE).toMillis();
        boolean endsBeforeExit = at + limitMs <= exit;
        assertEquals(
                endsBeforeExit,
                window.fits(Duration.ofMillis(limitMs), after(at)),
                "a call of " + limitMs + " ms, " + at + " ms after the request to stop");
    }

    @Test
    void aCallWithoutTimeToExitIsRefusedFromTheStartOfTheStop() {
        assertFalse(window.fits(GRACE_PERIOD, after(0)));
    }

    @Test
    void theLastStartIsWhenACallFitsForTheLastTime() {
        Duration limit = Duration.ofSeconds(5);
        long last = window.lastStart(limit);

        assertTrue(window.fits(limit, last));
        assertFalse(window.fits(limit, last + 1));
        assertEquals(after(2_100), last);
    }
}
