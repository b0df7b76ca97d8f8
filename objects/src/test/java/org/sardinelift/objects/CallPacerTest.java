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

final class CallPacerTest {
    private static final long SECOND_NANOS = 1_000_000_000L;
    private static final Runnable NOTHING = () -> {};

    @Property(seed = "7301")
    void neverExceedsRateAndBurstInAnyWindow(
            @ForAll @IntRange(min = 1, max = 50) int rate,
            @ForAll @IntRange(min = 1, max = 5) int burst,
            @ForAll @Size(max = 60) List<@IntRange(min = 0, max = 400) Integer> pausesMs) {
        PriorityRateLimiter pacer =
                PriorityRateLimiter.create(new CallBudget(rate, burst, 1_000), 0);
        List<Long> sent = new ArrayList<>();
        long now = 0;
        for (int pauseMs : pausesMs) {
            now += pauseMs * 1_000_000L;
            pacer.enqueue(CallPriority.CONTROL, NOTHING);
            pacer.enqueue(CallPriority.BULK, NOTHING);
            while (pacer.dequeue(now).isPresent()) {
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
    void controlGoesBeforeBulk() {
        PriorityRateLimiter pacer = PriorityRateLimiter.create(new CallBudget(1, 1, 10), 0);
        List<String> sent = new ArrayList<>();
        pacer.dequeue(0);
        pacer.enqueue(CallPriority.ofKind("job-result"), () -> sent.add("bulk"));
        pacer.enqueue(CallPriority.ofKind("lease"), () -> sent.add("control"));
        pacer.dequeue(0).ifPresent(Runnable::run);
        pacer.dequeue(SECOND_NANOS).ifPresent(Runnable::run);
        assertEquals(List.of("control", "bulk"), sent);
    }

    @Test
    void aFullQueueTakesNoMore() {
        PriorityRateLimiter pacer = PriorityRateLimiter.create(new CallBudget(1, 1, 2), 0);
        assertTrue(pacer.enqueue(CallPriority.BULK, NOTHING));
        assertTrue(pacer.enqueue(CallPriority.BULK, NOTHING));
        assertFalse(pacer.enqueue(CallPriority.CONTROL, NOTHING));
    }

    @Test
    void tellsWhenTheNextTokenIsThere() {
        PriorityRateLimiter pacer = PriorityRateLimiter.create(new CallBudget(4, 1, 10), 0);
        pacer.enqueue(CallPriority.BULK, NOTHING);
        assertTrue(pacer.dequeue(0).isPresent());
        pacer.enqueue(CallPriority.BULK, NOTHING);
        long wait = pacer.nanosUntilNextToken(0);
        assertEquals(SECOND_NANOS / 4, wait);
        assertEquals(Optional.empty(), pacer.dequeue(wait - 2));
        assertTrue(pacer.dequeue(wait).isPresent());
    }
}
