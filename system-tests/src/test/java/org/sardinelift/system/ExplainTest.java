package org.sardinelift.system;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Checks what {@code sardinectl explain} and {@code status} print when calls and processes fail.
 * Guards against missing steps and against keys in the output.
 */
class ExplainTest {
    private static final Duration AWAIT_TIMEOUT = Duration.ofSeconds(30);
    private static final List<String> ENTRIES = List.of("entry-1", "entry-2");

    private Fleet fleet;

    @BeforeEach
    void start() throws IOException {
        fleet = Fleet.start();
        fleet.startTarget("engine-1", "registry", true, "--token-us", "20000");
        fleet.startTarget("engine-2", "registry", true, "--token-us", "20000");
        fleet.startEntry("entry-1");
        fleet.startEntry("entry-2");
        fleet.awaitServing();
    }

    @AfterEach
    void stop() throws Exception {
        fleet.close();
    }

    @Test
    void explainListsARetriedRequestFromAdmissionToAnswer() throws Exception {
        CompletableFuture<HttpResponse<String>> call =
                CompletableFuture.supplyAsync(() -> chat("entry-1", "long", 100));
        String killed =
                Awaitility.await()
                        .atMost(AWAIT_TIMEOUT)
                        .until(this::runningTarget, target -> !target.isEmpty());
        fleet.processes.get(killed).kill();
        HttpResponse<String> answer = call.join();
        assertEquals(200, answer.statusCode(), answer.body());

        String id = requestId(answer);
        String text = runSardinectl("explain", id);
        String other = killed.equals("engine-1") ? "engine-2" : "engine-1";
        assertEquals(
                List.of("admitted", "routed", "retried", "routed", "answered"),
                actions(id, "entry-1"),
                text);
        assertEquals(List.of("started"), actions(id, "c-" + other), text);
        assertTrue(firstLineWith(text, "retried").contains("at=c-" + killed), text);
        assertTrue(firstLineWith(text, "answered").contains("at=c-" + other), text);
        assertTrue(firstLineWith(text, "admitted").contains("team=large"), text);
        assertTrue(firstLineWith(text, "routed").contains("candidates="), text);

        String targetText = runSardinectl("explain", killed);
        assertTrue(targetText.contains("left out"), targetText);
        assertNoKey(text + targetText);
    }

    @Test
    void explainShowsTheRateOfARefusedRequest() throws Exception {
        fleet.putObject("template/standard", Fleet.templateJson(5, 10));
        HttpResponse<String> refused =
                Awaitility.await()
                        .atMost(AWAIT_TIMEOUT)
                        .pollInterval(Duration.ofMillis(10))
                        .until(() -> chat("entry-1", "x", 1), each -> each.statusCode() == 429);

        String text = runSardinectl("explain", requestId(refused));
        String line = firstLineWith(text, "refused");
        Stream.of(
                        "entry-1",
                        "over its rate",
                        "kind=rate_limited",
                        "ratePerSecond=5.0",
                        "team=large")
                .forEach(part -> assertTrue(line.contains(part), part + " is not in " + line));
        String teamText = runSardinectl("explain", "large");
        assertTrue(teamText.contains("configured"), teamText);
        assertNoKey(text + teamText);
    }

    @Test
    void aKeyInARefusedPathIsNotShown() throws Exception {
        HttpResponse<String> refused =
                fleet.send(fleet.callerRequest("entry-1", Fleet.KEY, "/v1/" + Fleet.KEY).GET());
        assertEquals(404, refused.statusCode(), refused.body());

        String text = runSardinectl("explain", requestId(refused));
        assertTrue(firstLineWith(text, "refused").contains("kind=not_found"), text);
        assertNoKey(text);
    }

    @Test
    void explainListsTheTakeoverOfAJobWhoseHolderWasKilled() throws Exception {
        Job job = submitJobHeldByAnother("entry-1");
        fleet.processes.get(job.holder()).kill();
        Awaitility.await()
                .atMost(AWAIT_TIMEOUT)
                .until(
                        () -> runSardinectl("status"),
                        status -> status.contains("taken over from " + job.holder()));
        fleet.awaitJob("entry-1", job.id(), "completed");

        String text = runSardinectl("explain", job.id());
        assertEquals(
                List.of("job accepted", "job taken over", "job completed"),
                actions(job.id(), "entry-1").stream()
                        .filter(action -> !action.equals("job late"))
                        .toList(),
                text);
        assertTrue(firstLineWith(text, "job taken over").contains("from=" + job.holder()), text);
        assertTrue(text.contains("no answer from " + job.holder()), text);
        assertNoKey(text + runSardinectl("status"));
    }

