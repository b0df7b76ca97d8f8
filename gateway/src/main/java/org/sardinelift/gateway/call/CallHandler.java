package org.sardinelift.gateway.call;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import org.jspecify.annotations.Nullable;
import org.sardinelift.core.plan.CallKind;
import org.sardinelift.core.plan.RoutePlan;
import org.sardinelift.core.plan.ServingPlan;
import org.sardinelift.core.plan.TeamRateLimit;
import org.sardinelift.gateway.HeaderNames;
import org.sardinelift.gateway.call.ErrorResponses.Kind;
import org.sardinelift.gateway.feed.PlanFeed;
import org.sardinelift.gateway.job.JobApi;
import org.sardinelift.http.HttpExchange;
import org.sardinelift.http.HttpHandler;

/** Admits callers' calls and has them forwarded; on the event loop. */
public final class CallHandler implements HttpHandler {
    private static final String KEY_PREFIX = "Bearer ";
    private static final Duration UNTIL_PLAN = Duration.ofSeconds(1);

    /** A caller whose deadline is shorter than its route's by more than this has waited before. */
    private static final Duration RETURNED = Duration.ofMillis(40);

    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private final ForwardingContext forwarding;
    private final PlanFeed plans;
    private final JobApi jobs;
    private final JobProxy jobProxy;

    CallHandler(ForwardingContext forwarding, PlanFeed plans, JobApi jobs, JobProxy jobProxy) {
        this.forwarding = forwarding;
        this.plans = plans;
        this.jobs = jobs;
        this.jobProxy = jobProxy;
    }

    @Override
    public void handle(HttpExchange exchange) {
        String id = header(exchange, names().callId(), "");
        PlanFeed.CurrentPlan held = plans.current();
        if (held == null) {
            refuse(exchange, Kind.NOT_READY, id, "no configuration yet", UNTIL_PLAN);
            return;
        }
        ServingPlan plan = held.plan();
        Optional<JobApi.JobCall> jobCall =
                jobs.parseCall(exchange.method(), exchange.uri(), exchange::header);
        if (jobCall.isPresent()) {
            handleJobCall(exchange, plan, jobCall.get());
            return;
        }
        Optional<RoutePlan> route = plan.route(header(exchange, "host", ""), path(exchange.uri()));
        if (route.isEmpty()) {
            refuse(exchange, Kind.NO_ROUTE, id, "no route in version " + plan.version(), null);
            return;
        }
        handleOnRoute(exchange, id, plan, route.get());
    }

    private void handleOnRoute(
            HttpExchange exchange, String id, ServingPlan plan, RoutePlan route) {
        Optional<String> team = team(exchange, plan);
        if (team.isEmpty() && !route.isPublic()) {
            refuse(exchange, Kind.BAD_KEY, id, "no team in version " + plan.version(), null);
            return;
        }
        if (route.kind() == CallKind.BATCH) {
            jobProxy.submit(exchange, id, team.orElse(""), route);
            return;
        }
        String teamName = route.isPublic() ? "" : team.orElse("");
        Optional<Duration> overRate = overRate(plan, teamName);
        if (overRate.isPresent()) {
            String detail = overRateDetail(plan, teamName);
            refuse(exchange, Kind.OVER_RATE, id, detail, overRate.get());
            return;
        }
        AdmittedCall call = call(exchange, id, plan, route, teamName);
        if (forwarding.deaths().isRefused(call.fingerprint(), forwarding.now())) {
            refuse(exchange, Kind.CRASHES_TARGETS, id, "targets died with this request", null);
            return;
        }
        new ForwardedCall(forwarding, exchange, call).start();
    }

    private AdmittedCall call(
            HttpExchange exchange, String id, ServingPlan plan, RoutePlan route, String team) {
        long fingerprint = fingerprint(team, exchange);
        Duration deadline = deadline(exchange, route);
        Duration waited = route.timeout().minus(deadline);
        boolean returned = waited.compareTo(RETURNED) > 0;
        return new AdmittedCall(
                id,
                route,
                team,
                route.selectService(hash(FNV_OFFSET, id.getBytes(StandardCharsets.UTF_8)))
                        .orElse(""),
                plan.version(),
                deadline.compareTo(route.timeout()) < 0 ? deadline : route.timeout(),
                returned ? waited : Duration.ZERO,
                lastEvent(exchange),
                fingerprint);
    }

    private Duration deadline(HttpExchange exchange, RoutePlan route) {
        String text = exchange.header(names().deadlineMs());
        try {
            return text == null
                    ? route.timeout()
                    : Duration.ofMillis(Math.max(1, Long.parseLong(text.trim())));
        } catch (NumberFormatException e) {
            // A deadline that can't be read bounds nothing; the route's own bound holds.
            return route.timeout();
        }
    }

    private OptionalLong lastEvent(HttpExchange exchange) {
        String text = exchange.header(names().lastEventId());
        try {
            return text == null
                    ? OptionalLong.empty()
                    : OptionalLong.of(Long.parseLong(text.trim()));
        } catch (NumberFormatException e) {
            // The stream then begins at its start, as it does without the header.
            return OptionalLong.empty();
        }
    }

    private Optional<Duration> overRate(ServingPlan plan, String team) {
        Optional<TeamRateLimit> allowance = plan.rateLimit(team);
        if (allowance.isEmpty()) {
            return Optional.empty();
        }
        long wait = forwarding.network().quota().tryAdmit(allowance.get(), forwarding.now());
        if (wait == 0) {
            return Optional.empty();
        }
        return Optional.of(Duration.ofNanos(wait));
    }

    private String overRateDetail(ServingPlan plan, String team) {
        TeamRateLimit allowance = plan.rateLimit(team).orElseThrow();
        return "team %s, version %d, rate %.1f/s, burst %.1f, %s"
                .formatted(
                        team,
                        plan.version(),
                        allowance.ratePerSecond(),
                        allowance.burst(),
                        forwarding.network().quota().describe(team));
    }

    private void handleJobCall(HttpExchange exchange, ServingPlan plan, JobApi.JobCall jobCall) {
        boolean isOpen =
                plan.routes(header(exchange, "host", "")).stream()
                        .anyMatch(route -> route.kind() == CallKind.BATCH && route.isPublic());
        Optional<String> team = team(exchange, plan);
        if (team.isEmpty() && !isOpen) {
            String detail = "no team in version " + plan.version();
            refuse(exchange, Kind.BAD_KEY, jobCall.job(), detail, null);
            return;
        }
        jobProxy.forward(exchange, jobCall, team.orElse(""));
    }

    private static Optional<String> team(HttpExchange exchange, ServingPlan plan) {
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

    private HeaderNames names() {
        return forwarding.headers().names();
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
