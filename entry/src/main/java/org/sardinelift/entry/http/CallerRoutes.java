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

/** HTTP routes of the callers' port. */
public final class CallerRoutes implements HttpHandler {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String BATCHES_PATH = "/v1/batches";

    private final FilterChain callChain;
    private final FilterChain modelChain;
    private final FilterChain batchChain;
    private final Function<HttpExchange, CallContext> contextFactory;

    private CallerRoutes(
            FilterChain callChain,
            FilterChain modelChain,
            FilterChain batchChain,
            Function<HttpExchange, CallContext> contextFactory) {
        this.callChain = callChain;
        this.modelChain = modelChain;
        this.batchChain = batchChain;
        this.contextFactory = contextFactory;
    }

    /**
     * Creates the routes.
     *
     * @param commonFilters filters that every request passes, up to the one that finds its team
     * @param callFilters filters that calls to targets pass after the common filters
     * @param catalog configuration in force
     * @param batchRoutes routes of batch jobs
     * @param contextFactory creates the context of a request
     * @return the routes
     */
    public static CallerRoutes of(
            List<CallFilter> commonFilters,
            List<CallFilter> callFilters,
            Supplier<Catalog> catalog,
            BatchRoutes batchRoutes,
            Function<HttpExchange, CallContext> contextFactory) {
        return new CallerRoutes(
                chain(commonFilters, callFilters.toArray(CallFilter[]::new)),
                chain(commonFilters, (call, next) -> listModels(call, catalog.get())),
                chain(
                        commonFilters,
                        KeyLeakFilter.create(),
                        (call, next) -> handleBatch(call, batchRoutes)),
                contextFactory);
    }

    @Override
    public void handle(HttpExchange exchange) {
        CallContext call = contextFactory.apply(exchange);
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
        if (path.equals(BATCHES_PATH) || path.startsWith(BATCHES_PATH + "/")) {
            batchChain.run(call);
        } else if (path.equals("/v1/models")) {
            modelChain.run(call);
        } else {
            callChain.run(call);
        }
    }

    private static FilterChain chain(List<CallFilter> first, CallFilter... rest) {
        List<CallFilter> all = new ArrayList<>(first);
        all.addAll(List.of(rest));
        return FilterChain.of(all);
    }

    private static void handleBatch(CallContext call, BatchRoutes batchRoutes) {
        if (!batchRoutes.handle(
                call.exchange(), call.team(), call.requestId(), call::onLocalAnswer)) {
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
