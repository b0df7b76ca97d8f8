package org.sardinelift.entry.batch;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.sardinelift.core.batch.Holder;
import org.sardinelift.core.catalog.Catalog;
import org.sardinelift.core.catalog.ServiceSpec;
import org.sardinelift.core.catalog.TeamPlan;
import org.sardinelift.core.explain.DecisionAction;
import org.sardinelift.core.explain.DecisionLog;
import org.sardinelift.core.explain.DecisionRecord;
import org.sardinelift.core.explain.DecisionRecorder;
import org.sardinelift.core.fleet.FleetView;
import org.sardinelift.objects.ObjectStore;

/** Several entries on one platform, in virtual time. */
final class Fleet {
    static final String MODEL = "registry-7b";
    static final TeamPlan COMPLIANCE =
            new TeamPlan("compliance", 10, 10, Set.of(MODEL), Set.of("notices"), 1, 1);
    static final TeamPlan WHARF = new TeamPlan("wharf", 10, 10, Set.of(MODEL), Set.of(), 1, 3);
    static final Catalog CATALOG =
            new Catalog(
                    1,
                    Map.of("compliance", COMPLIANCE, "wharf", WHARF),
                    Map.of(),
                    Map.of(
                            "registry-llm",
                            new ServiceSpec(
                                    "registry-llm", true, Set.of(MODEL), false, Set.of(), true),
                            "notices",
                            new ServiceSpec(
                                    "notices", false, Set.of(), false, Set.of("GET"), true)));

    private final VirtualControl time = new VirtualControl();
    private final FakeDispatcher dispatcher = new FakeDispatcher();
    private final List<Node> nodes = new ArrayList<>();
    private final DecisionLog log = DecisionLog.of(1_000);
    private final DecisionRecorder decisions = DecisionRecorder.of(log, () -> 0);
    private int started;

    record Node(String name, BatchService service, VirtualControl.Entry control) {}

    VirtualControl time() {
        return time;
    }

    FakeDispatcher dispatcher() {
        return dispatcher;
    }

    /** Actions that all entries recorded about a subject. */
    List<DecisionAction> decisionsAbout(String subject) {
        return log.find(Set.of(subject), 1_000).stream().map(DecisionRecord::action).toList();
    }

    List<Node> nodes() {
        return nodes;
    }

    Node start(String name, ObjectStore store, BatchSettings settings) {
        VirtualControl.Entry control = time.newEntry();
        started++;
        BatchService service =
                BatchService.create(
                        store,
                        dispatcher,
                        () -> CATALOG,
                        FleetView::empty,
                        new Holder(name, "incarnation-" + started),
                        control,
                        settings,
                        JobDecisions.of(decisions));
        Node node = new Node(name, service, control);
        nodes.add(node);
        return node;
    }

    void advance(Duration duration) {
        time.advance(duration);
    }

    static String chatLines(int count) {
        return IntStream.range(0, count)
                .mapToObj(Fleet::chatLine)
                .collect(Collectors.joining("\n"));
    }

    static String chatLine(int number) {
        return "{\"custom_id\":\"item-"
                + number
                + "\",\"method\":\"POST\",\"url\":\"/v1/chat/completions\",\"body\":{\"model\":\""
                + MODEL
                + "\",\"messages\":[{\"role\":\"user\",\"content\":\"pot "
                + number
                + "\"}]}}";
    }

    static String noticeLine(int number) {
        return "{\"custom_id\":\"notice-"
                + number
                + "\",\"method\":\"POST\",\"url\":\"/services/notices/fine\",\"body\":{\"pot\":"
                + number
                + "}}";
    }

    AtomicReference<Reply> submit(Node node, String jobKey, String lines) {
        return submit(node, COMPLIANCE, jobKey, Long.MAX_VALUE, lines);
    }

    AtomicReference<Reply> submit(
            Node node, TeamPlan team, String jobKey, long dueMs, String lines) {
        AtomicReference<Reply> reply = new AtomicReference<>();
        node.service()
                .acceptance()
                .submit(team, jobKey, dueMs, lines.getBytes(StandardCharsets.UTF_8), reply::set);
        return reply;
    }

    AtomicReference<Reply> status(Node node, String id) {
        AtomicReference<Reply> reply = new AtomicReference<>();
        node.control().execute(() -> node.service().reader().status("compliance", id, reply::set));
        return reply;
    }

    AtomicReference<Reply> cancel(Node node, String id) {
        AtomicReference<Reply> reply = new AtomicReference<>();
        node.control().execute(() -> node.service().cancel().cancel("compliance", id, reply::set));
        return reply;
    }

    StringSink results(Node node, String id) {
        StringSink sink = new StringSink();
        node.control().execute(() -> node.service().reader().streamResults("compliance", id, sink));
        return sink;
    }

    /** Collects the lines of results. */
    static final class StringSink implements JobReader.ResultSink {
        private final StringBuilder text = new StringBuilder();
        private boolean ended;

        @Override
        public void refuse(Reply reply) {
            text.append(reply.body());
        }

        @Override
        public void write(byte[] lines) {
            text.append(new String(lines, StandardCharsets.UTF_8));
        }

        @Override
        public boolean isWritable() {
            return true;
        }

        @Override
        public boolean isOpen() {
            return true;
        }

        @Override
        public void end() {
            ended = true;
        }

        @Override
        public void abort() {
            text.append("ABORTED");
        }

        boolean ended() {
            return ended;
        }

        List<String> lines() {
            return text.toString().lines().toList();
        }

        @Override
        public String toString() {
            return text.toString();
        }
    }
}