    @Test
    void statusShowsTargetsTeamsJobsAndRevisionsOnOneScreen() throws Exception {
        Job job = submitJobHeldByAnother("entry-1");
        for (int i = 0; i < 5; i++) {
            assertEquals(200, chat("entry-1", "status " + i, 1).statusCode());
        }

        String status = runSardinectl("status");
        assertTrue(firstLineWith(status, "c-engine-1").contains("registry"), status);
        assertTrue(firstLineWith(status, "large").contains("1000"), status);
        assertTrue(firstLineWith(status, job.id()).contains(job.holder()), status);
        ENTRIES.forEach(entry -> assertTrue(status.contains(entry), status));
        JsonNode json = fleet.parseJson(runSardinectl("status", "--output", "json"));
        assertTrue(json.path("teams").findValuesAsText("team").contains("large"), json.toString());
        assertEquals(job.id(), json.at("/jobs/0/job").asText(), json.toString());
        assertNoKey(status + json);
    }

    private record Job(String id, String holder) {}

    /** Submits jobs to an entry until one of them is held by another entry; returns that job. */
    private Job submitJobHeldByAnother(String entry) throws IOException {
        for (int i = 0; ; i++) {
            HttpResponse<String> answer = fleet.submit(entry, "job-" + i, fleet.jobLines(300, 20));
            assertEquals(201, answer.statusCode(), answer.body());
            String id = fleet.parseJson(answer.body()).path("id").asText();
            String holder =
                    Awaitility.await()
                            .atMost(AWAIT_TIMEOUT)
                            .until(() -> holder(entry, id), name -> !name.isEmpty());
            if (!holder.equals(entry)) {
                return new Job(id, holder);
            }
            fleet.send(
                    fleet.callerRequest(entry, Fleet.KEY, "/v1/batches/" + id + "/cancel")
                            .POST(HttpRequest.BodyPublishers.noBody()));
        }
    }

    private String holder(String entry, String id) throws IOException {
        return fleet.parseJson(
                        fleet.send(fleet.callerRequest(entry, Fleet.KEY, "/v1/batches/" + id).GET())
                                .body())
                .path("holder")
                .asText();
    }

    private HttpResponse<String> chat(String entry, String prompt, int tokens) {
        try {
            return fleet.chat(entry, Fleet.KEY, prompt, tokens);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private String runningTarget() throws IOException {
        for (String target : List.of("engine-1", "engine-2")) {
            if (fleet.fetchFromTarget(target, "/load").path("running").asInt() > 0) {
                return target;
            }
        }
        return "";
    }

    /** Returns the actions of an instance in the timeline of a subject, in order. */
    private List<String> actions(String subject, String instance) throws IOException {
        JsonNode json = fleet.parseJson(runSardinectl("explain", subject, "--output", "json"));
        return Stream.iterate(0, i -> i + 1)
                .limit(json.path("decisions").size())
                .map(i -> json.path("decisions").get(i))
                .filter(decision -> decision.path("instance").asText().equals(instance))
                .map(decision -> decision.path("action").asText())
                .toList();
    }

    private String runSardinectl(String... args) throws IOException {
        String operators =
                ENTRIES.stream()
                        .map(entry -> "127.0.0.1:" + fleet.processes.get(entry).port("operators"))
                        .collect(Collectors.joining(","));
        ChildProcess.Output output =
                ChildProcess.run(
                        fleet.log("sardinectl"),
                        "sardinectl",
                        Stream.concat(Stream.of(args), Stream.of("--operators", operators))
                                .toArray(String[]::new));
        assertEquals(0, output.exitCode(), output.text());
        return output.text();
    }

    private static String firstLineWith(String text, String part) {
        return text.lines().filter(line -> line.contains(part)).findFirst().orElse("");
    }

    private static String requestId(HttpResponse<String> answer) {
        return answer.headers().firstValue("x-request-id").orElseThrow();
    }

    private static void assertNoKey(String text) {
        Stream.of(Fleet.KEY, Fleet.OTHER_KEY, "secretone", "secrettwo")
                .forEach(key -> assertFalse(text.contains(key), text));
    }
}
