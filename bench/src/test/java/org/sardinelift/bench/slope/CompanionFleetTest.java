package org.sardinelift.bench.slope;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.sardinelift.core.route.Candidate;

/** Slopes of routing must be measured with all companions usable. */
final class CompanionFleetTest {

    @Test
    void everyCompanionIsUsableAndItsFreeSlotsAreCounted() {
        try (CompanionFleet fleet = CompanionFleet.start(22)) {
            assertEquals(22, fleet.candidates().size());
            assertTrue(fleet.candidates().stream().allMatch(Candidate::isUsable));
            assertEquals(3, fleet.freeBatchSlots(CompanionFleet.model(0)));
        }
    }
}
