package org.sardinelift.entry.batch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.sardinelift.core.batch.EntryRendezvous;
import org.sardinelift.core.outcome.FailureCause;
import org.sardinelift.core.outcome.Problem;
import org.sardinelift.core.outcome.ProblemKind;
import org.sardinelift.core.outcome.RunOutcome;
import org.sardinelift.entry.call.CallSpec;
import org.sardinelift.testkit.FakeObjectStore;

/**
 * Single failures, each injected on purpose: a frozen holder, a killed entry, a platform outage, an
 * item that always fails, a drain, a preemption, a late job and uneven load of two teams.
 */
class BatchFailureTest {
    private static final Duration SETTLE_TIME = Duration.ofSeconds(10);

    private final FakeObjectStore store = new FakeObjectStore();
    private final Fleet fleet = new Fleet();
    private final VirtualControl.Entry engine = fleet.time().newEntry();

    private void setCallTime(Duration time) {
        fleet.dispatcher()
                .setBehaviour(
                        (spec, listener) ->
                                engine.schedule(time, () -> FakeDispatcher.answer(spec, listener)));
    }

    private List<Fleet.Node> entries(int count, BatchSettings settings) {
        List<Fleet.Node> nodes =
                IntStream.rangeClosed(1, count)
                        .mapToObj(number -> fleet.start("e" + number, store, settings))
                        .toList();
        fleet.advance(SETTLE_TIME);
        return nodes;
    }

    private String submitAccepted(Fleet.Node node, String lines) {
        AtomicReference<Reply> reply = fleet.submit(node, "evening", lines);
        fleet.advance(Duration.ofMillis(10));
        assertEquals(201, reply.get().status());
        return reply.get().body().path("id").asText();
    }

    private Reply status(Fleet.Node node, String id) {
        AtomicReference<Reply> reply = fleet.status(node, id);
        fleet.advance(Duration.ofMillis(50));
        return reply.get();
    }

    private int count(Fleet.Node node, String id, String count) {
        return status(node, id).body().path("request_counts").path(count).asInt();
    }

    private Fleet.Node holder(Fleet.Node reader, String id) {
        String name = status(reader, id).body().path("holder").asText();
        return fleet.nodes().stream()
                .filter(node -> node.name().equals(name))
                .findFirst()
                .orElseThrow();
    }

    private Fleet.Node otherEntry(Fleet.Node node) {
        return fleet.nodes().stream().filter(next -> next != node).findFirst().orElseThrow();
    }

    @Test
    void aFrozenHolderStartsNothingAfterTheCancelThatItSleptThrough() {
        assertNothingStartsAfterTheCancel(0);
    }

    @Test
    void aFrozenHolderDoesNotActOnAStaleRead() {
        assertNothingStartsAfterTheCancel(4);
    }

    private void assertNothingStartsAfterTheCancel(int staleReads) {
        fleet.dispatcher().setSlots(5);
        setCallTime(Duration.ofMillis(300));
        Map<String, FaultyStore> connections = new HashMap<>();
        for (String name : List.of("e1", "e2", "e3")) {
            FaultyStore connection =
                    new FaultyStore(
                            store, fleet.time().newEntry(), new Random(1), JobStateAudit.strict());
            connections.put(name, connection);
            fleet.start(name, connection, BatchSettings.defaults());
        }
        fleet.advance(SETTLE_TIME);
        AtomicReference<Reply> accepted =
                fleet.submit(fleet.nodes().get(0), "evening", Fleet.chatLines(400));
        fleet.advance(Duration.ofSeconds(3));
        String id = accepted.get().body().path("id").asText();
        Fleet.Node holder = holder(fleet.nodes().get(0), id);
        Fleet.Node caller = otherEntry(holder);
        holder.control().freeze();
        connections.get(holder.name()).pinReads(JobStateUpdater.key(id), staleReads);
        AtomicReference<Reply> cancel = fleet.cancel(caller, id);
        fleet.advance(Duration.ofSeconds(15));
        assertEquals(200, cancel.get().status());
        int started = fleet.dispatcher().calls().size();
        String results = readResults(caller, id);
        holder.control().unfreeze();
        fleet.advance(Duration.ofSeconds(30));
        assertEquals(started, fleet.dispatcher().calls().size());
        assertEquals(results, readResults(caller, id));
    }

