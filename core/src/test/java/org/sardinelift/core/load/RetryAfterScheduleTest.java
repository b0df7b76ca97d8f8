package org.sardinelift.core.load;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Refused callers must not return in one wave, nor into the peak that they were refused at. */
class RetryAfterScheduleTest {
    private static final long MILLI = 1_000_000;
    private static final Duration LONGEST = Duration.ofMillis(1_600);

    private final RetryAfterSchedule schedule = RetryAfterSchedule.create();

    private long nextRetryAfterMs(
            int untilCapacityMs, double slotsPerSecond, long draw, long nowMs) {
        return schedule.nextRetryAfter(
                        Duration.ofMillis(untilCapacityMs),
                        slotsPerSecond,
                        LONGEST,
                        draw,
                        nowMs * MILLI)
                .toMillis();
    }

    private long nextRetryAfterMs(int untilCapacityMs, long nowMs) {
        return nextRetryAfterMs(untilCapacityMs, 50, 0, nowMs);
    }

    @Test
    void theFirstReturnsWhenCapacityIsExpected() {
        assertEquals(100, nextRetryAfterMs(100, 0));
    }

    @Test
    void neverReturnsLessThanTheMinimum() {
        assertEquals(60, nextRetryAfterMs(2, 0));
    }

    @Test
    void callersOfABurstReturnOneAfterTheOther() {
        List<Long> retryAfterMs =
                IntStream.range(0, 5).mapToObj(i -> nextRetryAfterMs(100, 0)).toList();

        assertEquals(List.of(100L, 120L, 140L, 160L, 180L), retryAfterMs);
    }

    @Test
    void neverReturnsMoreThanTheLongestTime() {
        assertTrue(IntStream.range(0, 300).allMatch(i -> nextRetryAfterMs(100, 0) <= 1_600));
    }

    @Test
    void anOldBurstDoesNotDelayNewCallers() {
        IntStream.range(0, 5).forEach(i -> nextRetryAfterMs(100, 0));

        assertEquals(100, nextRetryAfterMs(100, 1_000));
    }

    @Test
    void callersReturnAfterAPeakOfNewCalls() {
        for (int ms = 0; ms < 2_000; ms += 10) {
            schedule.onNewCall(ms * MILLI);
        }

        List<Long> retryAfterMs =
                IntStream.range(0, 100)
                        .mapToObj(i -> nextRetryAfterMs(100, 50, i * 7_919L, 2_000))
                        .toList();

        assertTrue(
                retryAfterMs.stream().allMatch(ms -> ms >= 1_350 && ms <= 1_600),
                retryAfterMs.toString());
        assertTrue(retryAfterMs.stream().distinct().count() > 50, retryAfterMs.toString());
    }

    @Test
    void afterThePeakCallersReturnAsSlotsBecomeFree() {
        for (int ms = 0; ms < 2_000; ms += 10) {
            schedule.onNewCall(ms * MILLI);
        }

        assertEquals(100, nextRetryAfterMs(100, 50, 0, 4_000));
    }
}
