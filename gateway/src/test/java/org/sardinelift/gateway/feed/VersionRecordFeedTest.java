package org.sardinelift.gateway.feed;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.sardinelift.core.plan.SoftwareVersion;
import org.sardinelift.core.resume.StreamVersions;
import org.sardinelift.objects.ObjectKey;
import org.sardinelift.objects.ReadResult;
import org.sardinelift.runtime.ControlThread;

/**
 * Guards against an instance that takes the version which is left for the only one that a service
 * has had, since the record in the store lacks the other one or states a wrong time for it. Runs
 * the two feeds of the product as a node does.
 */
class VersionRecordFeedTest {
    private static final String SERVICE = "llm";
    private static final SoftwareVersion V1 = new SoftwareVersion(SERVICE, "v1");
    private static final SoftwareVersion V2 = new SoftwareVersion(SERVICE, "v2");
    private static final ObjectKey MAIN = new ObjectKey("sardinelift-software-versions", "main");
    private static final ObjectKey RECORDED =
            new ObjectKey("sardinelift-software-versions", "recorded");
    private static final String V1_IN_USE =
            "{\"versions\":[{\"service\":\"llm\",\"version\":\"v1\",\"state\":\"in_use\"}]}";

    private final LateWriteStore store = new LateWriteStore();
    private final ControlThread control = ControlThread.start("control");

    private final class Instance {
        private final StreamVersions versions = StreamVersions.create("g", new Random(1), true);
        private final StoreAvailability availability = new StoreAvailability();
        private final VersionRecordFeed times =
                VersionRecordFeed.of(
                        store,
                        control,
                        availability,
                        ages -> versions.history().onRecord(ages, System.nanoTime()));
        private final VersionStateFeed states =
                VersionStateFeed.of(
                        store,
                        control::execute,
                        availability,
                        versions.recorded(),
                        () -> versions.dueAction(true, System.nanoTime()));
        private boolean isKilled;

        void start() {
            CompletableFuture<Void> isRead = new CompletableFuture<>();
            times.start(() -> isRead.complete(null));
            isRead.join();
            control.scheduleRepeatedly(
                    Duration.ofMillis(20),
                    () -> {
                        if (!isKilled) {
                            versions.recorded().onListAge(true, System.nanoTime());
                            states.check();
                        }
                    });
        }

        void list(SoftwareVersion... listed) {
            call(
                    () -> {
                        versions.onTargets(Set.of(listed), System.nanoTime());
                        versions.history().dueRecord(System.nanoTime()).ifPresent(times::write);
                        states.check();
                        return true;
                    });
        }

        Optional<SoftwareVersion> soleVersion() {
            return call(() -> versions.soleVersion(SERVICE, true, System.nanoTime()));
        }

        Set<SoftwareVersion> selectForNewStreams(SoftwareVersion... available) {
            return call(
                    () ->
                            versions.recorded()
                                    .selectForNewStreams(Set.of(available), System.nanoTime()));
        }

        void kill() {
            call(() -> isKilled = true);
        }
    }

    @AfterEach
    void close() {
        control.close();
    }

    private <T> T call(Supplier<T> action) {
        return CompletableFuture.supplyAsync(action, control::execute).join();
    }

    private Instance start() {
        Instance instance = new Instance();
        instance.start();
        return instance;
    }

    private String stored() {
        return store.inner().read(RECORDED).join() instanceof ReadResult.Found found
                ? found.object().value()
                : "";
    }

    private void awaitStored(String part) {
        Awaitility.await().until(() -> stored().contains(part));
    }

    /** All instances have restarted, and list what is left. */
    private void assertRestartedInstanceDoesNotKnowTheSoleVersion() {
        Instance restarted = start();
        restarted.list(V2);
        Awaitility.await()
                .during(Duration.ofMillis(800))
                .until(() -> restarted.soleVersion().isEmpty());
    }

    @Test
    void anAbsentRecordIsNoProof() {
        store.setHoldsWrites(true);
        assertRestartedInstanceDoesNotKnowTheSoleVersion();
    }