    private String readResults(Fleet.Node node, String id) {
        Fleet.StringSink sink = fleet.results(node, id);
        fleet.advance(Duration.ofSeconds(1));
        return sink.toString();
    }

    @Test
    void anEntryKilledRightAfterAcceptingAJobLosesNoItem() {
        FaultyStore connection =
                new FaultyStore(
                        store, fleet.time().newEntry(), new Random(1), JobStateAudit.strict());
        Fleet.Node first = fleet.start("e0", connection, BatchSettings.defaults());
        Fleet.Node second = entries(2, BatchSettings.defaults()).get(0);
        AtomicReference<Reply> reply = fleet.submit(first, "evening", Fleet.chatLines(50));
        while (reply.get() == null) {
            fleet.advance(Duration.ofMillis(1));
        }
        connection.setDisconnected(true);
        first.control().kill();
        fleet.advance(Duration.ofSeconds(20));
        String id = reply.get().body().path("id").asText();
        assertEquals(50, count(second, id, "completed"));
    }

    @Test
    void workGoesOnThroughAnOutageWithinMemoryAndIsCommittedAfterIt() {
        fleet.dispatcher().setSlots(50);
        setCallTime(Duration.ofSeconds(2));
        BatchSettings settings =
                TestSettings.with(Map.of("loadedChunks", 3, "chunksPerJob", 10, "chunkItems", 100));
        List<Fleet.Node> nodes = entries(2, settings);
        String id = submitAccepted(nodes.get(0), Fleet.chatLines(1_000));
        fleet.advance(Duration.ofMillis(900));
        int before = fleet.dispatcher().calls().size();
        store.setDown(true);
        fleet.advance(Duration.ofMinutes(5));
        AtomicReference<Reply> refused = fleet.submit(nodes.get(0), "night", Fleet.chatLines(2));
        fleet.advance(Duration.ofMinutes(5));
        int during = fleet.dispatcher().calls().size() - before;
        assertTrue(during >= 200, () -> "only " + during + " items were run in the outage");
        assertTrue(during <= 300, () -> during + " items were run into memory");
        assertEquals("platform_unavailable", refused.get().body().path("kind").asText());
        assertEquals("not_run", refused.get().body().path("outcome").asText());
        assertTrue(refused.get().retryAfter().isPresent());
        store.setDown(false);
        fleet.advance(Duration.ofMinutes(2));
        assertEquals(1_000, count(nodes.get(0), id, "completed"));
        assertEquals(1_000, fleet.dispatcher().calls().size(), "items were run again");
    }

    @Test
    void hopelessItemsEndWithAReasonAndHoldUpNoOther() {
        fleet.dispatcher()
                .setBehaviour(
                        (spec, listener) -> {
                            String body = new String(spec.body(), StandardCharsets.UTF_8);
                            if (body.contains("pot 7\"")) {
                                listener.onProblem(
                                        Problem.failed(
                                                ProblemKind.TARGET_FAILED,
                                                RunOutcome.UNKNOWN,
                                                "the target died"));
                            } else {
                                FakeDispatcher.answer(spec, listener);
                            }
                        });
        List<Fleet.Node> nodes = entries(1, BatchSettings.defaults());
        String id = submitAccepted(nodes.get(0), Fleet.chatLines(1_000));
        fleet.advance(Duration.ofSeconds(30));
        assertEquals("completed", status(nodes.get(0), id).body().path("status").asText());
        assertEquals(999, count(nodes.get(0), id, "completed"));
        assertEquals(1, count(nodes.get(0), id, "failed"));
        assertEquals(1_003, fleet.dispatcher().calls().size());
        assertTrue(
                readResults(nodes.get(0), id).lines().toList().get(7).contains("the target died"));
    }

