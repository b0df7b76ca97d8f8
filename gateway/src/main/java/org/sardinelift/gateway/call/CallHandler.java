package org.sardinelift.gateway.call;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.stream.StreamSupport;
import org.jspecify.annotations.Nullable;
import org.sardinelift.core.plan.CallKind;
import org.sardinelift.core.plan.RateLimit;
import org.sardinelift.core.plan.RoutePlan;
import org.sardinelift.core.plan.ServingPlan;
import org.sardinelift.core.poison.RequestTraits;
import org.sardinelift.gateway.HeaderNames;
import org.sardinelift.gateway.PlatformAdapter;
import org.sardinelift.gateway.call.ErrorResponses.Kind;
import org.sardinelift.gateway.feed.PlanFeed;
import org.sardinelift.gateway.job.JobApi;
import org.sardinelift.http.HttpExchange;
import org.sardinelift.http.HttpHandler;

/** Admits callers' calls and forwards them. Used on the event loop. */
public final class CallHandler implements HttpHandler {
    private static final String KEY_PREFIX = "Bearer ";
    private static final Duration NO_PLAN_RETRY_AFTER = Duration.ofSeconds(1);

    /** A caller whose deadline is shorter than its route's by more than this is retrying. */
    private static final Duration RETRY_DETECTION_MARGIN = Duration.ofMillis(40);

    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private final ForwardingContext context;
    private final PlanFeed plans;
    private final PlatformAdapter adapter;
    private final JobProxy jobProxy;
    private final ShutdownGuard shutdownGuard;
    private final CallGate firstGate;

    CallHandler(
            ForwardingContext context,
            PlanFeed plans,
            PlatformAdapter adapter,
            JobProxy jobProxy,
            ShutdownGuard shutdownGuard) {
        this.context = context;
        this.plans = plans;
        this.adapter = adapter;
        this.jobProxy = jobProxy;
        this.shutdownGuard = shutdownGuard;
        CallGate start = (exchange, call) -> call.start();
        CallGate shares =
                context.network().shares().isEnabled() ? new FairShareGate(context, start) : start;
        CallGate resume =
                new MemoryGate(context, new ResumeGate(context, new CrashGate(context, shares)));
        this.firstGate =
                context.settings()
                        .maxLoopDelay()
                        .<CallGate>map(
                                max ->
                                        new LoopDelayGate(
                                                context,
                                                context.network().loopDelay(),
                                                max,
                                                resume))
                        .orElse(resume);
    }

    @Override
    public void handle(HttpExchange exchange) {
        String id = header(exchange, headerNames().callId(), "");
        PlanFeed.CurrentPlan currentPlan = plans.current();
        if (currentPlan == null) {
            refuse(exchange, Kind.NOT_READY, id, "no configuration yet", NO_PLAN_RETRY_AFTER);
            return;
        }
        ServingPlan plan = currentPlan.plan();
        Optional<JobApi.JobCall> jobCall =
                adapter.jobs().parseCall(exchange.method(), exchange.uri(), exchange::header);
        if (jobCall.isPresent()) {
            handleJobCall(exchange, plan, jobCall.get());
            return;
        }
        Optional<RoutePlan> route = plan.route(header(exchange, "host", ""), path(exchange.uri()));
        if (route.isEmpty()) {
            refuse(
                    exchange,
                    Kind.NO_ROUTE,
                    id,
                    "no route matches in version " + plan.version(),
                    null);
            return;
        }
        handleOnRoute(exchange, id, plan, route.get());
    }

    private void handleOnRoute(
            HttpExchange exchange, String id, ServingPlan plan, RoutePlan route) {
        Optional<String> team = authenticate(exchange, plan);
        if (team.isEmpty() && !route.isPublic()) {
            refuse(
                    exchange,
                    Kind.BAD_KEY,
                    id,
                    "no team with this key in version " + plan.version(),
                    null);
            return;
        }
        if (route.kind() == CallKind.BATCH) {
            jobProxy.submit(exchange, id, team.orElse(""), route);
            return;
        }
        Duration timeLimit = readTimeLimit(exchange, route);
        if (!shutdownGuard.allows(timeLimit)) {
            shutdownGuard.refuse(exchange, id, timeLimit);
            return;
        }
        String teamName = route.isPublic() ? "" : team.orElse("");
        Optional<Duration> retryAfter = rateLimitWait(plan, teamName);
        if (retryAfter.isPresent()) {
            String detail = rateLimitDetail(plan, teamName);
            refuse(exchange, Kind.OVER_RATE, id, detail, retryAfter.get());
            return;
        }
        AdmittedCall call = toAdmittedCall(exchange, id, plan, route, teamName);
        firstGate.admit(exchange, new ForwardedCall(context, exchange, call));
    }

