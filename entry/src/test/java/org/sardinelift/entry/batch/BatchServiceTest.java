package org.sardinelift.entry.batch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.sardinelift.testkit.FakeObjectStore;

/** One or a few entries on a platform without faults. */
class BatchServiceTest {
    private static final Duration SETTLE_TIME = Duration.ofSeconds(20);

    private final FakeObjectStore store = new FakeObjectStore();
    private final Fleet fleet = new Fleet();

    private Fleet.Node entry(String name) {
        return fleet.start(name, store, BatchSettings.defaults());
    }

    @Test
    void aJobIsAcceptedRunAndReadBackInInputOrder() {
        Fleet.Node entry = entry("e1");
        fleet.advance(SETTLE_TIME);
        var accepted = fleet.submit(entry, "evening", Fleet.chatLines(1_234));
        fleet.advance(SETTLE_TIME);
        assertEquals(201, accepted.get().status());
        String id = accepted.get().body().path("id").asText();
        var status = fleet.status(entry, id);
        var results = fleet.results(entry, id);
        fleet.advance(Duration.ofSeconds(1));
        assertEquals("completed", status.get().body().path("status").asText());
        assertEquals(1_234, status.get().body().path("request_counts").path("completed").asInt());
        assertTrue(results.ended());
        assertEquals(
                IntStream.range(0, 1_234)
                        .mapToObj(number -> "item-" + number)
                        .collect(Collectors.toList()),
                results.lines().stream()
                        .map(line -> BatchJson.parseStored(line).path("custom_id").asText())
                        .toList());
        assertEquals(1_234, fleet.dispatcher().calls().size());
    }

    @Test
    void theSameJobSentToThreeEntriesAtOnceIsOneJob() {
        Fleet.Node first = entry("e1");
        Fleet.Node second = entry("e2");
        Fleet.Node third = entry("e3");
        fleet.advance(SETTLE_TIME);
        String lines = Fleet.chatLines(700);
        var replies =
                java.util.List.of(
                        fleet.submit(first, "evening", lines),
                        fleet.submit(second, "evening", lines),
                        fleet.submit(third, "evening", lines));
        fleet.advance(SETTLE_TIME);
        assertEquals(
                1,
                replies.stream()
                        .map(reply -> reply.get().body().path("id").asText())
                        .distinct()
                        .count());
        assertTrue(replies.stream().allMatch(reply -> reply.get().status() / 100 == 2));
        assertEquals(700, fleet.dispatcher().calls().size());
        var other = fleet.submit(second, "evening", Fleet.chatLines(701));
        fleet.advance(SETTLE_TIME);
        assertEquals("job_key_reused", other.get().body().path("kind").asText());
        assertEquals("not_run", other.get().body().path("outcome").asText());
    }

    @Test
    void allInvalidLinesAreReportedAndNothingIsWritten() {
        Fleet.Node entry = entry("e1");
        fleet.advance(SETTLE_TIME);
        long before = store.revision();
        String lines =
                Fleet.chatLine(0)
                        + "\nnot json\n\n"
                        + Fleet.chatLine(0)
                        + "\n"
                        + Fleet.chatLine(1).replace(Fleet.MODEL, "other")
                        + "\n"
                        + Fleet.chatLine(2);
        var refused = fleet.submit(entry, "evening", lines);
        fleet.advance(Duration.ofMillis(1));
        assertEquals(422, refused.get().status());
        assertEquals(
                java.util.List.of(2, 4, 5),
                java.util.stream.StreamSupport.stream(
                                refused.get().body().path("lines").spliterator(), false)
                        .map(line -> line.path("line").asInt())
                        .toList());
        assertEquals(before, store.revision());
    }

    @Test
    void jobsOfOtherTeamsAreNotFound() {
        Fleet.Node entry = entry("e1");
        fleet.advance(SETTLE_TIME);
        var accepted =
                fleet.submit(entry, Fleet.WHARF, "evening", Long.MAX_VALUE, Fleet.chatLines(3));
        fleet.advance(SETTLE_TIME);
        var status = fleet.status(entry, accepted.get().body().path("id").asText());
        fleet.advance(Duration.ofSeconds(1));
        assertEquals(404, status.get().status());
        assertFalse(status.get().body().has("id"));
    }

    @Test
    void markersOfEndedJobsAreDeleted() {
        Fleet.Node entry = entry("e1");
        fleet.advance(SETTLE_TIME);
        fleet.submit(entry, "evening", Fleet.chatLines(3));
        fleet.advance(SETTLE_TIME);
        var listed =
                (org.sardinelift.objects.ListResult.Listed) store.list(OpenJobs.KIND, "").join();
        assertTrue(listed.objects().isEmpty());
    }

    @Test
    void largeResponsesAreSplitOverObjectsAndTooLargeOnesFailWithAReason() {
        fleet.dispatcher()
                .setBehaviour(
                        (spec, listener) -> {
                            boolean huge = new String(spec.body()).contains("pot 5\"");
                            String text = "x".repeat(huge ? 600_000 : 20_000);
                            listener.onHead(200, java.util.Map.of());
                            listener.onData(("\"" + text + "\"").getBytes());
                            if (!huge) {
                                listener.onEnd();
                            }
                        });
        Fleet.Node entry = entry("e1");
        fleet.advance(SETTLE_TIME);
        var accepted = fleet.submit(entry, "evening", Fleet.chatLines(100));
        fleet.advance(SETTLE_TIME);
        var results = fleet.results(entry, accepted.get().body().path("id").asText());
        fleet.advance(Duration.ofSeconds(1));
        assertEquals(100, results.lines().size());
        assertTrue(results.lines().get(5).contains("body_too_large"));
        assertEquals(1, fleet.dispatcher().cancelled());
        assertEquals(0, fleet.dispatcher().running());
    }
}
