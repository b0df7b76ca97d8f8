package org.sardinelift.system;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.stream.IntStream;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against lost or duplicated results of batch jobs when entries or targets are killed or
 * suspended, and when the platform fails or loses answers.
 */
class BatchFailureTest {
    private static final int ITEMS = 200;
    private static final Duration AWAIT_TIMEOUT = Duration.ofSeconds(15);

    private Fleet fleet;

    @BeforeEach
    void start() throws IOException {
        fleet = Fleet.start();
        fleet.startServing(2);
    }

    @AfterEach
    void stop() throws Exception {
        fleet.close();
    }

    private String submitJob(String entry, String jobKey, int items) throws IOException {
        HttpResponse<String> answer = fleet.submit(entry, jobKey, fleet.jobLines(items, 4));
        assertTrue(answer.statusCode() == 201 || answer.statusCode() == 200, answer.body());
        return fleet.parseJson(answer.body()).path("id").asText();
    }

    private void assertEachItemOnce(String entry, String id, int items) throws IOException {
        List<JsonNode> results = fleet.results(entry, id);
        List<String> expected = IntStream.range(0, items).mapToObj(i -> "item-" + i).toList();
        assertEquals(
                expected,
                results.stream().map(result -> result.path("custom_id").asText()).toList());
        results.forEach(
                result ->
                        assertEquals(
                                200,
                                result.path("response").path("status_code").asInt(),
                                result.toString()));
    }

    private String awaitHolder(String entry, String id) {
        return Awaitility.await()
                .atMost(AWAIT_TIMEOUT)
                .until(
                        () ->
                                fleet.parseJson(
                                                fleet.send(
                                                                fleet.callerRequest(
                                                                                entry,
                                                                                Fleet.KEY,
                                                                                "/v1/batches/" + id)
                                                                        .GET())
                                                        .body())
                                        .path("holder")
                                        .asText(),
                        holder -> !holder.isEmpty());
    }

    private static String otherEntry(String entry) {
        return entry.equals("entry-1") ? "entry-2" : "entry-1";
    }

    @Test
    void entryKilledRightAfterAcceptanceLosesNothing() throws Exception {
        String id = submitJob("entry-1", "killed-after", ITEMS);
        fleet.processes.get("entry-1").kill();

        fleet.awaitJob("entry-2", id, "completed");
        assertEachItemOnce("entry-2", id, ITEMS);
    }

    @Test
    void holderKilledMidwayIsReplaced() throws Exception {
        String id = submitJob("entry-1", "holder-killed", ITEMS);
        String holder = awaitHolder("entry-1", id);
        fleet.processes.get(holder).kill();

        fleet.awaitJob(otherEntry(holder), id, "completed");
        assertEachItemOnce(otherEntry(holder), id, ITEMS);
    }

    @Test
    void suspendedHolderCannotCommitAfterItResumes() throws Exception {
        String id = submitJob("entry-1", "holder-frozen", ITEMS);
        String holder = awaitHolder("entry-1", id);
        fleet.processes.get(holder).suspend();
        String survivor = otherEntry(holder);

        fleet.awaitJob(survivor, id, "completed");
        List<JsonNode> before = fleet.results(survivor, id);
        fleet.processes.get(holder).resume();
        Awaitility.await()
                .atMost(AWAIT_TIMEOUT)
                .ignoreExceptions()
                .until(() -> fleet.results(holder, id).equals(before));
        assertEachItemOnce(survivor, id, ITEMS);
    }

    @Test
    void sameJobThroughTwoEntriesIsOneJob() throws Exception {
        String first = submitJob("entry-1", "resent", 20);
        String second = submitJob("entry-2", "resent", 20);

        assertEquals(first, second);
        fleet.awaitJob("entry-1", first, "completed");
        assertEachItemOnce("entry-2", first, 20);
    }

    @Test
    void lostAnswersOfThePlatformDuplicateNoItem() throws Exception {
        fleet.setPlatformFaults("{\"loseAnswers\":3}");
        String id = submitJob("entry-1", "lost-answers", 20);

        fleet.awaitJob("entry-2", id, "completed");
        assertEachItemOnce("entry-1", id, 20);
    }

    @Test
    void platformOutageDelaysResultsAndRefusesNewJobs() throws Exception {
        String id = submitJob("entry-1", "outage", ITEMS);
        fleet.setPlatformFaults("{\"down\":true}");

        HttpResponse<String> refused = fleet.submit("entry-1", "new", fleet.jobLines(3, 1));
        assertEquals(503, refused.statusCode(), refused.body());
        assertEquals("not_run", fleet.parseJson(refused.body()).path("outcome").asText());
        assertTrue(refused.headers().firstValue("retry-after").isPresent());

        fleet.setPlatformFaults("{\"down\":false}");
        fleet.awaitJob("entry-2", id, "completed");
        assertEachItemOnce("entry-1", id, ITEMS);
    }

    @Test
    void targetDeathLosesNoItem() throws Exception {
        String id = submitJob("entry-1", "target-death", ITEMS);
        fleet.processes.get("engine-1").kill();

        fleet.awaitJob("entry-2", id, "completed");
        assertEachItemOnce("entry-1", id, ITEMS);
    }

    @Test
    void cancelledJobStopsAndWritesNothingMore() throws Exception {
        String id = submitJob("entry-1", "cancel", 2_000);
        awaitHolder("entry-2", id);
        HttpResponse<String> answer =
                fleet.send(
                        fleet.callerRequest("entry-2", Fleet.KEY, "/v1/batches/" + id + "/cancel")
                                .POST(HttpRequest.BodyPublishers.noBody()));

        assertTrue(answer.statusCode() < 300, answer.body());
        JsonNode status = fleet.awaitJob("entry-1", id, "cancelled");
        List<JsonNode> results = fleet.results("entry-1", id);
        assertTrue(status.path("request_counts").path("open").asInt() == 0, status.toString());
        Awaitility.await()
                .atMost(AWAIT_TIMEOUT)
                .until(
                        () ->
                                fleet.fetchFromTarget("engine-1", "/load").path("running").asInt()
                                                == 0
                                        && fleet.fetchFromTarget("engine-2", "/load")
                                                        .path("running")
                                                        .asInt()
                                                == 0);
        assertEquals(results, fleet.results("entry-2", id));
    }
}