    private AdmittedCall toAdmittedCall(
            HttpExchange exchange, String id, ServingPlan plan, RoutePlan route, String team) {
        Duration deadline = readDeadline(exchange, route);
        Duration earlierWait = route.timeout().minus(deadline);
        boolean isRetry = earlierWait.compareTo(RETRY_DETECTION_MARGIN) > 0;
        String resumedCallId = readResumedCallId(exchange);
        // A resumed stream goes to the service that its first attempt was sent to.
        String firstCallId = resumedCallId.isEmpty() ? id : resumedCallId;
        String service =
                route.selectService(hash(FNV_OFFSET, firstCallId.getBytes(StandardCharsets.UTF_8)))
                        .orElse("");
        List<String> promptParts =
                adapter.sharedPromptParts(exchange.header(headerNames().promptParts()));
        return new AdmittedCall(
                id,
                route,
                team,
                service,
                plan.version(),
                readTimeLimit(exchange, route),
                isRetry ? earlierWait : Duration.ZERO,
                readLastEventId(exchange),
                resumedCallId,
                adapter.tokenCount(exchange.header(headerNames().tokenCount())),
                Optional.ofNullable(exchange.header(headerNames().expectedWeights())),
                RequestTraits.of(fingerprint(team, exchange), service, promptParts));
    }

    /** Longest time until the call's answer is complete: what the caller and the route allow. */
    private Duration readTimeLimit(HttpExchange exchange, RoutePlan route) {
        Duration deadline = readDeadline(exchange, route);
        return deadline.compareTo(route.timeout()) < 0 ? deadline : route.timeout();
    }

    private Duration readDeadline(HttpExchange exchange, RoutePlan route) {
        String text = exchange.header(headerNames().deadlineMs());
        try {
            return text == null
                    ? route.timeout()
                    : Duration.ofMillis(Math.max(1, Long.parseLong(text.trim())));
        } catch (NumberFormatException e) {
            // An unreadable deadline is ignored; the route's timeout applies.
            return route.timeout();
        }
    }

    private OptionalLong readLastEventId(HttpExchange exchange) {
        String text = exchange.header(headerNames().lastEventId());
        try {
            return text == null
                    ? OptionalLong.empty()
                    : OptionalLong.of(Long.parseLong(text.trim()));
        } catch (NumberFormatException e) {
            // The stream then starts at its beginning, as without the header.
            return OptionalLong.empty();
        }
    }

    /** Reads which attempt began a resumed stream; empty if the caller names none, or several. */
    private String readResumedCallId(HttpExchange exchange) {
        List<String> ids =
                StreamSupport.stream(exchange.headers().spliterator(), false)
                        .filter(
                                header ->
                                        header.getKey()
                                                .equalsIgnoreCase(headerNames().resumedCallId()))
                        .map(header -> header.getValue().trim())
                        .distinct()
                        .toList();
        return ids.size() == 1 ? ids.get(0) : "";
    }

    private Optional<Duration> rateLimitWait(ServingPlan plan, String team) {
        Optional<RateLimit> limit = plan.rateLimit(team);
        if (limit.isEmpty()) {
            return Optional.empty();
        }
        long wait = context.network().quota().tryAdmit(limit.get(), context.now());
        if (wait == 0) {
            return Optional.empty();
        }
        return Optional.of(Duration.ofNanos(wait));
    }

    private String rateLimitDetail(ServingPlan plan, String team) {
        RateLimit limit = plan.rateLimit(team).orElseThrow();
        return "team %s, version %d, rate %.1f/s, burst %.1f, %s"
                .formatted(
                        team,
                        plan.version(),
                        limit.ratePerSecond(),
                        limit.burst(),
                        context.network().quota().describe(team));
    }

    private void handleJobCall(HttpExchange exchange, ServingPlan plan, JobApi.JobCall jobCall) {
        boolean hasPublicBatchRoute =
                plan.routes(header(exchange, "host", "")).stream()
                        .anyMatch(route -> route.kind() == CallKind.BATCH && route.isPublic());
        Optional<String> team = authenticate(exchange, plan);
        if (team.isEmpty() && !hasPublicBatchRoute) {
            String detail = "no team with this key in version " + plan.version();
            refuse(exchange, Kind.BAD_KEY, jobCall.job(), detail, null);
            return;
        }
        jobProxy.forward(exchange, jobCall, team.orElse(""));
    }

    private static Optional<String> authenticate(HttpExchange exchange, ServingPlan plan) {
        String authorization = header(exchange, "authorization", "");
        return authorization.regionMatches(true, 0, KEY_PREFIX, 0, KEY_PREFIX.length())
                ? plan.teamOfKey(authorization.substring(KEY_PREFIX.length()).trim())
                : Optional.empty();
    }

    private static long fingerprint(String team, HttpExchange exchange) {
        long hash = hash(FNV_OFFSET, team.getBytes(StandardCharsets.UTF_8));
        hash = hash(hash, exchange.method().getBytes(StandardCharsets.UTF_8));
        hash = hash(hash, exchange.uri().getBytes(StandardCharsets.UTF_8));
        return hash(hash, exchange.body());
    }

    private static long hash(long start, byte[] bytes) {
        long hash = start;
        for (byte next : bytes) {
            hash = (hash ^ (next & 0xff)) * FNV_PRIME;
        }
        return hash;
    }

    private static String path(String uri) {
        int query = uri.indexOf('?');
        return query < 0 ? uri : uri.substring(0, query);
    }

    private static String header(HttpExchange exchange, String name, String fallback) {
        String value = exchange.header(name);
        return value == null ? fallback : value;
    }

    private HeaderNames headerNames() {
        return context.headers().names();
    }

    private static void refuse(
            HttpExchange exchange,
            Kind kind,
            String callId,
            String detail,
            @Nullable Duration retryAfter) {
        ErrorResponses.send(exchange, kind, callId, detail, retryAfter);
    }
}