    @Test
    void noStreamBeginsWhileTheWriteOfItsVersionIsUnderWayOrLost() {
        Instance first = start();
        store.setHoldsWrites(true);
        first.list(V1, V2);

        Awaitility.await().until(() -> store.heldWriteCount() > 1);
        assertEquals(Set.of(), first.selectForNewStreams(V1, V2));

        store.executeHeldWrites();
        Awaitility.await().until(() -> first.selectForNewStreams(V1, V2).equals(Set.of(V1, V2)));
        assertTrue(first.soleVersion().isEmpty());
    }

    @Test
    void aVersionWhoseStreamsMayHaveBegunIsKnownAfterARestart() {
        Instance before = start();
        before.list(V1);
        Awaitility.await().until(() -> before.selectForNewStreams(V1).contains(V1));
        before.list(V1, V2);
        store.setHoldsWrites(true);
        before.kill();

        assertRestartedInstanceDoesNotKnowTheSoleVersion();
    }

    @Test
    void aRecordThatIsWrittenLateIsNoProofBefore() {
        store.inner().write(RECORDED, 0, V1_IN_USE);
        Instance before = start();
        store.setHoldsWrites(true);
        before.list(V1, V2);
        Awaitility.await().until(() -> store.heldWriteCount() > 0);
        before.kill();

        assertRestartedInstanceDoesNotKnowTheSoleVersion();
    }

    @Test
    void aWriteThatConflictsKeepsWhatTheOtherInstanceHasWritten() {
        Instance before = start();
        store.setHoldsWrites(true);
        before.list(V2);
        Awaitility.await().until(() -> store.heldWriteCount() > 0);
        store.inner().write(RECORDED, 0, V1_IN_USE);
        store.executeHeldWrites();
        store.setHoldsWrites(false);

        awaitStored("\"v2\"");
        assertTrue(stored().contains("\"v1\""), stored());
        before.kill();
        assertRestartedInstanceDoesNotKnowTheSoleVersion();
    }

    @Test
    void clocksHaveNoPartInTheDecision() {
        // The previous release wrote it 89 s ago, by a clock that is 2 s behind; v1 stayed for 30
        // s.
        long lastMs = System.currentTimeMillis() - Duration.ofSeconds(91).toMillis();
        String times = "{\"versions\":[{\"service\":\"llm\",\"version\":\"v1\",\"lastMs\":%d}]}";
        store.inner().write(MAIN, 0, times.formatted(lastMs));
        store.inner().write(RECORDED, 0, V1_IN_USE);

        assertRestartedInstanceDoesNotKnowTheSoleVersion();
    }

    @Test
    void aRemovalThatIsExecutedLateFailsOnceTheVersionIsBack() {
        String marked = V1_IN_USE.replace("in_use", "unused");
        String both =
                marked.replace(
                        "]", ",{\"service\":\"llm\",\"version\":\"v2\",\"state\":\"in_use\"}]");
        store.inner().write(RECORDED, 0, both);
        String removed = V1_IN_USE.replace("v1", "v2");
        Instance instance = start();
        instance.list(V1, V2);
        awaitStored("\"new\"");

        store.inner().write(RECORDED, 1, removed);

        assertTrue(stored().contains("\"v1\""), stored());
        instance.kill();
        assertRestartedInstanceDoesNotKnowTheSoleVersion();
    }

    @Test
    void theOnlyVersionIsKnownAfterARestartWithOneWriteAndWithoutTheTimes() {
        Instance before = start();
        before.list(V1);
        awaitStored("\"v1\"");
        before.kill();
        int calls = store.inner().calls();

        Instance restarted = start();
        restarted.list(V1);
        Awaitility.await().until(() -> restarted.soleVersion().equals(Optional.of(V1)));

        // One read of each of the two records.
        assertEquals(calls + 2, store.inner().calls());
        assertEquals(1, store.inner().revision());
    }

    @Test
    void aRecordThatCannotBeParsedChangesNothing() {
        store.inner().write(RECORDED, 0, "{\"versions\":[{\"service\":\"llm\"}]}");
        Instance instance = start();
        instance.list(V2);

        Awaitility.await()
                .during(Duration.ofMillis(500))
                .until(() -> instance.soleVersion().isEmpty());
        assertTrue(!stored().contains("v2"), stored());
    }
}
