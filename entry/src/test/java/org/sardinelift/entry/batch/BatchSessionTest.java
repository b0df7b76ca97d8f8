package org.sardinelift.entry.batch;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.time.ZoneOffset;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.sardinelift.core.batch.Holder;
import org.sardinelift.core.catalog.TeamPlan;
import org.sardinelift.core.explain.DecisionLog;
import org.sardinelift.core.explain.DecisionRecorder;
import org.sardinelift.core.fleet.FleetView;
import org.sardinelift.core.limit.Admission;
import org.sardinelift.core.outcome.Problem;
import org.sardinelift.core.outcome.ProblemKind;
import org.sardinelift.core.outcome.RunOutcome;
import org.sardinelift.http.HttpLimits;
import org.sardinelift.http.HttpServer;
import org.sardinelift.runtime.ControlThread;
import org.sardinelift.testkit.FakeObjectStore;

/** Compares a whole batch session over HTTP with a golden file. */
class BatchSessionTest {
    private static final Path GOLDEN = Path.of("src/test/resources/batch-session.txt");
    private static final Path ACTUAL = Path.of("target/batch-session.txt");
    private static final Clock CLOCK =
            Clock.fixed(Instant.parse("2026-12-03T18:00:00Z"), ZoneOffset.UTC);
    private static final Duration TIMEOUT = Duration.ofSeconds(20);

    private final FakeDispatcher dispatcher = new FakeDispatcher();
    private final HttpClient client = HttpClient.newHttpClient();
    private final StringBuilder session = new StringBuilder();
    private final ControlThread control = ControlThread.start("batch");
    private final ControlThread longTasks = ControlThread.start("lengthy");
    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private BatchHttp routes;
    private HttpServer server;

    @BeforeEach
    void start() throws IOException {
        BatchService service =
                BatchService.create(
                        new FakeObjectStore(),
                        dispatcher,
                        () -> Fleet.CATALOG,
                        FleetView::empty,
                        new Holder("e1", "first"),
                        BatchControl.of(control, longTasks, CLOCK),
                        BatchSettings.defaults(),
                        JobDecisions.of(DecisionRecorder.of(DecisionLog.of(1), () -> 0)));
        routes = BatchHttp.of(service, (team, answer) -> answer.accept(new Admission.Admitted()));
        server =
                HttpServer.start(
                        group,
                        "127.0.0.1",
                        0,
                        HttpLimits.defaults(),
                        null,
                        exchange -> {
                            TeamPlan team = Fleet.CATALOG.teams().get(exchange.header("Team"));
                            if (!routes.handle(exchange, team, "request-1", status -> {})) {
                                exchange.respondJson(404, "{}");
                            }
                        });
    }

    @AfterEach
    void stop() {
        server.close();
        control.close();
        longTasks.close();
        group.shutdownGracefully(0, 1, java.util.concurrent.TimeUnit.SECONDS);
    }

    @Test
    void theSessionMatchesTheGoldenFile() throws Exception {
        String lines =
                Fleet.chatLine(1)
                        + "\n"
                        + Fleet.chatLine(2).replace("pot 2", "hopeless")
                        + "\n"
                        + Fleet.noticeLine(3)
                        + "\n"
                        + Fleet.noticeLine(4);
        dispatcher.setBehaviour(
                (spec, listener) -> {
                    String body = new String(spec.body(), java.nio.charset.StandardCharsets.UTF_8);
                    if (body.contains("hopeless")) {
                        listener.onProblem(
                                Problem.failed(
                                        ProblemKind.CRASHES_TARGETS,
                                        RunOutcome.RUN,
                                        "two targets died while they ran this request"));
                    } else if (body.contains("\"pot\":4")) {
                        listener.onProblem(
                                Problem.failed(
                                        ProblemKind.OUTCOME_UNKNOWN,
                                        RunOutcome.UNKNOWN,
                                        "the target was lost"));
                    } else if (!body.contains("slow")) {
                        FakeDispatcher.answer(spec, listener);
                    }
                });
        send("POST", "/v1/batches", "compliance", "", "bad\n" + Fleet.chatLine(1) + "\n{}");
        send("POST", "/v1/batches", "compliance", "evening", "bad\n" + Fleet.chatLine(1) + "\n{}");
        String id = id(send("POST", "/v1/batches", "compliance", "evening", lines));
        awaitStatus("compliance", id, "completed");
        send("POST", "/v1/batches", "compliance", "evening", lines);
        send("POST", "/v1/batches", "compliance", "evening", Fleet.chatLine(9));
        send("GET", "/v1/batches/" + id, "compliance", "", "");
        send("GET", "/v1/batches/" + id + "/results", "compliance", "", "");
        send("GET", "/v1/batches/" + id, "wharf", "", "");
        send("POST", "/v1/batches/" + id + "/cancel", "compliance", "", "");
        String slow = Fleet.chatLine(1) + "\n" + Fleet.chatLine(2).replace("pot 2", "slow");
        String second = id(send("POST", "/v1/batches", "wharf", "night", slow));
        await().atMost(TIMEOUT).until(() -> dispatcher.running() == 1);
        send("POST", "/v1/batches/" + second + "/cancel", "wharf", "", "");
        send("GET", "/v1/batches/" + second + "/results", "wharf", "", "");
        send("GET", "/v1/batches", "wharf", "", "");
        send("DELETE", "/v1/batches/" + second, "wharf", "", "");
        Files.writeString(ACTUAL, session);
        assertEquals(
                Files.readString(GOLDEN),
                session.toString(),
                "the session differs from " + GOLDEN + "; it is written to " + ACTUAL);
    }

    private static String id(String body) {
        return BatchJson.parseStored(body).path("id").asText();
    }

    private void awaitStatus(String team, String id, String status) {
        await().atMost(TIMEOUT)
                .until(
                        () ->
                                call("GET", "/v1/batches/" + id, team, "", "")
                                        .body()
                                        .contains("\"status\":\"" + status + "\""));
    }

    private HttpResponse<String> call(
            String method, String path, String team, String jobKey, String body)
            throws IOException, InterruptedException {
        HttpRequest.Builder request =
                HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + server.port() + path))
                        .header("Team", team)
                        .header("Due", "2026-12-04T04:00:00+10:00")
                        .method(method, HttpRequest.BodyPublishers.ofString(body));
        if (!jobKey.isEmpty()) {
            request.header("Job-Key", jobKey);
        }
        return client.send(request.build(), HttpResponse.BodyHandlers.ofString());
    }

    private String send(String method, String path, String team, String jobKey, String body)
            throws IOException, InterruptedException {
        HttpResponse<String> response = call(method, path, team, jobKey, body);
        session.append("> ").append(method).append(' ').append(path);
        session.append(" team=").append(team).append(" job-key=").append(jobKey).append('\n');
        body.lines().forEach(line -> session.append("> ").append(line).append('\n'));
        session.append("< ").append(response.statusCode()).append(' ');
        session.append(response.headers().firstValue("content-type").orElse("")).append('\n');
        response.body()
                .lines()
                .map(line -> line.replaceAll("\"requestId\":\"[^\"]*\"", "\"requestId\":\"-\""))
                .forEach(line -> session.append("< ").append(line).append('\n'));
        session.append('\n');
        return response.body();
    }
}
