package org.sardinelift.core.load;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class ReturnTimesTest {
    private final ReturnTimes times = ReturnTimes.create();

    private Duration next(int untilRoomMs, long nowMs) {
        return times.next(
                Duration.ofMillis(untilRoomMs),
                Duration.ofMillis(20),
                Duration.ofMillis(500),
                nowMs * 1_000_000);
    }

    @Test
    void theFirstComesWhenThereIsRoom() {
        assertEquals(Duration.ofMillis(100), next(100, 0));
    }

    @Test
    void thoseOfOneBurstComeOneAfterTheOther() {
        List<Long> told = IntStream.range(0, 5).mapToObj(i -> next(100, 0).toMillis()).toList();

        assertEquals(List.of(100L, 120L, 140L, 160L, 180L), told);
    }

    @Test
    void nobodyIsToldLongerThanCallersHonour() {
        boolean within =
                IntStream.range(0, 100)
                        .mapToObj(i -> next(100, 0))
                        .allMatch(told -> told.compareTo(Duration.ofMillis(500)) <= 0);

        assertTrue(within);
    }

    @Test
    void anOldBurstDelaysNobody() {
        IntStream.range(0, 5).forEach(i -> next(100, 0));

        assertEquals(Duration.ofMillis(100), next(100, 1_000));
    }
}
