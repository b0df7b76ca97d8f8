package org.sardinelift.entry.http;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.function.Supplier;
import org.sardinelift.core.catalog.Catalog;
import org.sardinelift.core.outcome.Problem;
import org.sardinelift.core.outcome.ProblemKind;
import org.sardinelift.entry.filter.CallContext;
import org.sardinelift.entry.filter.CallFilter;
import org.sardinelift.entry.filter.FilterChain;
import org.sardinelift.entry.filter.KeyLeakFilter;
import org.sardinelift.http.HttpExchange;
import org.sardinelift.http.HttpHandler;

/** Routes of the callers' port. */
public final class CallerRoutes implements HttpHandler {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String BATCHES = "/v1/batches";

    private final FilterChain calls;
    private final FilterChain models;
    private final FilterChain batches;
    private final Function<HttpExchange, CallContext> contexts;

    private CallerRoutes(
            FilterChain calls,
            FilterChain models,
            FilterChain batches,
            Function<HttpExchange, CallContext> contexts) {
        this.calls = calls;
        this.models = models;
        this.batches = batches;
        this.contexts = contexts;
    }

    /**
     * Makes the routes.
     *
     * @param identity filters that every request passes, up to its team
     * @param work filters of calls to targets, after those
     * @param catalog configuration in force
     * @param jobs routes of batch jobs
     * @param contexts makes the context of a request
     * @return the routes
     */
    public static CallerRoutes of(
            List<CallFilter> identity,
            List<CallFilter> work,
            Supplier<Catalog> catalog,
            BatchRoutes jobs,
            Function<HttpExchange, CallContext> contexts) {
        return new CallerRoutes(
                chain(identity, work.toArray(CallFilter[]::new)),
                chain(identity, (call, next) -> listModels(call, catalog.get())),
                chain(identity, KeyLeakFilter.create(), (call, next) -> handOver(call, jobs)),
                contexts);
    }

    @Override
    public void handle(HttpExchange exchange) {
        CallContext call = contexts.apply(exchange);
        String path;
        try {
            path = exchange.path();
        } catch (IllegalArgumentException e) {
            call.refuse(
                    Problem.notRun(
                            ProblemKind.MALFORMED_REQUEST,
                            "the path is not percent-encoded UTF-8"));
            return;
        }
        if (path.equals(BATCHES) || path.startsWith(BATCHES + "/")) {
            batches.run(call);
        } else if (path.equals("/v1/models")) {
            models.run(call);
        } else {
            calls.run(call);
        }
    }

    private static FilterChain chain(List<CallFilter> first, CallFilter... rest) {
        List<CallFilter> all = new ArrayList<>(first);
        all.addAll(List.of(rest));
        return FilterChain.of(all);
    }

    private static void handOver(CallContext call, BatchRoutes jobs) {
        if (!jobs.handle(call.exchange(), call.team(), call.requestId(), call::onLocalAnswer)) {
            call.refuse(
                    Problem.notRun(
                            ProblemKind.NOT_FOUND,
                            "there is no route "
                                    + call.exchange().method()
                                    + " "
                                    + call.exchange().path()));
        }
    }

    private static void listModels(CallContext call, Catalog catalog) {
        if (!call.exchange().method().equals("GET")) {
            call.refuse(Problem.notRun(ProblemKind.METHOD_NOT_ALLOWED, "use GET on /v1/models"));
            return;
        }
        ObjectNode answer = MAPPER.createObjectNode().put("object", "list");
        ArrayNode data = answer.putArray("data");
        call.team().models().stream()
                .sorted()
                .forEach(
                        model ->
                                catalog.serviceOfModel(model)
                                        .ifPresent(
                                                service ->
                                                        data.addObject()
                                                                .put("id", model)
                                                                .put("object", "model")
                                                                .put("owned_by", service.name())));
        call.onLocalAnswer(200);
        call.exchange()
                .respond(
                        200,
                        Map.of(
                                "content-type",
                                "application/json",
                                "x-request-id",
                                call.requestId()),
                        answer.toString().getBytes(StandardCharsets.UTF_8));
    }
}
