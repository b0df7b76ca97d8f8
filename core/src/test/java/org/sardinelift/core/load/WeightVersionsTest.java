package org.sardinelift.core.load;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class WeightVersionsTest {
    private static final long SECOND = WeightVersions.VALIDITY.toNanos();

    private final WeightVersions weights = WeightVersions.create();

    @Test
    void aTargetThatHasNotAnsweredMayHaveAnyVersion() {
        assertEquals(0, weights.nanosUntilRequest("2", 5));
    }

    @Test
    void aRefusalOfOneVersionDoesNotExcludeOthers() {
        weights.onRefused("2", 0);

        assertEquals(SECOND, weights.nanosUntilRequest("2", 0));
        assertEquals(0, weights.nanosUntilRequest("1", 0));
    }

    /** Weights change in place, and no other request may show it. */
    @Test
    void aRefusedVersionIsTriedAgainLater() {
        weights.onRefused("2", 0);

        assertEquals(1, weights.nanosUntilRequest("2", SECOND - 1));
        assertEquals(0, weights.nanosUntilRequest("2", SECOND));
    }

    @Test
    void aStatedVersionExcludesOthersWhileItIsRecent() {
        weights.onStated("1", 0);

        assertEquals(0, weights.nanosUntilRequest("1", 3 * SECOND));
        assertEquals(SECOND / 2, weights.nanosUntilRequest("2", SECOND / 2));
        assertEquals(0, weights.nanosUntilRequest("2", SECOND));
    }

    @Test
    void theLatestResponseCounts() {
        weights.onRefused("2", 0);
        weights.onStated("2", 1);
        assertEquals(0, weights.nanosUntilRequest("2", 1));

        weights.onRefused("2", 2);
        assertEquals(SECOND, weights.nanosUntilRequest("2", 2));
    }

    /** Callers choose the versions: state that grows with them would exhaust the memory. */
    @Test
    void refusalsOfManyVersionsAreBounded() {
        for (int version = 0; version < 1_000; version++) {
            weights.onRefused(Integer.toString(version), 0);
        }

        assertEquals(0, weights.nanosUntilRequest("0", 0));
        assertTrue(weights.nanosUntilRequest("999", 0) > 0);
    }
}
