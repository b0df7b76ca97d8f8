package org.sardinelift.objects;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/** Tests the rate, order and queue limit of {@link PriorityRateLimiter}. */
final class PriorityRateLimiterTest {
    private static final long SECOND_NANOS = 1_000_000_000L;
    private static final Runnable NOTHING = () -> {};

    @Property(seed = "7301")
    void neverExceedsRateAndBurstInAnyWindow(
            @ForAll @IntRange(min = 1, max = 50) int rate,
            @ForAll @IntRange(min = 1, max = 5) int burst,
            @ForAll @Size(max = 60) List<@IntRange(min = 0, max = 400) Integer> pausesMs) {
        PriorityRateLimiter limiter =
                PriorityRateLimiter.create(new CallBudget(rate, burst, 1_000), 0);
        List<Long> sent = new ArrayList<>();
        long now = 0;
        for (int pauseMs : pausesMs) {
            now += pauseMs * 1_000_000L;
            limiter.enqueue(CallPriority.CONTROL, NOTHING);
            limiter.enqueue(CallPriority.BULK, NOTHING);
            while (limiter.dequeue(now).isPresent()) {
                sent.add(now);
            }
        }
        for (int from = 0; from < sent.size(); from++) {
            for (int to = from; to < sent.size(); to++) {
                double seconds = (double) (sent.get(to) - sent.get(from)) / SECOND_NANOS;
                assertTrue(to - from + 1 <= burst + seconds * rate + 1e-6);
            }
        }
    }

    @Test
    void controlCallsAreDequeuedBeforeBulkCalls() {
        PriorityRateLimiter limiter = PriorityRateLimiter.create(new CallBudget(1, 1, 10), 0);
        List<String> sent = new ArrayList<>();
        limiter.dequeue(0);
        limiter.enqueue(CallPriority.ofKind("job-result"), () -> sent.add("bulk"));
        limiter.enqueue(CallPriority.ofKind("lease"), () -> sent.add("control"));
        limiter.dequeue(0).ifPresent(Runnable::run);
        limiter.dequeue(SECOND_NANOS).ifPresent(Runnable::run);
        assertEquals(List.of("control", "bulk"), sent);
    }

    @Test
    void aFullQueueRefusesCalls() {
        PriorityRateLimiter limiter = PriorityRateLimiter.create(new CallBudget(1, 1, 2), 0);
        assertTrue(limiter.enqueue(CallPriority.BULK, NOTHING));
        assertTrue(limiter.enqueue(CallPriority.BULK, NOTHING));
        assertFalse(limiter.enqueue(CallPriority.CONTROL, NOTHING));
    }

    @Test
    void reportsTheTimeUntilTheNextToken() {
        PriorityRateLimiter limiter = PriorityRateLimiter.create(new CallBudget(4, 1, 10), 0);
        limiter.enqueue(CallPriority.BULK, NOTHING);
        assertTrue(limiter.dequeue(0).isPresent());
        limiter.enqueue(CallPriority.BULK, NOTHING);
        long wait = limiter.nanosUntilNextToken(0);
        assertEquals(SECOND_NANOS / 4, wait);
        assertEquals(Optional.empty(), limiter.dequeue(wait - 2));
        assertTrue(limiter.dequeue(wait).isPresent());
    }
}
