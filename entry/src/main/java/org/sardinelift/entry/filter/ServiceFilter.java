package org.sardinelift.entry.filter;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.sardinelift.core.catalog.Catalog;
import org.sardinelift.core.catalog.ServiceSpec;
import org.sardinelift.core.outcome.Problem;
import org.sardinelift.core.outcome.ProblemKind;
import org.sardinelift.core.poison.Fingerprint;
import org.sardinelift.entry.call.CallSpec;
import org.sardinelift.http.HttpExchange;

/** Validates the request, finds the service of its model or path, and builds the call. */
public final class ServiceFilter implements CallFilter {
    private static final String TIMEOUT_HEADER = "x-timeout-ms";
    private static final Set<String> MODEL_PATHS =
            Set.of("/v1/chat/completions", "/v1/completions");

    private final Supplier<Catalog> catalog;
    private final Duration deadline;
    private final Duration longestDeadline;
    private final int prefixChars;

    private ServiceFilter(
            Supplier<Catalog> catalog,
            Duration deadline,
            Duration longestDeadline,
            int prefixChars) {
        this.catalog = catalog;
        this.deadline = deadline;
        this.longestDeadline = longestDeadline;
        this.prefixChars = prefixChars;
    }

    /**
     * Creates the filter.
     *
     * @param catalog supplies the current configuration
     * @param deadline default time for a call
     * @param longestDeadline maximum time that a caller may set
     * @param prefixChars length of the prompt's prefix that is hashed into the prefix key
     * @return the filter
     */
    public static ServiceFilter of(
            Supplier<Catalog> catalog,
            Duration deadline,
            Duration longestDeadline,
            int prefixChars) {
        return new ServiceFilter(catalog, deadline, longestDeadline, prefixChars);
    }

    @Override
    public void apply(CallContext call, Runnable next) {
        Optional<Problem> refusal =
                MODEL_PATHS.contains(call.exchange().path())
                        ? buildModelCall(call)
                        : buildServiceCall(call);
        refusal = refusal.or(() -> KeyGuard.findLeak(call));
        refusal.ifPresentOrElse(call::refuse, next);
    }

    private Optional<Problem> buildModelCall(CallContext call) {
        HttpExchange exchange = call.exchange();
        if (!exchange.method().equals("POST")) {
            return refuse(ProblemKind.METHOD_NOT_ALLOWED, "use POST on " + exchange.path());
        }
        ModelRequest.Result parsed =
                ModelRequest.parse(exchange.body(), exchange.path().contains("chat"), prefixChars);
        if (parsed instanceof ModelRequest.Malformed malformed) {
            return refuse(ProblemKind.MALFORMED_REQUEST, malformed.detail());
        }
        ModelRequest request = ((ModelRequest.Parsed) parsed).request();
        Optional<ServiceSpec> service = catalog.get().serviceOfModel(request.model());
        if (service.isEmpty()) {
            return refuse(ProblemKind.NOT_FOUND, "no service serves the model " + request.model());
        }
        if (!call.team().models().contains(request.model())) {
            return refuse(
                    ProblemKind.FORBIDDEN,
                    "team " + call.team().name() + " may not use the model " + request.model());
        }
        return build(call, service.get(), request.model(), exchange.path(), request.prefixKey());
    }

    private Optional<Problem> buildServiceCall(CallContext call) {
        HttpExchange exchange = call.exchange();
        Optional<ServicePath> path = ServicePath.parse(exchange.uri());
        if (path.isEmpty()) {
            return refuse(ProblemKind.NOT_FOUND, "there is no route " + exchange.path());
        }
        ServiceSpec service = catalog.get().services().get(path.get().service());
        if (service == null || service.isEngine()) {
            return refuse(
                    ProblemKind.NOT_FOUND, "there is no plain service " + path.get().service());
        }
        if (!service.isOpen() && !call.team().services().contains(service.name())) {
            return refuse(
                    ProblemKind.FORBIDDEN,
                    "team " + call.team().name() + " may not use the service " + service.name());
        }
        return build(call, service, "", KeyGuard.removeKeyParameters(path.get().targetPath()), "");
    }

    private Optional<Problem> build(
            CallContext call, ServiceSpec service, String model, String path, String prefixKey) {
        HttpExchange exchange = call.exchange();
        Optional<Duration> time = deadline(exchange.header(TIMEOUT_HEADER));
        if (time.isEmpty()) {
            return refuse(
                    ProblemKind.MALFORMED_REQUEST,
                    TIMEOUT_HEADER + " must be a whole number of milliseconds above 0");
        }
        String method = exchange.method();
        boolean idempotent = service.isEngine() || service.repeatableMethods().contains(method);
        Map<String, String> headers = KeyGuard.allowedHeaders(exchange.headers());
        call.spec(
                new CallSpec(
                        call.requestId(),
                        call.team(),
                        false,
                        service,
                        model,
                        method,
                        path,
                        headers,
                        exchange.body(),
                        time.get(),
                        idempotent,
                        Fingerprint.of(call.team().name(), method + " " + path, exchange.body()),
                        prefixKey,
                        call.traceparent()));
        return Optional.empty();
    }

    private Optional<Duration> deadline(@Nullable String header) {
        if (header == null) {
            return Optional.of(deadline);
        }
        try {
            long millis = Long.parseLong(header.trim());
            return millis > 0
                    ? Optional.of(Duration.ofMillis(Math.min(millis, longestDeadline.toMillis())))
                    : Optional.empty();
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }

    private static Optional<Problem> refuse(ProblemKind kind, String detail) {
        return Optional.of(Problem.notRun(kind, detail));
    }
}
