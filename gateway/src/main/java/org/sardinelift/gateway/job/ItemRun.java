package org.sardinelift.gateway.job;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.jspecify.annotations.Nullable;
import org.sardinelift.core.joblog.ItemProgress;
import org.sardinelift.core.joblog.ItemSchedule;
import org.sardinelift.core.plan.RoutePlan;
import org.sardinelift.core.plan.SoftwareVersion;
import org.sardinelift.core.stream.EventStreamParser;
import org.sardinelift.core.stream.StreamEvent;
import org.sardinelift.gateway.call.ResponseHead;
import org.sardinelift.gateway.call.TargetMemoryLimits;
import org.sardinelift.gateway.call.TargetTable.Target;
import org.sardinelift.http.HttpCall;
import org.sardinelift.http.HttpClient;
import org.sardinelift.http.HttpResponseListener;

/** A run of an item on a target. On the event loop. */
final class ItemRun implements HttpResponseListener {
    private final ItemRunner runner;
    private final ItemSchedule.ScheduledItem scheduledItem;
    private final RoutePlan route;
    private final Target target;
    private final SoftwareVersion softwareVersion;
    private final Optional<String> expectedWeights;
    private Runnable canceller = () -> {};
    private long startedAt;
    private long lastEventAt;
    private int eventCount;
    private long heldTokens;
    private ResponseHead head = ResponseHead.NONE;
    private @Nullable EventStreamParser parser;
    private boolean isRest;

    ItemRun(
            ItemRunner runner,
            ItemSchedule.ScheduledItem scheduledItem,
            RoutePlan route,
            Target target) {
        this.runner = runner;
        this.scheduledItem = scheduledItem;
        this.route = route;
        this.target = target;
        this.softwareVersion = SoftwareVersion.of(target.registration());
        this.expectedWeights = ItemTargets.expectedWeights(item().item(), runner.headers());
    }

    ItemSchedule.ScheduledItem scheduledItem() {
        return scheduledItem;
    }

    ItemProgress item() {
        return scheduledItem.item();
    }

    RoutePlan route() {
        return route;
    }

    Target target() {
        return target;
    }

    /** Version that the target's software had when the run started. */
    SoftwareVersion softwareVersion() {
        return softwareVersion;
    }

    /** Number of events received in this run. */
    int eventCount() {
        return eventCount;
    }

    long startedAt() {
        return startedAt;
    }

    void start(HttpClient client, HttpCall call, long now) {
        startedAt = now;
        lastEventAt = now;
        canceller = client.send(call, this);
    }

    /** Counts the tokens of the item on its target. */
    void holdMemory(TargetMemoryLimits memory, long now) {
        String service = target.registration().service();
        heldTokens = memory.counted(service, item().item().countedTokens());
        memory.onSent(service, target.id(), heldTokens, now);
    }

    void freeMemory(TargetMemoryLimits memory) {
        memory.onEnded(target.id(), heldTokens);
        heldTokens = 0;
    }

    /** Closes the connection, so that the target stops running the item. */
    void cancel() {
        canceller.run();
    }

    @Override
    public void onHead(int status, List<Map.Entry<String, String>> headers) {
        if (!runner.isRunning(this)) {
            return;
        }
        head = ResponseHead.read(status, headers, runner.headers());
        long now = System.nanoTime();
        target.onBytesReceived(now);
        runner.table().onResponseHead(target, head, expectedWeights);
        Optional<String> mismatch = head.findMismatch(item().item().id());
        if (mismatch.isPresent()) {
            fail(mismatch.get());
            return;
        }
        if (runner.table().onStatedRate(target, head.statedRate(), startedAt)) {
            runner.network().onLocalChange();
        }
        head.statedCalls()
                .ifPresent(
                        calls ->
                                runner.network()
                                        .targetLoads()
                                        .onTargetLoad(target.id(), calls, now));
        if (head.isSuccess() && !head.isSigned()) {
            fail("the answer has no signature");
        } else if (head.isSuccess()) {
            startStream();
        }
    }

    private void startStream() {
        OptionalLong lastEventId = item().lastEventId();
        isRest = lastEventId.isPresent();
        Optional<String> fault = isRest ? head.findRestFault() : Optional.empty();
        if (fault.isPresent()) {
            fail(fault.get());
            return;
        }
        parser =
                isRest
                        ? EventStreamParser.resumingAfter(lastEventId.getAsLong())
                        : EventStreamParser.fromStart();
    }

    @Override
    public void onData(byte[] part) {
        if (!runner.isRunning(this) || parser == null) {
            return;
        }
        long now = System.nanoTime();
        target.onBytesReceived(now);
        List<StreamEvent> received = parser.parse(part);
        if (!received.isEmpty()) {
            lastEventAt = now;
            item().onRunBegan(softwareVersion);
            eventCount += received.size();
            received.forEach(event -> item().onEvent(event.id(), event.data()));
            item().onProgress();
        }
        if (parser.fault().isPresent()) {
            fail(parser.fault().get());
        }
    }

    @Override
    public long heldBytes() {
        return parser == null ? 0 : parser.heldBytes();
    }

    @Override
    public void onEnd() {
        if (!runner.isRunning(this)) {
            return;
        }
        switch (head.kind()) {
            case REJECTION ->
                    runner.onRefused(
                            this, runner.table().onRejected(target, head, expectedWeights));
            case REFUSAL -> runner.onRefused(this, "refused with status " + head.status());
            case UNPROVEN_REFUSAL ->
                    fail(
                            "status %d without a statement that the item was not run"
                                    .formatted(head.status()));
            case SUCCESS -> onStreamEnded();
            case FAILED_RUN -> runner.onFailed(this, head.status(), false);
            case IMPOSSIBLE -> runner.onFailed(this, head.status(), true);
            default -> onOtherStatus("status " + head.status());
        }
    }

    /** The status says nothing of the item; a server error speaks against its target. */
    private void onOtherStatus(String reason) {
        if (head.isServerError()) {
            fail(reason);
        } else {
            runner.onInterrupted(this, reason);
        }
    }

    private void onStreamEnded() {
        boolean hasPartialEvent = parser != null && parser.hasPartialEvent();
        if (!head.isBrokenOff(eventCount, isRest, hasPartialEvent)) {
            runner.onCompleted(this);
        } else if (hasPartialEvent) {
            fail("the stream ended before the end of an event");
        } else {
            fail("the stream ended without an event, and without proof that none was left");
            runner.onUnprovenEnd(this);
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

    /** Ends the run if its target has completed no event for too long, whatever else it sends. */
    void checkStall(Duration timeout, long now) {
        if (now - lastEventAt >= timeout.toNanos()) {
            fail("no event for " + timeout.toMillis() + " ms");
        }
    }

    private void fail(String reason) {
        cancel();
        runner.table().onCallFailed(target);
        runner.onInterrupted(this, reason);
    }
}
