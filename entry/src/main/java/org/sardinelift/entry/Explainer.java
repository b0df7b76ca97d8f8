package org.sardinelift.entry;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.BiPredicate;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.jspecify.annotations.Nullable;
import org.sardinelift.core.explain.DecisionLog;
import org.sardinelift.core.fleet.FleetView;
import org.sardinelift.core.fleet.InstanceInfo;
import org.sardinelift.entry.peer.Peers;
import org.sardinelift.http.HttpExchange;
import org.sardinelift.protocol.DecisionFrames;
import org.sardinelift.protocol.FrameConnection;
import org.sardinelift.protocol.FrameListener;
import org.sardinelift.protocol.generated.Decision;
import org.sardinelift.protocol.generated.ExplainQuery;
import org.sardinelift.protocol.generated.ExplainResult;
import org.sardinelift.protocol.generated.Frame;
import org.sardinelift.runtime.ControlThread;

/**
 * Collects the decisions on a subject into one timeline: first from all entries, then from the
 * companions that these decisions name. Owned by a thread of its own, since a search takes
 * milliseconds.
 */
final class Explainer implements FrameListener {
    private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(1);
    private static final int DEFAULT_MAX_DECISIONS = 200;

    /** Maximum number of companions that are asked; those named most recently come first. */
    private static final int MAX_COMPANIONS = 32;

    private final String instance;
    private final DecisionLog log;
    private final Peers peers;
    private final CompanionConnections companions;
    private final Supplier<FleetView> fleet;
    private final ControlThread control;
    private final ObjectMapper mapper = new ObjectMapper();
    private final Map<Long, PendingQuery> queries = new HashMap<>();
    private long lastQueryNumber;

    Explainer(
            String instance,
            DecisionLog log,
            Peers peers,
            CompanionConnections companions,
            Supplier<FleetView> fleet,
            ControlThread control) {
        this.instance = instance;
        this.log = log;
        this.peers = peers;
        this.companions = companions;
        this.fleet = fleet;
        this.control = control;
        peers.addListener(this);
        companions.setResultListener(
                (name, result) -> control.execute(() -> onResult(name, result)));
    }

    /** Responds with the decisions on the query's subject, and who did not answer. */
    void handle(HttpExchange exchange) {
        String subject = exchange.query("subject") == null ? "" : exchange.query("subject");
        int limit = parseLimit(exchange.query("limit"));
        control.execute(() -> startQuery(exchange, toRecordedSubject(subject), limit));
    }

    /** Decisions on a target are recorded under the name of its companion. */
    private String toRecordedSubject(String subject) {
        return fleet.get().companions().stream()
                .filter(companion -> companion.target().equals(subject))
                .map(InstanceInfo::name)
                .findFirst()
                .orElse(subject);
    }

    private void startQuery(HttpExchange exchange, String subject, int limit) {
        lastQueryNumber++;
        PendingQuery query = new PendingQuery(exchange, lastQueryNumber, subject, limit);
        queries.put(query.number, query);
        Set<String> names = subject.isEmpty() ? Set.of() : Set.of(subject);
        query.decisions.addAll(DecisionFrames.findDecisions(log, instance, names, limit));
        query.answered.add(instance);
        sendQueries(query, otherEntries(), peers::send, () -> queryCompanions(query));
    }

    private List<String> otherEntries() {
        return Stream.concat(
                        fleet.get().entries().stream().map(InstanceInfo::name),
                        peers.connected().stream())
                .filter(name -> !name.equals(instance))
                .distinct()
                .toList();
    }

    private void queryCompanions(PendingQuery query) {
        Set<String> known =
                Stream.concat(
                                fleet.get().companions().stream().map(InstanceInfo::name),
                                companions.connected().stream())
                        .collect(Collectors.toSet());
        List<String> named =
                Stream.concat(
                                Stream.of(query.subject),
                                query.newestFirst()
                                        .flatMap(each -> each.getFigures().values().stream()))
                        .filter(known::contains)
                        .distinct()
                        .toList();
        named.stream().skip(MAX_COMPANIONS).forEach(query.silent::add);
        sendQueries(
                query,
                named.stream().limit(MAX_COMPANIONS).toList(),
                companions::send,
                () -> finish(query));
    }

