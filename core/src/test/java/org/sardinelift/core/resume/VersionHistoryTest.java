package org.sardinelift.core.resume;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.sardinelift.core.plan.SoftwareVersion;

class VersionHistoryTest {
    private static final SoftwareVersion V1 = new SoftwareVersion("llm", "v1");
    private static final SoftwareVersion V2 = new SoftwareVersion("llm", "v2");
    private static final SoftwareVersion OTHER = new SoftwareVersion("other", "v9");

    private final VersionHistory history = newHistory();

    private static VersionHistory newHistory() {
        return VersionHistory.create(Duration.ofSeconds(60));
    }

    private static long seconds(double seconds) {
        return (long) (seconds * 1e9);
    }

    /** The version, if only one of the service has been seen within the window. */
    private static Optional<SoftwareVersion> only(
            VersionHistory history, String service, long now) {
        Set<SoftwareVersion> versions = history.versionsOf(service, now);
        return versions.size() == 1 ? versions.stream().findFirst() : Optional.empty();
    }

    @Test
    void aVersionCountsForTheWindowAfterItHasGone() {
        history.onRecord(Map.of(), seconds(0));
        history.onTargets(Set.of(V1), seconds(0));
        history.onTargets(Set.of(V1, V2), seconds(10));
        history.onTargets(Set.of(V2), seconds(20));

        assertEquals(Optional.empty(), only(history, "llm", seconds(10)));
        assertEquals(Optional.empty(), only(history, "llm", seconds(79)));
        assertEquals(Optional.of(V2), only(history, "llm", seconds(80)));
    }

    @Test
    void aServiceWhoseTargetsVanishForAWhileStillHasItsVersion() {
        history.onRecord(Map.of(), seconds(0));
        history.onTargets(Set.of(V1), seconds(0));
        history.onTargets(Set.of(), seconds(10));

        assertEquals(Optional.of(V1), only(history, "llm", seconds(12)));
    }

    @Test
    void aRecordedVersionCountsUntilItMayHaveGoneForTheWindow() {
        // Recorded 50 s ago, so it may have been registered until 20 s ago.
        history.onRecord(Map.of(V1, Duration.ofSeconds(50)), seconds(0));
        history.onTargets(Set.of(V2), seconds(0));

        assertEquals(Optional.empty(), only(history, "llm", seconds(39)));
        assertEquals(Optional.of(V2), only(history, "llm", seconds(40)));
    }

    @Test
    void aRecordIsDueWhileAServiceHasSeveralVersions() {
        history.onRecord(Map.of(), seconds(0));
        history.onTargets(Set.of(V1, OTHER), seconds(0));
        assertEquals(Optional.empty(), history.dueRecord(seconds(1)));

        history.onTargets(Set.of(V1, V2, OTHER), seconds(2));
        Map<SoftwareVersion, Duration> due = history.dueRecord(seconds(2)).orElseThrow();
        assertEquals(Set.of(V1, V2), due.keySet());

        history.onRecord(due, seconds(2));
        assertEquals(Optional.empty(), history.dueRecord(seconds(31)));
        assertTrue(history.dueRecord(seconds(32)).isPresent());
    }

    @Test
    void aVersionThatHasGoneIsForgottenThoughTheRecordIsWrittenAgain() {
        history.onRecord(Map.of(), seconds(0));
        history.onTargets(Set.of(V1, V2), seconds(0));
        long now = seconds(1);
        while (now < seconds(200) && only(history, "llm", now).isEmpty()) {
            long at = now;
            history.dueRecord(at).ifPresent(record -> history.onRecord(record, at));
            now += seconds(1);
            history.onTargets(Set.of(V2), now);
        }

        assertTrue(now <= seconds(62), "still several versions after " + now / 1e9 + " s");
    }

    @Test
    void aVersionThatHasGoneIsForgottenThoughInstancesRestartAndWriteTheRecord() {
        Map<SoftwareVersion, Long> record = new HashMap<>(Map.of(V1, 0L, V2, 0L));
        for (int start = 20; start <= 80; start += 20) {
            VersionHistory restarted = newHistory();
            long now = seconds(start);
            restarted.onRecord(agesOf(record, now), now);
            restarted.onTargets(Set.of(V2), now);
            restarted
                    .dueRecord(now)
                    .ifPresent(
                            ages ->
                                    ages.forEach(
                                            (version, age) ->
                                                    record.merge(
                                                            version,
                                                            now - age.toNanos(),
                                                            Math::max)));
        }
        VersionHistory last = newHistory();
        last.onRecord(agesOf(record, seconds(91)), seconds(91));
        last.onTargets(Set.of(V2), seconds(91));

        assertEquals(Optional.of(V2), only(last, "llm", seconds(91)));
    }

    private static Map<SoftwareVersion, Duration> agesOf(
            Map<SoftwareVersion, Long> record, long now) {
        return record.entrySet().stream()
                .collect(
                        Collectors.toMap(
                                Map.Entry::getKey,
                                last -> Duration.ofNanos(now - last.getValue())));
    }
}
