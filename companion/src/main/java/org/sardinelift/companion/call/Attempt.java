package org.sardinelift.companion.call;

import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.SpanKind;
import org.jspecify.annotations.Nullable;
import org.sardinelift.companion.outcome.AttemptId;
import org.sardinelift.core.gate.GateCall;
import org.sardinelift.protocol.generated.FailureKind;
import org.sardinelift.protocol.generated.Finish;
import org.sardinelift.protocol.generated.Lane;
import org.sardinelift.protocol.generated.RunOutcome;
import org.sardinelift.protocol.generated.Start;
import org.sardinelift.runtime.Telemetry;

/** One attempt at a call, from its Start frame to its Finish frame. Owned by the control thread. */
final class Attempt {
    private static final long NOT_ORPHANED = Long.MAX_VALUE;

    private final AttemptId id;
    private final Start start;
    private final ResponseBuffer response;
    private final long receivedMs;
    private final Telemetry telemetry;
    private final Span span;
    private Span currentStage;
    private @Nullable Runnable abort;
    private boolean wasSentToTarget;
    private boolean isAcknowledged;
    private long orphanedMs = NOT_ORPHANED;

    Attempt(
            AttemptId id,
            Start start,
            ResponseBuffer response,
            long receivedMs,
            Telemetry telemetry) {
        this.id = id;
        this.start = start;
        this.response = response;
        this.receivedMs = receivedMs;
        this.telemetry = telemetry;
        String parent = start.getTraceparent() == null ? "" : start.getTraceparent();
        span = telemetry.startSpan("companion.call", SpanKind.SERVER, parent);
        currentStage = telemetry.startSpan("companion.queue", SpanKind.INTERNAL, traceparent());
    }

    AttemptId id() {
        return id;
    }

    Start start() {
        return start;
    }

    ResponseBuffer response() {
        return response;
    }

    Lane lane() {
        return start.getLane() == Lane.BATCH ? Lane.BATCH : Lane.ONLINE;
    }

    boolean wasSentToTarget() {
        return wasSentToTarget;
    }

    long receivedMs() {
        return receivedMs;
    }

    /** The deadline counts from the receipt of the call, on this process's clock. */
    long deadlineMs() {
        return receivedMs + start.getDeadlineMs();
    }

    String key() {
        return id.requestId() + "#" + id.attempt();
    }

    GateCall gateCall(boolean resumable) {
        return new GateCall(
                key(),
                start.getTeam() == null ? "" : start.getTeam(),
                Math.max(1, start.getWeight()),
                lane() == Lane.BATCH,
                deadlineMs(),
                resumable,
                start.isSuspect());
    }

    /** Notes that the call was sent to the target. */
    void markSent(Runnable abortAction) {
        wasSentToTarget = true;
        abort = abortAction;
    }

    /** Starts the span of the call at the target and returns its trace context. */
    String startTargetSpan() {
        currentStage.end();
        currentStage = telemetry.startSpan("companion.target", SpanKind.CLIENT, traceparent());
        return Telemetry.traceparent(currentStage);
    }

    /** Aborts the call at the target; anything the target still sends is dropped. */
    void abortAtTarget() {
        response.setSource(null);
        if (abort != null) {
            abort.run();
            abort = null;
        }
    }

    void markAcknowledged() {
        isAcknowledged = true;
    }

    boolean isAcknowledged() {
        return isAcknowledged;
    }

    void markOrphaned(long nowMs) {
        orphanedMs = Math.min(orphanedMs, nowMs);
    }

    void clearOrphaned() {
        orphanedMs = NOT_ORPHANED;
    }

    boolean isOrphaned() {
        return orphanedMs != NOT_ORPHANED;
    }

    boolean wasOrphanedBefore(long timeMs) {
        return orphanedMs < timeMs;
    }

    void endSpans(String failure) {
        currentStage.end();
        span.setAttribute("failure", failure).end();
    }

    /** Creates the Finish of an attempt without a complete response from the target. */
    Finish failureFinish(FailureKind failure, String detail) {
        return newFinish(failure, outcome()).setDetail(detail);
    }

    Finish newFinish(FailureKind failure, RunOutcome outcome) {
        return new Finish()
                .setRequestId(id.requestId())
                .setAttempt(id.attempt())
                .setFailure(failure)
                .setOutcome(outcome);
    }

    private RunOutcome outcome() {
        if (response.isStarted()) {
            return RunOutcome.RUN;
        }
        return wasSentToTarget ? RunOutcome.UNKNOWN : RunOutcome.NOT_RUN;
    }

    private String traceparent() {
        return Telemetry.traceparent(span);
    }
}
