package org.sardinelift.core.poison;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class DeathTallyTest {
    private final DeathTally tally = DeathTally.create(3, Duration.ofNanos(100), 2);

    @Test
    void aRequestIsRefusedAfterItsThirdTarget() {
        tally.onDeath(1, "a", 0);
        tally.onDeath(1, "b", 0);
        assertFalse(tally.isRefused(1, 0));

        tally.onDeath(1, "c", 0);
        assertTrue(tally.isRefused(1, 0));
    }

    @Test
    void oneDeathThatSeveralReportCountsOnce() {
        assertTrue(tally.onDeath(1, "a", 0));
        assertFalse(tally.onDeath(1, "a", 1));
        tally.onDeath(1, "a", 2);

        assertFalse(tally.isRefused(1, 2));
    }

    @Test
    void deathsLongAgoDoNotCount() {
        tally.onDeath(1, "a", 0);
        tally.onDeath(1, "b", 50);
        tally.onDeath(1, "c", 90);

        assertTrue(tally.isRefused(1, 99));
        assertFalse(tally.isRefused(1, 100));
    }

    @Test
    void memoryIsBounded() {
        tally.onDeath(1, "a", 0);
        tally.onDeath(1, "b", 0);
        tally.onDeath(2, "a", 0);
        tally.onDeath(3, "a", 0);
        tally.onDeath(1, "c", 0);

        assertFalse(tally.isRefused(1, 0));
    }
}
