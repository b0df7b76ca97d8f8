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
 * Gathers the decisions on a subject into one timeline: first from all entries, then from the
 * companions that these decisions name. Owned by a thread of its own, since a search takes
 * milliseconds.
 */
final class Explainer implements FrameListener {
    private static final Duration WAIT = Duration.ofSeconds(1);
    private static final int DEFAULT_LIMIT = 200;

    /** Companions that one question goes to at most; those named last come first. */
    private static final int MAX_COMPANIONS = 32;

    private final String instance;
    private final DecisionLog log;
    private final Peers peers;
    private final CompanionConnections companions;
    private final Supplier<FleetView> fleet;
    private final ControlThread control;
    private final ObjectMapper mapper = new ObjectMapper();
    private final Map<Long, Gathering> gatherings = new HashMap<>();
    private long exchanges;

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
        peers.listen(this);
        companions.setResultListener(
                (name, result) -> control.execute(() -> onResult(name, result)));
    }

    /** Answers with the decisions on the query's subject; instances that stay silent are named. */
    void handle(HttpExchange exchange) {
        String subject = exchange.query("subject") == null ? "" : exchange.query("subject");
        int limit = limit(exchange.query("limit"));
        control.execute(() -> gather(exchange, companionOf(subject), limit));
    }

    /** Decisions about a target stand under the name of its companion. */
    private String companionOf(String subject) {
        return fleet.get().companions().stream()
                .filter(companion -> companion.target().equals(subject))
                .map(InstanceInfo::name)
                .findFirst()
                .orElse(subject);
    }

    private void gather(HttpExchange exchange, String subject, int limit) {
        exchanges++;
        Gathering gathering = new Gathering(exchange, exchanges, subject, limit);
        gatherings.put(gathering.number, gathering);
        Set<String> names = subject.isEmpty() ? Set.of() : Set.of(subject);
        gathering.decisions.addAll(DecisionFrames.find(log, instance, names, limit));
        gathering.answered.add(instance);
        ask(gathering, entries(), peers::send, () -> askCompanions(gathering));
    }

    private List<String> entries() {
        return Stream.concat(
                        fleet.get().entries().stream().map(InstanceInfo::name),
                        peers.connected().stream())
                .filter(name -> !name.equals(instance))
                .distinct()
                .toList();
    }

    private void askCompanions(Gathering gathering) {
        Set<String> known =
                Stream.concat(
                                fleet.get().companions().stream().map(InstanceInfo::name),
                                companions.connected().stream())
                        .collect(Collectors.toSet());
        List<String> named =
                Stream.concat(
                                Stream.of(gathering.subject),
                                gathering
                                        .newestFirst()
                                        .flatMap(each -> each.getFigures().values().stream()))
                        .filter(known::contains)
                        .distinct()
                        .toList();
        named.stream().skip(MAX_COMPANIONS).forEach(gathering.silent::add);
        ask(
                gathering,
                named.stream().limit(MAX_COMPANIONS).toList(),
                companions::send,
                () -> finish(gathering));
    }

    /** Asks some instances; goes on once all have answered, or after a time. */
    private void ask(
            Gathering gathering,
            Collection<String> names,
            BiPredicate<String, Frame> send,
            Runnable next) {
        Frame query =
                Frame.explainQuery(
                        new ExplainQuery(gathering.number, gathering.subject, gathering.limit));
        gathering.next = next;
        gathering.silent.addAll(names);
        names.stream().filter(name -> send.test(name, query)).forEach(gathering.waiting::add);
        if (gathering.waiting.isEmpty()) {
            next.run();
        } else {
            control.schedule(WAIT, () -> giveUp(gathering, next));
        }
    }

    private void giveUp(Gathering gathering, Runnable stage) {
        if (gathering.next == stage) {
            gathering.waiting.clear();
            stage.run();
        }
    }

    private void onResult(String from, ExplainResult result) {
        Gathering gathering = gatherings.get(result.getExchange());
        if (gathering == null || !gathering.silent.remove(from)) {
            return;
        }
        gathering.answered.add(from);
        gathering.decisions.addAll(result.getDecisions());
        if (gathering.waiting.remove(from) && gathering.waiting.isEmpty()) {
            gathering.next.run();
        }
    }

    private void finish(Gathering gathering) {
        gathering.next = () -> {};
        if (gatherings.remove(gathering.number) == null) {
            return;
        }
        ObjectNode answer = mapper.createObjectNode().put("subject", gathering.subject);
        ArrayNode list = answer.putArray("decisions");
        gathering.newest().forEach(decision -> write(list.addObject(), decision));
        gathering.answered.forEach(answer.putArray("answered")::add);
        gathering.silent.forEach(answer.putArray("silent")::add);
        gathering.exchange.respondJson(200, answer.toString());
    }

    private static void write(ObjectNode node, Decision decision) {
        node.put("timeMs", decision.getTimeMs())
                .put("instance", decision.getInstance())
                .put("subject", decision.getSubject())
                .put("action", decision.getAction())
                .put("reason", decision.getReason());
        ObjectNode figures = node.putObject("figures");
        new TreeMap<>(decision.getFigures()).forEach(figures::put);
    }

    @Override
    public void onUp(FrameConnection connection) {}

    @Override
    public void onFrame(FrameConnection connection, Frame frame) {
        if (frame.isSetExplainQuery()) {
            ExplainQuery query = frame.getExplainQuery();
            control.execute(() -> connection.send(DecisionFrames.answer(query, instance, log)));
        } else if (frame.isSetExplainResult()) {
            ExplainResult result = frame.getExplainResult();
            String peer = connection.peer().getInstance();
            control.execute(() -> onResult(peer, result));
        }
    }

    @Override
    public void onDown(FrameConnection connection, String reason) {}

    private static int limit(@Nullable String text) {
        try {
            return text == null
                    ? DEFAULT_LIMIT
                    : Math.max(1, Math.min(DecisionFrames.MAX_DECISIONS, Integer.parseInt(text)));
        } catch (NumberFormatException e) {
            return DEFAULT_LIMIT;
        }
    }

    /** One question on its way over the fleet. */
    private static final class Gathering {
        private final HttpExchange exchange;
        private final long number;
        private final String subject;
        private final int limit;
        private final List<Decision> decisions = new ArrayList<>();
        private final Set<String> answered = new TreeSet<>();
        private final Set<String> silent = new TreeSet<>();
        private final Set<String> waiting = new HashSet<>();
        private Runnable next = () -> {};

        Gathering(HttpExchange exchange, long number, String subject, int limit) {
            this.exchange = exchange;
            this.number = number;
            this.subject = subject;
            this.limit = limit;
        }

        Stream<Decision> newestFirst() {
            return decisions.stream()
                    .sorted(Comparator.comparingLong(Decision::getTimeMs).reversed());
        }

        /** The newest decisions, oldest first. */
        Stream<Decision> newest() {
            return decisions.stream()
                    .sorted(Comparator.comparingLong(Decision::getTimeMs))
                    .skip(Math.max(0, decisions.size() - limit));
        }
    }
}
