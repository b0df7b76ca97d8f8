package org.sardinelift.core.resume;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.sardinelift.core.plan.SoftwareVersion;
import org.sardinelift.core.resume.RecordedVersions.Action;
import org.sardinelift.core.resume.RecordedVersions.Known;
import org.sardinelift.core.resume.VersionRecord.State;

/** Guards against streams of a version that the record in the store isn't known to hold. */
class RecordedVersionsTest {
    private static final SoftwareVersion V1 = new SoftwareVersion("llm", "v1");
    private static final SoftwareVersion V2 = new SoftwareVersion("llm", "v2");

    private RecordedVersions versions = create(true);

    private static RecordedVersions create(boolean isFirstStart) {
        return RecordedVersions.create(
                Duration.ofSeconds(60), Duration.ofMillis(1_500), new Random(1), isFirstStart);
    }

    private static long seconds(double seconds) {
        return (long) (seconds * 1e9);
    }

    private void list(double at, SoftwareVersion... listed) {
        versions.onTargets(Set.of(listed), seconds(at));
        versions.onListAge(true, seconds(at));
    }

    private void read(double at, Map<SoftwareVersion, State> states) {
        versions.onRecord(new Known(new VersionRecord(states), 7, seconds(at)), seconds(at));
    }

    private Optional<SoftwareVersion> sole(double at, SoftwareVersion... seen) {
        return versions.soleVersion("llm", Set.of(seen), seconds(at));
    }

    private Set<SoftwareVersion> select(double at, SoftwareVersion... available) {
        return versions.selectForNewStreams(Set.of(available), seconds(at));
    }

    /** Returns what is written once the time of an action has come. */
    private Optional<Map<SoftwareVersion, State>> written(double at) {
        for (double time = at; time < at + 0.5; time += 0.05) {
            Optional<Action> action = versions.due(Set.of(), true, seconds(time));
            if (action.isPresent()) {
                versions.onActionEnded(true, true, seconds(time));
            }
            if (action.orElse(null) instanceof Action.Write write) {
                return Optional.of(write.record().states());
            }
            if (action.isPresent()) {
                read(time, versions.known().orElseThrow().record().states());
            }
        }
        return Optional.empty();
    }

    @Test
    void anAbsentRecordIsNoProof() {
        list(0, V1);
        read(0.1, Map.of());

        assertEquals(Optional.empty(), sole(0.2, V1));
        assertEquals(Optional.empty(), sole(59.9, V1));
        assertEquals(Optional.of(V1), sole(60, V1));
    }

    @Test
    void aRecordWithExactlyOneVersionIsAProofIfItWasReadSinceTheListIsCurrent() {
        read(0, Map.of(V1, State.IN_USE));
        list(1, V1);
        assertEquals(Optional.empty(), sole(1, V1));

        read(1.1, Map.of(V1, State.IN_USE));
        assertEquals(Optional.of(V1), sole(1.2, V1));

        versions.onListAge(false, seconds(2));
        assertEquals(Optional.empty(), sole(2, V1));
        versions.onListAge(true, seconds(5));
        assertEquals(Optional.empty(), sole(5, V1));
    }

    @Test
    void aVersionThatIsMarkedOrNotListedIsAVersion() {
        list(0, V2);
        read(0.1, Map.of(V1, State.UNUSED, V2, State.IN_USE));

        assertEquals(Optional.empty(), sole(59, V2));
        assertEquals(Optional.of(V2), sole(60, V2));
        assertEquals(Optional.empty(), sole(60, V1, V2));
    }

    @Test
    void aStreamBeginsOnceTheRecordIsKnownToHoldItsVersion() {
        list(0, V1);
        assertEquals(Set.of(), select(0, V1));
        read(0.1, Map.of());
        assertEquals(Set.of(), select(0.1, V1));
        assertEquals(Map.of(V1, State.IN_USE), written(0.1).orElseThrow());
        read(0.5, Map.of(V1, State.IN_USE));
        assertEquals(Set.of(V1), select(0.5, V1));

        list(10, V1, V2);
        read(9.9, Map.of(V1, State.IN_USE, V2, State.IN_USE));
        assertEquals(Set.of(V1), select(10, V1, V2));
        read(10.1, Map.of(V1, State.IN_USE, V2, State.IN_USE));
        assertEquals(Set.of(V1, V2), select(10.1, V1, V2));
    }

