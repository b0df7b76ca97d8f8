package org.sardinelift.entry.batch;

import java.nio.charset.StandardCharsets;
import java.time.DateTimeException;
import java.time.OffsetDateTime;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.IntConsumer;
import org.sardinelift.core.catalog.TeamPlan;
import org.sardinelift.core.limit.Admission;
import org.sardinelift.core.limit.TeamLimiter;
import org.sardinelift.core.outcome.Problem;
import org.sardinelift.core.outcome.ProblemKind;
import org.sardinelift.entry.filter.LimitFilter;
import org.sardinelift.entry.filter.ProblemWriter;
import org.sardinelift.entry.http.BatchRoutes;
import org.sardinelift.http.HttpExchange;
import org.tinylog.Logger;

/** HTTP routes for callers under {@code /v1/batches}. */
public final class BatchHttp implements BatchRoutes {
    private static final String ROOT = "/v1/batches";
    private static final int MAX_JOB_KEY_CHARS = 256;
    private static final int OK = 200;
    private static final Map<String, String> METHOD_BY_ACTION =
            Map.of("", "GET", "results", "GET", "cancel", "POST");

    private final BatchService service;
    private final TeamLimiter limiter;

    private BatchHttp(BatchService service, TeamLimiter limiter) {
        this.service = service;
        this.limiter = limiter;
    }

    /**
     * Creates the routes.
     *
     * @param service batch work on this entry
     * @param limiter counts each submission as one request of its team
     * @return the routes
     */
    public static BatchHttp of(BatchService service, TeamLimiter limiter) {
        return new BatchHttp(service, limiter);
    }

    @Override
    public boolean handle(
            HttpExchange exchange, TeamPlan team, String requestId, IntConsumer onAnswered) {
        ResponseContext context = new ResponseContext(requestId, onAnswered);
        String path = exchange.path();
        if (!path.equals(ROOT) && !path.startsWith(ROOT + "/")) {
            return false;
        }
        String[] parts = path.substring(ROOT.length()).split("/", -1);
        String action = parts.length > 2 ? parts[2] : "";
        Consumer<Reply> reply = answer -> respond(exchange, context, answer);
        if (parts.length > 3) {
            reply.accept(problem(ProblemKind.NOT_FOUND, "there is no route " + path));
        } else if (parts.length == 1) {
            handleCollection(exchange, team, requestId, reply);
        } else {
            service.control()
                    .execute(() -> handleJob(exchange, team, context, parts[1], action, reply));
        }
        return true;
    }

    private void handleCollection(
            HttpExchange exchange, TeamPlan team, String requestId, Consumer<Reply> reply) {
        switch (exchange.method()) {
            case "POST" ->
                    submit(
                            exchange,
                            team,
                            answer -> {
                                service.decisions()
                                        .onSubmissionAnswered(team.name(), requestId, answer);
                                reply.accept(answer);
                            });
            case "GET" ->
                    service.control().execute(() -> service.reader().listJobs(team.name(), reply));
            default -> reply.accept(notAllowed(exchange));
        }
    }

    private void handleJob(
            HttpExchange exchange,
            TeamPlan team,
            ResponseContext context,
            String id,
            String action,
            Consumer<Reply> reply) {
        String allowed = METHOD_BY_ACTION.get(action);
        if (allowed == null) {
            reply.accept(problem(ProblemKind.NOT_FOUND, "there is no route " + exchange.path()));
        } else if (!allowed.equals(exchange.method())) {
            reply.accept(notAllowed(exchange));
        } else if (action.equals("cancel")) {
            service.cancel().cancel(team.name(), id, reply);
        } else if (action.equals("results")) {
            service.reader().streamResults(team.name(), id, new ExchangeSink(exchange, context));
        } else {
            service.reader().status(team.name(), id, reply);
        }
    }

    private void submit(HttpExchange exchange, TeamPlan team, Consumer<Reply> reply) {
        String jobKey = exchange.header("Job-Key");
        if (jobKey == null || jobKey.isBlank() || jobKey.length() > MAX_JOB_KEY_CHARS) {
            reply.accept(
                    problem(
                            ProblemKind.MALFORMED_REQUEST,
                            "the header Job-Key must name the job, in at most "
                                    + MAX_JOB_KEY_CHARS
                                    + " characters"));
            return;
        }
        String due = exchange.header("Due");
        long dueMs;
        try {
            dueMs =
                    due == null
                            ? Long.MAX_VALUE
                            : OffsetDateTime.parse(due).toInstant().toEpochMilli();
        } catch (DateTimeException e) {
            reply.accept(
                    problem(
                            ProblemKind.MALFORMED_REQUEST,
                            "the header Due must be a date and time as in RFC 3339"));
            return;
        }
        byte[] body = exchange.body();
        limiter.admit(
                team,
                admission -> {
                    if (admission instanceof Admission.Refused refused) {
                        reply.accept(Reply.problem(LimitFilter.refusal(team, refused)));
                    } else {
                        service.acceptance().submit(team, jobKey, dueMs, body, reply);
                    }
                });
    }

    private static Reply notAllowed(HttpExchange exchange) {
        return problem(
                ProblemKind.METHOD_NOT_ALLOWED,
                exchange.path() + " does not take " + exchange.method());
    }

    private static Reply problem(ProblemKind kind, String detail) {
        return Reply.problem(Problem.notRun(kind, detail));
    }

    private static void respond(HttpExchange exchange, ResponseContext context, Reply reply) {
        Map<String, String> headers = new HashMap<>();
        headers.put("x-request-id", context.requestId());
        if (reply.isProblem()) {
            reply.body().put("requestId", context.requestId());
        }
        headers.put(
                "content-type",
                reply.isProblem() ? "application/problem+json" : "application/json");
        reply.retryAfter()
                .ifPresent(
                        pause ->
                                headers.put(
                                        "retry-after",
                                        String.valueOf(ProblemWriter.retryAfterSeconds(pause))));
        context.onAnswered().accept(reply.status());
        exchange.respond(
                reply.status(), headers, reply.body().toString().getBytes(StandardCharsets.UTF_8));
    }

    /** Request identifier of a response, and the listener for its status. */
    private record ResponseContext(String requestId, IntConsumer onAnswered) {}

    /** Streams results as JSON lines. */
    private record ExchangeSink(HttpExchange exchange, ResponseContext context)
            implements JobReader.ResultSink {
        @Override
        public void refuse(Reply reply) {
            respond(exchange, context, reply);
        }

        @Override
        public void write(byte[] lines) {
            begin();
            exchange.write(lines);
        }

        @Override
        public boolean isWritable() {
            return exchange.isWritable();
        }

        @Override
        public boolean isOpen() {
            return exchange.isOpen();
        }

        @Override
        public void end() {
            begin();
            context.onAnswered().accept(OK);
            exchange.end();
        }

        @Override
        public void abort() {
            Logger.warn("Results can't be read from the platform; the connection is closed");
            context.onAnswered().accept(OK);
            exchange.abort();
        }

        private void begin() {
            if (!exchange.isStarted()) {
                exchange.start(
                        OK,
                        Map.of(
                                "content-type",
                                "application/jsonl",
                                "x-request-id",
                                context.requestId()));
            }
        }
    }
}
