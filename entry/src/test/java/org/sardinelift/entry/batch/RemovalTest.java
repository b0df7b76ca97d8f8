package org.sardinelift.entry.batch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.junit.jupiter.api.Test;
import org.sardinelift.objects.ListResult;
import org.sardinelift.objects.StoredObject;
import org.sardinelift.testkit.FakeObjectStore;

/**
 * Guards against objects left behind by removed jobs, and against removing objects of a new job
 * that reuses the job key, when entries freeze, crash or lose answers.
 */
class RemovalTest {
    private static final int RETENTION_MINUTES = 8;
    private static final int REMOVAL_HOLD_MINUTES = 2;
    private static final Duration RETENTION = Duration.ofMinutes(RETENTION_MINUTES);
    private static final Duration REMOVAL_TIME = RETENTION.plusMinutes(7 * REMOVAL_HOLD_MINUTES);
    private static final Duration SETTLE_TIME = Duration.ofSeconds(10);
    private static final int ITEMS = 40;
    private static final int RETAINED_JOBS = 50;

    private final FakeObjectStore store = new FakeObjectStore();
    private final Fleet fleet = new Fleet();
    private final List<FaultyStore> connections = new ArrayList<>();

    private static BatchSettings settings() {
        return TestSettings.with(
                Map.of(
                        "chunkItems", 10,
                        "chunkUnrepeatable", 10,
                        "pumpPeriodMs", 500,
                        "claimPeriodMs", 1_000,
                        "watchPauseMs", 1_000,
                        "retentionMinutes", RETENTION_MINUTES,
                        "removalHoldMs", REMOVAL_HOLD_MINUTES * 60_000,
                        "sweepPauseMs", 20));
    }

    private Fleet.Node entry(String name) {
        return fleet.start(name, store, settings());
    }

    private List<StoredObject> jobObjects() {
        return Stream.of("job", "job-open", "job-state", "job-chunk", "job-result", "job-expiry")
                .flatMap(
                        kind ->
                                ((ListResult.Listed) store.list(kind, "").join())
                                        .objects().stream())
                .toList();
    }

    private String submitJob(Fleet.Node entry, String jobKey) {
        AtomicReference<Reply> reply = fleet.submit(entry, jobKey, Fleet.chatLines(ITEMS));
        fleet.advance(SETTLE_TIME);
        assertEquals(201, reply.get().status());
        return reply.get().body().path("id").asText();
    }

    private int statusCode(Fleet.Node entry, String id) {
        AtomicReference<Reply> status = fleet.status(entry, id);
        fleet.advance(Duration.ofSeconds(1));
        return status.get().status();
    }

    @Test
    void anEndedJobIsReadableForItsRetentionAndThenRemovedCompletely() {
        Fleet.Node entry = entry("e1");
        fleet.advance(SETTLE_TIME);
        String id = submitJob(entry, "evening");
        fleet.advance(RETENTION.minus(SETTLE_TIME));
        assertEquals(200, statusCode(entry, id));
        Fleet.StringSink results = fleet.results(entry, id);
        fleet.advance(Duration.ofSeconds(1));
        assertEquals(ITEMS, results.lines().size());
        fleet.advance(REMOVAL_TIME.minus(RETENTION));
        assertEquals(404, statusCode(entry, id));
        assertEquals(List.of(), jobObjects());
    }

    @Test
    void aResendAfterTheRemovalIsANewJob() {
        Fleet.Node entry = entry("e1");
        fleet.advance(SETTLE_TIME);
        String id = submitJob(entry, "evening");
        fleet.advance(REMOVAL_TIME);
        assertEquals(id, submitJob(entry, "evening"));
        fleet.advance(Duration.ofMinutes(1));
        assertEquals(2 * ITEMS, fleet.dispatcher().calls().size());
        assertEquals(200, statusCode(entry, id));
    }

    @Test
    void aResendDuringTheRemovalIsRefusedAsNotRun() {
        Fleet.Node entry = entry("e1");
        fleet.advance(SETTLE_TIME);
        submitJob(entry, "evening");
        fleet.advance(RETENTION.plusMinutes(REMOVAL_HOLD_MINUTES));
        AtomicReference<Reply> reply = fleet.submit(entry, "evening", Fleet.chatLines(ITEMS));
        fleet.advance(SETTLE_TIME);
        assertEquals(409, reply.get().status());
        assertEquals("not_run", reply.get().body().path("outcome").asText());
        assertTrue(reply.get().retryAfter().isPresent());
        assertEquals(ITEMS, fleet.dispatcher().calls().size());
    }

    @Test
    void chunksOfASubmissionThatWasNeverAcceptedAreRemoved() {
        Fleet.Node entry = entry("e1");
        fleet.advance(SETTLE_TIME);
        FaultyStore connection =
                new FaultyStore(
                        store, fleet.time().newEntry(), new Random(1), JobStateAudit.strict());
        Fleet.Node killed = fleet.start("e2", connection, settings());
        fleet.advance(SETTLE_TIME);
        fleet.submit(killed, "evening", Fleet.chatLines(ITEMS));
        while (((ListResult.Listed) store.list("job-chunk", "").join()).objects().isEmpty()) {
            fleet.advance(Duration.ofMillis(1));
        }
        killed.control().kill();
        connection.setDisconnected(true);
        assertNotEquals(List.of(), jobObjects());
        fleet.advance(REMOVAL_TIME);
        assertEquals(List.of(), jobObjects());
        assertEquals(404, statusCode(entry, JobHeader.idOf("compliance", "evening")));
    }

