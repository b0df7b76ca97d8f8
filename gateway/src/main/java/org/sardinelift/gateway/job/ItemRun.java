package org.sardinelift.gateway.job;

import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.sardinelift.core.joblog.ItemProgress;
import org.sardinelift.core.joblog.ItemSchedule;
import org.sardinelift.core.plan.RoutePlan;
import org.sardinelift.core.stream.EventStreamParser;
import org.sardinelift.core.stream.StreamEvent;
import org.sardinelift.gateway.call.LoadHeader;
import org.sardinelift.gateway.call.TargetTable.Target;
import org.sardinelift.http.HttpAnswerListener;
import org.sardinelift.http.HttpCall;
import org.sardinelift.http.HttpClient;

/** One run of an item on a target. On the event loop. */
final class ItemRun implements HttpAnswerListener {
    private static final int MISDIRECTED = 421;
    private static final int UNPROCESSABLE = 422;
    private static final int SUCCESS_CLASS = 2;
    private static final int CLASS_SIZE = 100;

    private final ItemRunner runner;
    private final ItemSchedule.ScheduledItem due;
    private final RoutePlan route;
    private final Target target;
    private Runnable canceller = () -> {};
    private long startedAt;
    private int events;
    private int status;
    private List<Map.Entry<String, String>> headers = List.of();
    private @Nullable EventStreamParser reader;

    ItemRun(ItemRunner runner, ItemSchedule.ScheduledItem due, RoutePlan route, Target target) {
        this.runner = runner;
        this.due = due;
        this.route = route;
        this.target = target;
    }

    ItemSchedule.ScheduledItem due() {
        return due;
    }

    ItemProgress item() {
        return due.item();
    }

    RoutePlan route() {
        return route;
    }

    Target target() {
        return target;
    }

    /** Events of this run. */
    int events() {
        return events;
    }

    long startedAt() {
        return startedAt;
    }

    void start(HttpClient client, HttpCall call, long now) {
        startedAt = now;
        canceller = client.send(call, this);
    }

    /** Closes the connection, so that the target drops the item. */
    void cancel() {
        canceller.run();
    }

    @Override
    public void onHead(int answered, List<Map.Entry<String, String>> fields) {
        if (!runner.isRunning(this)) {
            return;
        }
        status = answered;
        headers = fields;
        long now = System.nanoTime();
        target.onBytesReceived(now);
        String echoed = header(runner.headers().callId());
        if (echoed != null && !echoed.equals(item().item().id())) {
            fail("the answer belongs to call " + echoed);
            return;
        }
        LoadHeader.parse(header(runner.headers().load()))
                .ifPresent(
                        calls ->
                                runner.network()
                                        .targetLoads()
                                        .onTargetLoad(target.id(), calls, now));
        boolean succeeded = status / CLASS_SIZE == SUCCESS_CLASS;
        if (succeeded && header(runner.headers().signature()) == null) {
            fail("the answer has no signature");
        } else if (succeeded) {
            reader =
                    item().lastEventId().isPresent()
                            ? EventStreamParser.resumingAfter(item().lastEventId().getAsLong())
                            : EventStreamParser.fromStart();
        }
    }

    @Override
    public void onData(byte[] part) {
        if (!runner.isRunning(this) || reader == null) {
            return;
        }
        target.onBytesReceived(System.nanoTime());
        List<StreamEvent> received = reader.parse(part);
        if (!received.isEmpty()) {
            events += received.size();
            received.forEach(event -> item().onEvent(event.id(), event.data()));
            item().onProgress();
        }
        if (reader.fault().isPresent()) {
            fail(reader.fault().get());
        }
    }

    @Override
    public void onEnd() {
        if (!runner.isRunning(this)) {
            return;
        }
        if (status == MISDIRECTED) {
            runner.table().onMisdirected(target);
            runner.onRefused(this, "another target has the address");
        } else if (header(runner.headers().notRun()) != null) {
            runner.onRefused(this, "refused with status " + status);
        } else if (reader == null) {
            runner.onFailed(this, status, status == UNPROCESSABLE);
        } else if (reader.hasPartialEvent()) {
            fail("the stream ends within an event");
        } else {
            runner.onCompleted(this);
        }
    }

    @Override
    public void onFailure(Throwable cause, boolean mayHaveRun) {
        if (!runner.isRunning(this)) {
            return;
        }
        String reason = String.valueOf(cause.getMessage() == null ? cause : cause.getMessage());
        if (mayHaveRun) {
            runner.table().onCallFailed(target);
            runner.onInterrupted(this, reason);
        } else {
            runner.table().onSilent(target, reason);
            runner.onRefused(this, reason);
        }
    }

    private void fail(String reason) {
        cancel();
        runner.table().onCallFailed(target);
        runner.onInterrupted(this, reason);
    }

    private @Nullable String header(String name) {
        return headers.stream()
                .filter(entry -> entry.getKey().equalsIgnoreCase(name))
                .map(Map.Entry::getValue)
                .findFirst()
                .orElse(null);
    }
}
