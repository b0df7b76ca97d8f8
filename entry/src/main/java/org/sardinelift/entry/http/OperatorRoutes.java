package org.sardinelift.entry.http;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.sardinelift.core.catalog.Catalog;
import org.sardinelift.core.catalog.TeamPlan;
import org.sardinelift.core.explain.JobStatus;
import org.sardinelift.core.explain.TeamStatus;
import org.sardinelift.core.route.Candidate;
import org.sardinelift.http.HttpExchange;
import org.sardinelift.http.HttpHandler;
import org.sardinelift.runtime.Metrics;

/** HTTP routes of the operators' port. */
public final class OperatorRoutes implements HttpHandler {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final Sources sources;
    private final Map<String, Consumer<HttpExchange>> routes;

    /**
     * The data that the routes return and the actions that they start.
     *
     * @param instance name of this instance
     * @param zone availability zone
     * @param notReadyReason why the load balancer should not send requests here, or empty
     * @param catalog configuration in force
     * @param targets state of each known target
     * @param callsInFlight number of calls in flight
     * @param peers number of connected entries
     * @param teams status of each active team at this entry
     * @param jobs jobs that this entry owns
     * @param sharesToReclaim shares of the limits whose owners are gone
     * @param explain responds, later, with the decisions on a subject as JSON
     * @param drain starts the drain
     */
    public record Sources(
            String instance,
            String zone,
            Supplier<Optional<String>> notReadyReason,
            Supplier<Catalog> catalog,
            Supplier<List<Candidate>> targets,
            Supplier<Integer> callsInFlight,
            Supplier<Integer> peers,
            Supplier<List<TeamStatus>> teams,
            Supplier<List<JobStatus>> jobs,
            Supplier<List<String>> sharesToReclaim,
            Consumer<HttpExchange> explain,
            Runnable drain) {}

    private OperatorRoutes(Sources sources) {
        this.sources = sources;
        this.routes =
                Map.of(
                        "GET /healthz", exchange -> exchange.respondJson(200, "{\"ok\":true}"),
                        "GET /readyz", this::respondReadiness,
                        "GET /metrics", OperatorRoutes::respondMetrics,
                        "GET /config", this::respondConfig,
                        "GET /targets", this::respondTargets,
                        "GET /status", this::respondStatus,
                        "GET /explain", sources.explain(),
                        "POST /drain", this::startDrain);
    }

    /**
     * Creates the routes.
     *
     * @param sources data and actions of the routes
     * @return the routes
     */
    public static OperatorRoutes of(Sources sources) {
        return new OperatorRoutes(sources);
    }

    @Override
    public void handle(HttpExchange exchange) {
        Consumer<HttpExchange> route = routes.get(exchange.method() + " " + exchange.path());
        if (route == null) {
            ObjectNode answer = MAPPER.createObjectNode().put("error", "there is no such route");
            ArrayNode known = answer.putArray("routes");
            routes.keySet().stream().sorted().forEach(known::add);
            exchange.respondJson(404, answer.toString());
            return;
        }
        route.accept(exchange);
    }

    private void respondReadiness(HttpExchange exchange) {
        Optional<String> reason = sources.notReadyReason().get();
        ObjectNode answer = MAPPER.createObjectNode().put("ready", reason.isEmpty());
        reason.ifPresent(text -> answer.put("reason", text));
        exchange.respondJson(reason.isEmpty() ? 200 : 503, answer.toString());
    }

    private static void respondMetrics(HttpExchange exchange) {
        exchange.respond(200, Map.of("content-type", Metrics.CONTENT_TYPE), Metrics.text());
    }

    private void respondConfig(HttpExchange exchange) {
        exchange.respondJson(200, configNode().toString());
    }

    private ObjectNode configNode() {
        Catalog catalog = sources.catalog().get();
        return MAPPER.createObjectNode()
                .put("instance", sources.instance())
                .put("revision", catalog.revision())
                .put("teams", catalog.teams().size())
                .put("keys", catalog.keys().size())
                .put("services", catalog.services().size());
    }

    private void respondTargets(HttpExchange exchange) {
        ObjectNode answer = MAPPER.createObjectNode().put("instance", sources.instance());
        addTargets(answer);
        exchange.respondJson(200, answer.toString());
    }

    private void addTargets(ObjectNode answer) {
        ArrayNode list = answer.putArray("targets");
        sources.targets()
                .get()
                .forEach(
                        target -> {
                            ObjectNode node =
                                    list.addObject()
                                            .put("companion", target.name())
                                            .put("service", target.service())
                                            .put("zone", target.zone())
                                            .put("slots", target.slots())
                                            .put("inFlight", target.inFlight())
                                            .put("reported", target.reportedCalls())
                                            .put("usable", target.isUsable())
                                            .put("admission", target.admission().name());
                            ArrayNode models = node.putArray("models");
                            target.models().stream().sorted().forEach(models::add);
                        });
    }

    private void respondStatus(HttpExchange exchange) {
        ObjectNode answer =
                MAPPER.createObjectNode()
                        .put("instance", sources.instance())
                        .put("zone", sources.zone())
                        .put("ready", sources.notReadyReason().get().isEmpty())
                        .put("callsUnderWay", sources.callsInFlight().get())
                        .put("peers", sources.peers().get());
        answer.set("config", configNode());
        addTargets(answer);
        ArrayNode teams = answer.putArray("teams");
        sources.teams().get().forEach(team -> writeTeam(teams.addObject(), team));
        ArrayNode jobs = answer.putArray("jobs");
        sources.jobs().get().forEach(job -> writeJob(jobs.addObject(), job));
        sources.sharesToReclaim().get().forEach(answer.putArray("sharesToReclaim")::add);
        exchange.respondJson(200, answer.toString());
    }

    private static void writeTeam(ObjectNode node, TeamStatus status) {
        node.put("team", status.team())
                .put("admitted", status.traffic().admitted())
                .put("refused", status.traffic().refused())
                .put("perSecond", status.traffic().perSecond())
                .put("online", status.onlineCalls())
                .put("batch", status.batchItems());
        TeamPlan plan = status.plan();
        if (plan != null) {
            node.put("ratePerSecond", plan.ratePerSecond())
                    .put("burst", plan.burst())
                    .put("onlineWeight", plan.onlineWeight())
                    .put("batchWeight", plan.batchWeight());
        }
    }

    private static void writeJob(ObjectNode node, JobStatus job) {
        node.put("job", job.id())
                .put("team", job.team())
                .put("takenOverFrom", job.takenOverFrom())
                .put("items", job.items())
                .put("open", job.openItems())
                .put("late", job.isLate());
        if (job.dueMs() != Long.MAX_VALUE) {
            node.put("due", Instant.ofEpochMilli(job.dueMs()).toString());
        }
        if (job.expectedEndMs() != 0) {
            node.put("expectedEnd", Instant.ofEpochMilli(job.expectedEndMs()).toString());
        }
    }

    private void startDrain(HttpExchange exchange) {
        exchange.respondJson(202, "{\"draining\":true}");
        sources.drain().run();
    }
}