    @Test
    void aJobThatRunsLongerThanItsRetentionIsNotRemoved() {
        fleet.dispatcher().setSlots(0);
        Fleet.Node entry = entry("e1");
        fleet.advance(SETTLE_TIME);
        String id = submitJob(entry, "evening");
        fleet.advance(RETENTION.multipliedBy(3));
        fleet.dispatcher().setSlots(ITEMS);
        fleet.advance(RETENTION.minusMinutes(1));
        assertEquals(200, statusCode(entry, id));
        fleet.advance(RETENTION.plus(REMOVAL_TIME));
        assertEquals(List.of(), jobObjects());
    }

    @Test
    void callsGrowWithDueExpiriesAndNotWithRetainedJobs() {
        entry("e1");
        fleet.advance(REMOVAL_TIME);
        int idle = callsIn(Duration.ofMinutes(2));
        IntStream.range(0, RETAINED_JOBS)
                .forEach(
                        n -> {
                            fleet.submit(fleet.nodes().get(0), "job-" + n, Fleet.chatLine(n));
                            fleet.advance(Duration.ofMillis(100));
                        });
        fleet.advance(SETTLE_TIME.multipliedBy(3));
        assertTrue(
                jobObjects().size() >= 4 * RETAINED_JOBS, () -> "objects " + jobObjects().size());
        assertEquals(idle, callsIn(Duration.ofMinutes(2)), idle / 10);
    }

    private int callsIn(Duration time) {
        int before = store.calls();
        fleet.advance(time);
        return store.calls() - before;
    }

    /** A job ends, is removed and is submitted again while entries freeze and lose answers. */
    @Property(tries = 20, seed = "44", shrinking = ShrinkingMode.OFF)
    void faultsRemoveNothingOfALiveJobAndLeaveNothingOfARemovedOne(@ForAll long seed) {
        new RemovalTest().runTwoLives(seed);
    }

    private void runTwoLives(long seed) {
        Random random = new Random(seed);
        JobStateAudit audit = JobStateAudit.strict();
        IntStream.range(0, 3)
                .forEach(
                        n -> {
                            connections.add(
                                    new FaultyStore(store, fleet.time().newEntry(), random, audit));
                            fleet.start("e" + n, connections.get(n), settings());
                        });
        fleet.advance(SETTLE_TIME);
        for (int life = 1; life <= 2; life++) {
            accept(random);
            disturb(random, RETENTION.minusMinutes(2));
            heal();
            fleet.advance(Duration.ofMinutes(1));
            checkReadable(life);
            disturb(random, Duration.ofMinutes(12));
            heal();
            fleet.advance(REMOVAL_TIME);
            assertEquals(List.of(), jobObjects(), "left after life " + life);
            audit.reset();
        }
    }

    private void accept(Random random) {
        AtomicReference<Reply> reply = new AtomicReference<>();
        for (int i = 0; i < 50 && (reply.get() == null || reply.get().isProblem()); i++) {
            Fleet.Node node = fleet.nodes().get(random.nextInt(fleet.nodes().size()));
            reply = fleet.submit(node, "evening", Fleet.chatLines(ITEMS));
            fleet.advance(SETTLE_TIME);
        }
        assertEquals(2, reply.get().status() / 100, () -> "never accepted");
    }

    private void disturb(Random random, Duration time) {
        connections.forEach(connection -> connection.setFaultRate(0.1));
        long until = fleet.time().nanos() + time.toNanos();
        while (fleet.time().nanos() < until) {
            int chosen = random.nextInt(connections.size());
            switch (random.nextInt(5)) {
                case 0 -> fleet.nodes().get(chosen).control().freeze();
                case 1 -> connections.get(chosen).setDisconnected(true);
                default -> {
                    fleet.nodes().forEach(node -> node.control().unfreeze());
                    connections.forEach(connection -> connection.setDisconnected(false));
                }
            }
            fleet.advance(Duration.ofSeconds(1 + random.nextInt(60)));
            store.compact();
        }
    }

    private void heal() {
        fleet.nodes().forEach(node -> node.control().unfreeze());
        connections.forEach(
                connection -> {
                    connection.setDisconnected(false);
                    connection.setFaultRate(0);
                });
    }

    private void checkReadable(int life) {
        Fleet reading = new Fleet();
        Fleet.Node reader = reading.start("reader", new ReadOnlyStore(store), settings());
        Fleet.StringSink sink = reading.results(reader, JobHeader.idOf("compliance", "evening"));
        reading.advance(Duration.ofSeconds(2));
        assertEquals(ITEMS, sink.lines().size(), () -> "life " + life + ": " + sink);
    }
}
