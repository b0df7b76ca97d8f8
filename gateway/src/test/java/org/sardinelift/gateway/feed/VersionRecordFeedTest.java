package org.sardinelift.gateway.feed;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.sardinelift.core.plan.SoftwareVersion;
import org.sardinelift.core.resume.VersionHistory;
import org.sardinelift.objects.ObjectKey;
import org.sardinelift.runtime.ControlThread;

/**
 * Guards against an instance that takes the version which is left for the only one that a service
 * has had, since the record in the store lacks the other one or states a wrong time for it.
 */
@Tag("known-red")
class VersionRecordFeedTest {
    private static final String SERVICE = "llm";
    private static final SoftwareVersion V1 = new SoftwareVersion(SERVICE, "v1");
    private static final SoftwareVersion V2 = new SoftwareVersion(SERVICE, "v2");
    private static final ObjectKey MAIN = new ObjectKey("sardinelift-software-versions", "main");

    private final LateWriteStore store = new LateWriteStore();
    private final ControlThread control = ControlThread.start("control");

    private final class Instance {
        private final VersionHistory history =
                VersionHistory.create(Duration.ofSeconds(60), Duration.ofMillis(1_500));
        private final VersionRecordFeed feed =
                VersionRecordFeed.of(
                        store,
                        control,
                        new StoreAvailability(),
                        ages -> history.onRecord(ages, System.nanoTime()));

        void start() {
            CompletableFuture<Void> isRead = new CompletableFuture<>();
            feed.start(() -> isRead.complete(null));
            isRead.join();
        }

        /** Lists versions and lets the feed write its record. */
        void list(SoftwareVersion... versions) throws InterruptedException {
            CompletableFuture.runAsync(
                            () -> {
                                history.onTargets(Set.of(versions), System.nanoTime());
                                history.dueRecord(System.nanoTime()).ifPresent(feed::write);
                            },
                            control::execute)
                    .join();
            TimeUnit.MILLISECONDS.sleep(100);
        }

        Optional<SoftwareVersion> soleVersion() {
            return CompletableFuture.supplyAsync(
                            () -> history.soleVersion(SERVICE, System.nanoTime()), control::execute)
                    .join();
        }
    }

    @AfterEach
    void close() {
        control.close();
    }

    /** All instances have restarted, and list what is left. */
    private void assertRestartedInstanceDoesNotKnowTheSoleVersion() throws InterruptedException {
        Instance restarted = new Instance();
        restarted.start();
        restarted.list(V2);
        assertEquals(Optional.empty(), restarted.soleVersion());
    }

    @Test
    void anAbsentRecordIsNoProof() throws InterruptedException {
        store.setHoldsWrites(true);
        assertRestartedInstanceDoesNotKnowTheSoleVersion();
    }

    @Test
    void aRecordThatIsWrittenLateIsNoProofBefore() throws InterruptedException {
        Instance before = new Instance();
        before.start();
        store.setHoldsWrites(true);
        before.list(V1, V2);

        assertRestartedInstanceDoesNotKnowTheSoleVersion();
    }

    @Test
    void aRecordWhoseWriteConflictsIsNoProof() throws InterruptedException {
        Instance before = new Instance();
        before.start();
        store.inner().write(MAIN, 0, "{\"versions\":[]}");
        before.list(V1, V2);

        assertRestartedInstanceDoesNotKnowTheSoleVersion();
    }

    @Test
    void aClockThatIsAheadDoesNotAgeTheRecord() throws InterruptedException {
        // Written 89 s ago, after which v1 stayed for 30 s, by a clock that is 2 s behind.
        long lastMs = System.currentTimeMillis() - Duration.ofSeconds(91).toMillis();
        store.inner()
                .write(
                        MAIN,
                        0,
                        "{\"versions\":[{\"service\":\"llm\",\"version\":\"v1\",\"lastMs\":%d}]}"
                                .formatted(lastMs));

        assertRestartedInstanceDoesNotKnowTheSoleVersion();
    }

    @Test
    void aVersionIsNotForgottenByAWriteThatIsExecutedLate() throws InterruptedException {
        Instance before = new Instance();
        before.start();
        store.setHoldsWrites(true);
        before.list(V1, V2);
        store.setHoldsWrites(false);
        store.inner().write(MAIN, 0, "{\"versions\":[]}");
        store.executeHeldWrites();

        assertRestartedInstanceDoesNotKnowTheSoleVersion();
    }
}