    @Test
    void aDrainedEntryReleasesItsJobsAndNoItemRunsTwice() {
        fleet.dispatcher().setSlots(20);
        setCallTime(Duration.ofMillis(200));
        BatchSettings settings = TestSettings.with(Map.of("chunkItems", 50, "chunksPerJob", 1));
        List<Fleet.Node> nodes = entries(2, settings);
        String id = submitAccepted(nodes.get(0), Fleet.chatLines(600));
        fleet.advance(Duration.ofSeconds(2));
        Fleet.Node holder = holder(nodes.get(0), id);
        boolean[] drained = {false};
        holder.service().drain(() -> drained[0] = true);
        fleet.advance(Duration.ofSeconds(3));
        assertTrue(drained[0]);
        holder.control().kill();
        Fleet.Node remaining = otherEntry(holder);
        fleet.advance(Duration.ofSeconds(30));
        assertEquals(600, count(remaining, id, "completed"));
        assertEquals(600, fleet.dispatcher().calls().size());
    }

    @Test
    void aPreemptedCallIsRetriedAndDoesNotCountAsFailure() {
        int[] calls = {0};
        fleet.dispatcher()
                .setBehaviour(
                        (spec, listener) -> {
                            calls[0]++;
                            if (calls[0] <= 20) {
                                listener.onProblem(
                                        Problem.failed(
                                                FailureCause.PREEMPTED.problemKind(RunOutcome.RUN),
                                                RunOutcome.RUN,
                                                "an online call took the slot"));
                            } else {
                                FakeDispatcher.answer(spec, listener);
                            }
                        });
        List<Fleet.Node> nodes = entries(1, BatchSettings.defaults());
        String id = submitAccepted(nodes.get(0), Fleet.chatLines(2));
        fleet.advance(Duration.ofMinutes(10));
        assertEquals(2, count(nodes.get(0), id, "completed"));
    }

    @Test
    void aJobIsReportedAsLateBeforeItsDeadline() {
        fleet.dispatcher().setSlots(5);
        setCallTime(Duration.ofMillis(500));
        List<Fleet.Node> nodes = entries(1, TestSettings.with(Map.of("chunkItems", 20)));
        long due = engine.epochMillis() + Duration.ofSeconds(40).toMillis();
        AtomicReference<Reply> reply =
                fleet.submit(
                        nodes.get(0), Fleet.COMPLIANCE, "evening", due, Fleet.chatLines(1_000));
        fleet.advance(Duration.ofSeconds(20));
        String id = reply.get().body().path("id").asText();
        assertTrue(status(nodes.get(0), id).body().path("late_risk").path("late").asBoolean());
        fleet.dispatcher().setSlots(500);
        fleet.advance(Duration.ofSeconds(15));
        assertFalse(status(nodes.get(0), id).body().path("late_risk").path("late").asBoolean());
    }

    @Test
    void teamsShareTheSlotsOfTheFleetByWeightThoughTheirJobsRunOnDifferentEntries() {
        fleet.dispatcher().setSlots(40);
        setCallTime(Duration.ofMillis(200));
        List<Fleet.Node> nodes = entries(2, BatchSettings.defaults());
        fleet.submit(
                nodes.get(0),
                Fleet.COMPLIANCE,
                keyFor("compliance", "e1"),
                Long.MAX_VALUE,
                Fleet.chatLines(8_000));
        fleet.submit(
                nodes.get(0),
                Fleet.WHARF,
                keyFor("wharf", "e2"),
                Long.MAX_VALUE,
                Fleet.chatLines(8_000));
        fleet.advance(Duration.ofSeconds(10));
        int from = fleet.dispatcher().calls().size();
        fleet.advance(Duration.ofSeconds(20));
        List<CallSpec> calls = fleet.dispatcher().calls();
        long wharf =
                calls.subList(from, calls.size()).stream()
                        .filter(call -> call.team().equals(Fleet.WHARF))
                        .count();
        double share = (double) wharf / (calls.size() - from);
        assertTrue(share > 0.7 && share < 0.8, () -> "wharf got " + share + " instead of 0.75");
        double used = (calls.size() - from) / (40 / 0.2 * 20);
        assertTrue(used > 0.9, () -> "only " + used + " of the slots were used");
    }

    private static String keyFor(String team, String entry) {
        return IntStream.range(0, 100)
                .mapToObj(n -> "job" + n)
                .filter(
                        key ->
                                EntryRendezvous.choose(
                                                JobHeader.idOf(team, key), List.of("e1", "e2"))
                                        .filter(entry::equals)
                                        .isPresent())
                .findFirst()
                .orElseThrow();
    }
}
