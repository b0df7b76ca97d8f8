package org.sardinelift.core.poison;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class TargetDeathCounterTest {
    private final TargetDeathCounter tally = TargetDeathCounter.create(3, Duration.ofNanos(100), 2);

    @Test
    void aRequestIsRefusedAfterItsThirdTarget() {
        tally.onTargetDeath(1, "a", 0);
        tally.onTargetDeath(1, "b", 0);
        assertFalse(tally.isRefused(1, 0));

        tally.onTargetDeath(1, "c", 0);
        assertTrue(tally.isRefused(1, 0));
    }

    @Test
    void oneDeathThatSeveralReportCountsOnce() {
        assertTrue(tally.onTargetDeath(1, "a", 0));
        assertFalse(tally.onTargetDeath(1, "a", 1));
        tally.onTargetDeath(1, "a", 2);

        assertFalse(tally.isRefused(1, 2));
    }

    @Test
    void deathsLongAgoDoNotCount() {
        tally.onTargetDeath(1, "a", 0);
        tally.onTargetDeath(1, "b", 50);
        tally.onTargetDeath(1, "c", 90);

        assertTrue(tally.isRefused(1, 99));
        assertFalse(tally.isRefused(1, 100));
    }

    @Test
    void memoryIsBounded() {
        tally.onTargetDeath(1, "a", 0);
        tally.onTargetDeath(1, "b", 0);
        tally.onTargetDeath(2, "a", 0);
        tally.onTargetDeath(3, "a", 0);
        tally.onTargetDeath(1, "c", 0);

        assertFalse(tally.isRefused(1, 0));
    }
}