    @Test
    void aNewVersionWaitsUntilAllInstancesHaveListedIt() {
        list(0, V1);
        read(0.1, Map.of(V1, State.IN_USE));
        list(10, V1, V2);
        read(10.1, Map.of(V1, State.IN_USE, V2, State.NEW));

        assertEquals(Set.of(), select(11.4, V2));
        assertEquals(Set.of(V1), select(11.4, V1, V2));
        assertEquals(Set.of(V1, V2), select(11.5, V1, V2));
        assertEquals(Map.of(V1, State.IN_USE, V2, State.IN_USE), written(11.5).orElseThrow());
    }

    @Test
    void aNewVersionWaitsThoughTheOtherOneHasJustLeft() {
        list(0, V1);
        read(0.1, Map.of(V1, State.IN_USE));
        list(10, V2);
        read(10.1, Map.of(V1, State.IN_USE, V2, State.NEW));

        assertEquals(Set.of(), select(11.4, V2));
        assertEquals(Set.of(V2), select(11.5, V2));
    }

    @Test
    void withoutTheStoreRecordedVersionsArePreferred() {
        read(0, Map.of(V1, State.IN_USE));
        list(1, V1, V2);
        versions.due(Set.of(), true, seconds(1));
        versions.onActionEnded(false, false, seconds(1.1));

        assertEquals(Set.of(V1), select(5, V1, V2));
        assertEquals(Set.of(), select(5, V2));
    }

    @Test
    void withoutAnyRecordOfTheServiceItsVersionsAreUsed() {
        list(1, V1, V2);
        versions.due(Set.of(), true, seconds(1));
        versions.onActionEnded(false, false, seconds(1.1));

        assertEquals(Set.of(), select(1.9, V1, V2));
        assertEquals(Set.of(V1, V2), select(2, V1, V2));
    }

    /** Guards against streams that begin unrecorded after a write got no response. */
    @Test
    void aWriteWithoutAResponseIsWaitedFor() {
        list(0, V1);
        read(0.1, Map.of());
        versions.onActionEnded(true, false, seconds(1.5));

        assertEquals(Set.of(), select(7.9, V1));
        assertEquals(Set.of(V1), select(8, V1));
    }

    @Test
    void aVersionIsRemovedInTwoStepsAndUnmarkedWhenItReturns() {
        list(0, V1, V2);
        Map<SoftwareVersion, State> both = Map.of(V1, State.IN_USE, V2, State.IN_USE);
        Map<SoftwareVersion, State> marked = Map.of(V1, State.UNUSED, V2, State.IN_USE);
        read(0.1, both);
        list(10, V2);
        assertEquals(Optional.empty(), written(69));
        assertEquals(marked, written(70).orElseThrow());
        read(71, marked);
        assertEquals(Optional.empty(), written(190));
        assertEquals(Map.of(V2, State.IN_USE), written(191).orElseThrow());

        list(191.5, V1, V2);
        read(191.6, marked);
        assertEquals(Set.of(V2), select(191.6, V1, V2));
        assertEquals(Map.of(V1, State.NEW, V2, State.IN_USE), written(191.6).orElseThrow());
    }

    @Test
    void aVersionThatIsListedAgainWhileMarkedIsNotRemoved() {
        list(0, V1, V2);
        read(0.1, Map.of(V1, State.IN_USE, V2, State.IN_USE));
        list(10, V2);
        read(80, Map.of(V1, State.UNUSED, V2, State.IN_USE));
        list(150, V1, V2);
        list(151, V2);
        read(152, Map.of(V1, State.UNUSED, V2, State.IN_USE));

        assertEquals(Optional.empty(), written(270));
        assertEquals(Map.of(V2, State.IN_USE), written(271).orElseThrow());
    }

    /**
     * Streams may have begun unrecorded, such as at the release before or while the store failed.
     */
    @Test
    void aRecordThatIsFirstWrittenLaterProvesNothingUntilTheWindowHasPassed() {
        versions = create(false);
        list(0, V1);
        read(0.1, Map.of());

        Map<SoftwareVersion, State> first = written(0.1).orElseThrow();
        assertEquals(Map.of(V1, State.UNPROVED), first);
        read(0.5, first);
        assertEquals(Optional.empty(), sole(1, V1));
        assertEquals(Set.of(V1), select(2, V1));

        list(61, V1);
        Map<SoftwareVersion, State> later = written(61).orElseThrow();
        assertEquals(Map.of(V1, State.IN_USE), later);
        read(62, later);
        assertEquals(Optional.of(V1), sole(62.1, V1));
    }

    /** An instance that starts meanwhile must not take the record for a proof either. */
    @Test
    void anUnprovedVersionIsNoProofForAnotherInstance() {
        list(10, V1);
        read(10.1, Map.of(V1, State.UNPROVED));

        assertEquals(Optional.empty(), sole(11, V1));
    }
}