    /** Queries instances; runs the next stage once all have answered, or after a timeout. */
    private void sendQueries(
            PendingQuery query,
            Collection<String> names,
            BiPredicate<String, Frame> send,
            Runnable nextStage) {
        Frame frame =
                Frame.explainQuery(new ExplainQuery(query.number, query.subject, query.limit));
        query.nextStage = nextStage;
        query.silent.addAll(names);
        names.stream().filter(name -> send.test(name, frame)).forEach(query.awaited::add);
        if (query.awaited.isEmpty()) {
            nextStage.run();
        } else {
            control.schedule(ANSWER_TIMEOUT, () -> onTimeout(query, nextStage));
        }
    }

    private void onTimeout(PendingQuery query, Runnable stage) {
        if (query.nextStage == stage) {
            query.awaited.clear();
            stage.run();
        }
    }

    private void onResult(String from, ExplainResult result) {
        PendingQuery query = queries.get(result.getExchange());
        if (query == null || !query.silent.remove(from)) {
            return;
        }
        query.answered.add(from);
        query.decisions.addAll(result.getDecisions());
        if (query.awaited.remove(from) && query.awaited.isEmpty()) {
            query.nextStage.run();
        }
    }

    private void finish(PendingQuery query) {
        query.nextStage = () -> {};
        if (queries.remove(query.number) == null) {
            return;
        }
        ObjectNode answer = mapper.createObjectNode().put("subject", query.subject);
        ArrayNode list = answer.putArray("decisions");
        query.newest().forEach(decision -> writeDecision(list.addObject(), decision));
        query.answered.forEach(answer.putArray("answered")::add);
        query.silent.forEach(answer.putArray("silent")::add);
        query.exchange.respondJson(200, answer.toString());
    }

    private static void writeDecision(ObjectNode node, Decision decision) {
        node.put("timeMs", decision.getTimeMs())
                .put("instance", decision.getInstance())
                .put("subject", decision.getSubject())
                .put("action", decision.getAction())
                .put("reason", decision.getReason());
        ObjectNode figures = node.putObject("figures");
        new TreeMap<>(decision.getFigures()).forEach(figures::put);
    }

    @Override
    public void onConnected(FrameConnection connection) {}

    @Override
    public void onFrame(FrameConnection connection, Frame frame) {
        if (frame.isSetExplainQuery()) {
            ExplainQuery query = frame.getExplainQuery();
            control.execute(
                    () -> connection.send(DecisionFrames.toResultFrame(query, instance, log)));
        } else if (frame.isSetExplainResult()) {
            ExplainResult result = frame.getExplainResult();
            String peer = connection.peer().getInstance();
            control.execute(() -> onResult(peer, result));
        }
    }

    @Override
    public void onDisconnected(FrameConnection connection, String reason) {}

    private static int parseLimit(@Nullable String text) {
        try {
            return text == null
                    ? DEFAULT_MAX_DECISIONS
                    : Math.max(1, Math.min(DecisionFrames.MAX_DECISIONS, Integer.parseInt(text)));
        } catch (NumberFormatException e) {
            return DEFAULT_MAX_DECISIONS;
        }
    }

    /** One query, with the answers received so far. */
    private static final class PendingQuery {
        private final HttpExchange exchange;
        private final long number;
        private final String subject;
        private final int limit;
        private final List<Decision> decisions = new ArrayList<>();
        private final Set<String> answered = new TreeSet<>();
        private final Set<String> silent = new TreeSet<>();
        private final Set<String> awaited = new HashSet<>();
        private Runnable nextStage = () -> {};

        PendingQuery(HttpExchange exchange, long number, String subject, int limit) {
            this.exchange = exchange;
            this.number = number;
            this.subject = subject;
            this.limit = limit;
        }

        Stream<Decision> newestFirst() {
            return decisions.stream()
                    .sorted(Comparator.comparingLong(Decision::getTimeMs).reversed());
        }

        /** Returns the newest decisions, up to the limit, oldest first. */
        Stream<Decision> newest() {
            return decisions.stream()
                    .sorted(Comparator.comparingLong(Decision::getTimeMs))
                    .skip(Math.max(0, decisions.size() - limit));
        }
    }
}
