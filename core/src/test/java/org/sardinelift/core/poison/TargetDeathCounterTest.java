package org.sardinelift.core.poison;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/**
 * Guards against a request that kills target after target, and against refusals because of deaths
 * that were counted twice or are long past.
 */
class TargetDeathCounterTest {
    private final TargetDeathCounter counter =
            TargetDeathCounter.create(3, Duration.ofNanos(100), 2);

    @Test
    void requestIsRefusedAfterTheDeathOfItsThirdTarget() {
        counter.onTargetDeath(1, "a", 0);
        counter.onTargetDeath(1, "b", 0);
        assertFalse(counter.isRefused(1, 0));

        counter.onTargetDeath(1, "c", 0);
        assertTrue(counter.isRefused(1, 0));
    }

    @Test
    void deathReportedTwiceCountsOnce() {
        assertTrue(counter.onTargetDeath(1, "a", 0));
        assertFalse(counter.onTargetDeath(1, "a", 1));
        counter.onTargetDeath(1, "a", 2);

        assertFalse(counter.isRefused(1, 2));
    }

    @Test
    void expiredDeathsDoNotCount() {
        counter.onTargetDeath(1, "a", 0);
        counter.onTargetDeath(1, "b", 50);
        counter.onTargetDeath(1, "c", 90);

        assertTrue(counter.isRefused(1, 99));
        assertFalse(counter.isRefused(1, 100));
    }

    @Test
    void numberOfKeptRequestsIsBounded() {
        counter.onTargetDeath(1, "a", 0);
        counter.onTargetDeath(1, "b", 0);
        counter.onTargetDeath(2, "a", 0);
        counter.onTargetDeath(3, "a", 0);
        counter.onTargetDeath(1, "c", 0);

        assertFalse(counter.isRefused(1, 0));
    }
}
