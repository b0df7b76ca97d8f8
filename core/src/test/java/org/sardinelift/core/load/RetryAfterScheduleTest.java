package org.sardinelift.core.load;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class RetryAfterScheduleTest {
    private static final long MILLI = 1_000_000;
    private static final Duration LONGEST = Duration.ofMillis(1_600);

    private final RetryAfterSchedule times = RetryAfterSchedule.create();

    private long nextMs(int untilRoomMs, double slotsPerSecond, long draw, long nowMs) {
        return times.nextRetryAfter(
                        Duration.ofMillis(untilRoomMs),
                        slotsPerSecond,
                        LONGEST,
                        draw,
                        nowMs * MILLI)
                .toMillis();
    }

    private long nextMs(int untilRoomMs, long nowMs) {
        return nextMs(untilRoomMs, 50, 0, nowMs);
    }

    @Test
    void theFirstComesWhenThereIsRoom() {
        assertEquals(100, nextMs(100, 0));
    }

    @Test
    void nobodyIsToldToComeBackAtOnce() {
        assertEquals(60, nextMs(2, 0));
    }

    @Test
    void thoseOfOneBurstComeOneAfterTheOther() {
        List<Long> told = IntStream.range(0, 5).mapToObj(i -> nextMs(100, 0)).toList();

        assertEquals(List.of(100L, 120L, 140L, 160L, 180L), told);
    }

    @Test
    void nobodyIsToldLongerThanCallersHonour() {
        assertTrue(IntStream.range(0, 300).allMatch(i -> nextMs(100, 0) <= 1_600));
    }

    @Test
    void anOldBurstDelaysNobody() {
        IntStream.range(0, 5).forEach(i -> nextMs(100, 0));

        assertEquals(100, nextMs(100, 1_000));
    }

    @Test
    void atAPeakThatNewCallsFillCallersReturnAfterIt() {
        for (int ms = 0; ms < 2_000; ms += 10) {
            times.onNewCall(ms * MILLI);
        }

        List<Long> told =
                IntStream.range(0, 100).mapToObj(i -> nextMs(100, 50, i * 7_919L, 2_000)).toList();

        assertTrue(told.stream().allMatch(ms -> ms >= 1_350 && ms <= 1_600), told.toString());
        assertTrue(told.stream().distinct().count() > 50, told.toString());
    }

    @Test
    void afterThePeakTheyReturnAsSlotsComeFree() {
        for (int ms = 0; ms < 2_000; ms += 10) {
            times.onNewCall(ms * MILLI);
        }

        assertEquals(100, nextMs(100, 50, 0, 4_000));
    }
}
