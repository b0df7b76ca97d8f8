package org.sardinelift.core.resume;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.sardinelift.core.plan.SoftwareVersion;

class VersionHistoryTest {
    private static final SoftwareVersion V1 = new SoftwareVersion("llm", "v1");
    private static final SoftwareVersion V2 = new SoftwareVersion("llm", "v2");
    private static final SoftwareVersion OTHER = new SoftwareVersion("other", "v9");

    private final VersionHistory history =
            VersionHistory.create(Duration.ofSeconds(60), Duration.ofMillis(1_500));

    private static long seconds(double seconds) {
        return (long) (seconds * 1e9);
    }

    @Test
    void withoutARecordTheOnlyVersionIsKnownAfterTheWindow() {
        history.onTargets(Set.of(V1), seconds(0));

        assertEquals(Optional.empty(), history.soleVersion("llm", seconds(59)));
        assertEquals(Optional.of(V1), history.soleVersion("llm", seconds(60)));
    }

    @Test
    void anEmptyRecordShowsThatThereWasNoOtherVersion() {
        history.onRecord(Map.of(), seconds(0));
        history.onTargets(Set.of(V1, OTHER), seconds(0));

        assertEquals(Optional.of(V1), history.soleVersion("llm", seconds(0)));
        assertEquals(Optional.of(OTHER), history.soleVersion("other", seconds(0)));
        assertEquals(Optional.empty(), history.soleVersion("unknown", seconds(0)));
    }

    @Test
    void aVersionCountsForTheWindowAfterItHasGone() {
        history.onRecord(Map.of(), seconds(0));
        history.onTargets(Set.of(V1), seconds(0));
        history.onTargets(Set.of(V1, V2), seconds(10));
        history.onTargets(Set.of(V2), seconds(20));

        assertEquals(Optional.empty(), history.soleVersion("llm", seconds(10)));
        assertEquals(Optional.empty(), history.soleVersion("llm", seconds(79)));
        assertEquals(Optional.of(V2), history.soleVersion("llm", seconds(80)));
    }

    @Test
    void aServiceWhoseTargetsVanishForAWhileStillHasItsVersion() {
        history.onRecord(Map.of(), seconds(0));
        history.onTargets(Set.of(V1), seconds(0));
        history.onTargets(Set.of(), seconds(10));

        assertEquals(Optional.of(V1), history.soleVersion("llm", seconds(12)));
    }

    @Test
    void aRecordedVersionCountsUntilItMayHaveGoneForTheWindow() {
        // Recorded 50 s ago, so it may have been registered until 20 s ago.
        history.onRecord(Map.of(V1, Duration.ofSeconds(50)), seconds(0));
        history.onTargets(Set.of(V2), seconds(0));

        assertEquals(Optional.empty(), history.soleVersion("llm", seconds(39)));
        assertEquals(Optional.of(V2), history.soleVersion("llm", seconds(40)));
    }

    @Test
    void aRecordIsDueWhileAServiceHasSeveralVersions() {
        history.onRecord(Map.of(), seconds(0));
        history.onTargets(Set.of(V1, OTHER), seconds(0));
        assertEquals(Optional.empty(), history.dueRecord(seconds(1)));

        history.onTargets(Set.of(V1, V2, OTHER), seconds(2));
        Map<SoftwareVersion, Duration> due = history.dueRecord(seconds(2)).orElseThrow();
        assertEquals(Set.of(V1, V2), due.keySet());

        history.onRecorded(due, seconds(2));
        assertEquals(Optional.empty(), history.dueRecord(seconds(31)));
        assertTrue(history.dueRecord(seconds(32)).isPresent());
    }

    @Test
    void aNewVersionSettlesOnceAllInstancesCanHaveListedIt() {
        history.onTargets(Set.of(V1), seconds(0));
        history.onTargets(Set.of(V1, V2), seconds(10));

        assertTrue(history.isSettled(V1, seconds(11)));
        assertFalse(history.isSettled(V2, seconds(11.4)));
        assertTrue(history.hasUnsettledVersion(seconds(11.4)));
        assertTrue(history.isSettled(V2, seconds(11.5)));
        assertFalse(history.hasUnsettledVersion(seconds(11.5)));
    }
}
