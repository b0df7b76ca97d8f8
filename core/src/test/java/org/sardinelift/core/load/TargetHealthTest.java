package org.sardinelift.core.load;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** A silent or failing target must get no calls, and a few failures must not exclude it. */
class TargetHealthTest {
    private static final long MILLI = 1_000_000;

    private final TargetHealth health =
            TargetHealth.of(
                    Duration.ofMillis(200),
                    Duration.ofMillis(400),
                    Duration.ofMillis(50),
                    Duration.ofMillis(750),
                    Duration.ofMillis(25));

    @Test
    void aSilentTargetIsUnusableUntilAProbeSucceeds() {
        assertTrue(health.onSilent(0));
        assertFalse(health.onSilent(1));
        assertFalse(health.isUsable(10_000 * MILLI));

        assertTrue(health.tryStartProbe(0));
        assertFalse(health.tryStartProbe(0), "one probe at a time");
        health.onProbeEnded(false, 0);
        assertFalse(health.tryStartProbe(199 * MILLI));
        assertTrue(health.tryStartProbe(200 * MILLI));
        health.onProbeEnded(true, 200 * MILLI);

        assertTrue(health.isUsable(200 * MILLI));
    }

    @Test
    void aFailingTargetIsPausedForIncreasingTimes() {
        IntStream.range(0, 4).forEach(i -> health.onFailure(0));
        assertFalse(health.isUsable(399 * MILLI));
        assertTrue(health.isUsable(400 * MILLI));

        long later = 400 * MILLI;
        while (!health.onFailure(later)) {
            assertTrue(health.isUsable(later));
        }
        assertFalse(health.isUsable(later + 799 * MILLI));
        assertTrue(health.isUsable(later + 800 * MILLI));
    }

    @Test
    void aFewFailuresAmongManyCallsDoNotPauseIt() {
        IntStream.range(0, 200)
                .forEach(
                        i -> {
                            if (i % 20 == 0) {
                                health.onFailure(0);
                            } else {
                                health.onSuccess(700 * MILLI, 30);
                            }
                        });

        assertTrue(health.isUsable(0));
    }

    @Test
    void timesFollowTheCalls() {
        IntStream.range(0, 50)
                .forEach(
                        i -> {
                            health.onFirstEvent(200 * MILLI);
                            health.onSuccess(3_000 * MILLI, 30);
                        });

        assertEquals(200.0, health.timeToFirstEventNanos() / 1e6, 2);
        assertEquals(3_200.0, health.callNanos() / 1e6, 20);
        assertEquals(100.0, health.eventGapNanos() / 1e6, 2);
    }
}
