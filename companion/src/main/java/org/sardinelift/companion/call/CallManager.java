package org.sardinelift.companion.call;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.sardinelift.companion.outcome.Admission;
import org.sardinelift.companion.outcome.AttemptId;
import org.sardinelift.companion.outcome.OutcomeTable;
import org.sardinelift.companion.target.TargetClient;
import org.sardinelift.core.gate.EngineLoad;
import org.sardinelift.core.gate.GateAction;
import org.sardinelift.core.gate.GateRefusal;
import org.sardinelift.core.gate.SlotGate;
import org.sardinelift.protocol.FrameConnection;
import org.sardinelift.protocol.generated.Cancel;
import org.sardinelift.protocol.generated.FailureKind;
import org.sardinelift.protocol.generated.Finish;
import org.sardinelift.protocol.generated.Frame;
import org.sardinelift.protocol.generated.LoadReport;
import org.sardinelift.protocol.generated.Query;
import org.sardinelift.protocol.generated.QueryAnswer;
import org.sardinelift.protocol.generated.RequestState;
import org.sardinelift.protocol.generated.Start;
import org.sardinelift.runtime.ControlThread;
import org.sardinelift.runtime.OneShotTimer;
import org.sardinelift.runtime.Telemetry;
import org.tinylog.Logger;

/**
 * Manages the calls to the target: queues them at the slot gate, runs them, and keeps recently
 * ended ones until their entries acknowledge them. Owned by the control thread.
 */
public final class CallManager {
    private final ControlThread control;
    private final TargetClient target;
    private final CallSettings settings;
    private final Telemetry telemetry;
    private final CallDecisionRecorder decisions;
    private final Runnable onConnectionFailed;
    private final Runnable onCallsChanged;
    private final OneShotTimer tickTimer;
    private final SlotGate gate;
    private final OutcomeTable outcomes;
    private final Map<AttemptId, Attempt> attempts = new HashMap<>();
    private final Map<String, Attempt> active = new HashMap<>();
    private final ArrayDeque<GateAction> pendingActions = new ArrayDeque<>();
    private boolean isPerforming;
    private long lastTimeMs = System.nanoTime() / TimeUnit.MILLISECONDS.toNanos(1);
    private volatile boolean hasActiveCalls;
    private volatile int unacknowledgedCalls;

    /**
     * Creates a manager without calls.
     *
     * @param control thread that owns the state
     * @param target sends calls to the target
     * @param settings limits of calls
     * @param telemetry creates the spans
     * @param decisions records the gate's decisions
     * @param onConnectionFailed runs when a connection to the target can't be opened or is lost
     * @param onCallsChanged runs when a call arrived, started or ended
     */
    public CallManager(
            ControlThread control,
            TargetClient target,
            CallSettings settings,
            Telemetry telemetry,
            CallDecisionRecorder decisions,
            Runnable onConnectionFailed,
            Runnable onCallsChanged) {
        this.control = control;
        this.target = target;
        this.settings = settings;
        this.telemetry = telemetry;
        this.decisions = decisions;
        this.onConnectionFailed = onConnectionFailed;
        this.onCallsChanged = onCallsChanged;
        this.tickTimer = OneShotTimer.of(control, this::tick);
        this.gate = SlotGate.create(settings.gate());
        this.outcomes = OutcomeTable.create(settings.outcomes());
    }

    /**
     * Processes a frame from an entry.
     *
     * @param connection connection that received it
     * @param frame the frame
     */
    public void onFrame(FrameConnection connection, Frame frame) {
        switch (frame.getSetField()) {
            case START -> start(connection, frame.getStart());
            case CANCEL -> cancel(frame.getCancel());
            case QUERY -> query(connection, frame.getQuery());
            case ACK ->
                    acknowledge(
                            new AttemptId(
                                    frame.getAck().getRequestId(), frame.getAck().getAttempt()));
            default ->
                    Logger.warn(
                            "Dropped a {} frame: companions don't accept this kind",
                            frame.getSetField());
        }
    }

    /**
     * Called when a connection is lost. Its calls continue, but are cancelled if their entry does
     * not reconnect within the grace period.
     *
     * @param connection the lost connection
     */
    public void onConnectionLost(FrameConnection connection) {
        long now = now();
        active.values().stream()
                .filter(attempt -> attempt.response().isAttachedTo(connection))
                .forEach(attempt -> attempt.markOrphaned(now));
    }

    /** Checks deadlines and expires old outcomes; runs more often while there are calls. */
    public void tick() {
        tickTimer.scheduleWithin(
                active.isEmpty() ? settings.idleTickInterval() : settings.tickInterval());
        long now = now();
        for (Attempt attempt : List.copyOf(active.values())) {
            gate.recordProgress(attempt.key(), attempt.response().length());
            if (attempt.wasSentToTarget() && now >= attempt.deadlineMs()) {
                fail(attempt, FailureKind.DEADLINE_EXCEEDED, "the call's deadline has passed");
            } else if (attempt.wasOrphanedBefore(now - settings.orphanGrace().toMillis())) {
                fail(
                        attempt,
                        FailureKind.CANCELLED,
                        "the entry disconnected and did not reconnect within the grace period");
            }
        }
        outcomes.expire(now).forEach(attempts::remove);
        perform(gate.tick(now));
    }

    /**
     * Refuses waiting calls, and new ones until {@link #acceptCalls}.
     *
     * @param reason reason of the refusals
     */
    public void refuseCalls(GateRefusal reason) {
        perform(gate.close(reason));
    }

    /** Accepts new calls again. */
    public void acceptCalls() {
        gate.open();
    }

    /**
     * Called when the target has reported its load.
     *
     * @param load the reported load
     */
    public void onTargetLoad(EngineLoad load) {
        perform(gate.onLoadReport(now(), load));
    }

    /**
     * Sets the slot gate's figures in a load report.
     *
     * @param report the report to fill in
     */
    public void fillLoadReport(LoadReport report) {
        report.setSlots(gate.slots())
                .setOnlineRunning(gate.onlineRunning())
                .setOnlineQueued(gate.onlineQueued())
                .setBatchRunning(gate.batchRunning())
                .setBatchFree(gate.batchFree(now()));
    }

    /**
     * Number of calls that run at the target.
     *
     * @return number of calls
     */
    public int runningCalls() {
        return gate.onlineRunning() + gate.batchRunning();
    }

    /**
     * Whether any call waits or runs. May be called from any thread.
     *
     * @return true while there is a call
     */
    public boolean hasActiveCalls() {
        return hasActiveCalls;
    }

    /**
     * Number of ended calls that their entries have not acknowledged. May be called from any
     * thread.
     *
     * @return number of calls
     */
    public int unacknowledgedCalls() {
        return unacknowledgedCalls;
    }

    private void start(FrameConnection connection, Start start) {
        long now = now();
        AttemptId id = new AttemptId(start.getRequestId(), start.getAttempt());
        ResponseBuffer response = new ResponseBuffer(id, connection, settings.maxAnswerBytes());
        Admission admission = outcomes.admit(id, entry(connection));
        if (admission != Admission.NEW) {
            Logger.warn("Ignored the Start frame of {}: admission is {}", id, admission);
            return;
        }
        Attempt attempt = new Attempt(id, start, response, now, telemetry);
        attempts.put(id, attempt);
        active.put(attempt.key(), attempt);
        hasActiveCalls = true;
        tickTimer.scheduleWithin(settings.tickInterval());
        onCallsChanged.run();
        perform(gate.submit(now, attempt.gateCall(target.canResume())));
    }

    private void cancel(Cancel cancel) {
        Attempt attempt = attempts.get(new AttemptId(cancel.getRequestId(), cancel.getAttempt()));
        if (attempt != null) {
            fail(attempt, FailureKind.CANCELLED, String.valueOf(cancel.getReason()));
        }
    }

    private void query(FrameConnection connection, Query query) {
        AttemptId id = new AttemptId(query.getRequestId(), query.getAttempt());
        Attempt attempt = attempts.get(id);
        RequestState state = outcomes.query(id, entry(connection));
        if (attempt != null && !attempt.response().canReplayFrom(query.getOffset())) {
            Logger.warn(
                    "The response of {} is no longer kept from byte {}; its outcome is unknown",
                    id,
                    query.getOffset());
            state = RequestState.UNKNOWN;
            attempt = null;
        }
        long length = attempt == null ? 0 : attempt.response().length();
        QueryAnswer answer = new QueryAnswer(id.requestId(), id.attempt(), state, length);
        connection.send(Frame.queryAnswer(answer));
        if (attempt != null) {
            attempt.clearOrphaned();
            attempt.response().attach(connection, query.getOffset());
        }
    }

    private void acknowledge(AttemptId id) {
        Attempt attempt = attempts.get(id);
        if (attempt != null && active.containsKey(attempt.key())) {
            // The acknowledgement arrived before this thread was notified of the call's end.
            attempt.markAcknowledged();
            return;
        }
        attempts.remove(id);
        outcomes.acknowledge(id);
        unacknowledgedCalls = outcomes.unacknowledgedCount();
    }

    /** Executes the gate's actions; actions that result from them are queued behind them. */
    private void perform(List<GateAction> actions) {
        pendingActions.addAll(actions);
        if (isPerforming || pendingActions.isEmpty()) {
            return;
        }
        onCallsChanged.run();
        isPerforming = true;
        try {
            for (GateAction next = pendingActions.poll();
                    next != null;
                    next = pendingActions.poll()) {
                Attempt attempt = active.get(next.id());
                if (attempt != null) {
                    perform(next, attempt);
                }
            }
        } finally {
            isPerforming = false;
        }
    }

    private void perform(GateAction action, Attempt attempt) {
        if (action instanceof GateAction.Run) {
            run(attempt);
        } else if (action instanceof GateAction.Preempt preempt) {
            preempt(attempt, preempt.isRequeued());
        } else if (action instanceof GateAction.Refuse refuse) {
            FailureKind failure = failure(refuse.reason());
            decisions.recordRefusal(attempt, "no slot: " + failure.name(), gate);
            end(attempt, failure, "no slot: " + failure.name());
        }
    }

    private void preempt(Attempt attempt, boolean isRequeued) {
        attempt.abortAtTarget();
        if (attempt.response().isFinished()) {
            // The call ended before this thread was notified; no work is lost.
            complete(attempt, TargetResponseRelay.End.WHOLE.name());
            return;
        }
        CallMetrics.recordPreemption();
        decisions.recordPreemption(attempt, isRequeued, gate);
        if (!isRequeued) {
            CallMetrics.recordLostBytes(attempt.response().length());
            end(attempt, FailureKind.PREEMPTED, "an online call took the slot");
        }
    }

    private void run(Attempt attempt) {
        if (attempt.isOrphaned() && !attempt.start().isIdempotent() && !attempt.wasSentToTarget()) {
            fail(
                    attempt,
                    FailureKind.TARGET_UNREACHABLE,
                    "the entry's connection was lost while the call waited");
            return;
        }
        CallMetrics.recordWait(attempt.lane().name(), lastTimeMs - attempt.receivedMs());
        decisions.recordStart(attempt, lastTimeMs - attempt.receivedMs());
        boolean isResuming = attempt.wasSentToTarget();
        TargetResponseRelay[] relay = new TargetResponseRelay[1];
        relay[0] =
                new TargetResponseRelay(
                        attempt,
                        target.incarnation(),
                        isResuming,
                        end -> control.execute(() -> onTargetEnd(attempt, relay[0], end)));
        attempt.response().setSource(relay[0]);
        String traceparent = attempt.startTargetSpan();
        if (isResuming) {
            CallMetrics.recordResume();
            String id = attempt.id().requestId();
            attempt.markSent(target.resume(id, attempt.response().length(), traceparent, relay[0]));
        } else {
            attempt.markSent(target.send(attempt.start(), traceparent, relay[0]));
        }
    }

    private void onTargetEnd(
            Attempt attempt, TargetResponseRelay relay, TargetResponseRelay.End end) {
        boolean isCurrent =
                attempt.response().isCurrentSource(relay) && active.containsKey(attempt.key());
        if (!isCurrent) {
            return;
        }
        if (end == TargetResponseRelay.End.NOT_RESUMED) {
            CallMetrics.recordLostBytes(attempt.response().length());
            fail(attempt, FailureKind.PREEMPTED, "the target could not resume the call");
            return;
        }
        complete(attempt, end.name());
        if (end == TargetResponseRelay.End.UNREACHABLE || end == TargetResponseRelay.End.BROKEN) {
            onConnectionFailed.run();
        }
    }

    /** Ends a call that the gate did not end, and releases its slot or queue position. */
    private void fail(Attempt attempt, FailureKind failure, String detail) {
        if (!active.containsKey(attempt.key())) {
            return;
        }
        attempt.abortAtTarget();
        end(attempt, failure, detail);
        perform(gate.release(lastTimeMs, attempt.key()));
    }

    private void end(Attempt attempt, FailureKind failure, String detail) {
        Finish finish = attempt.failureFinish(failure, detail);
        attempt.response().finish(finish.setTargetIncarnation(target.incarnation()));
        removeActive(attempt, failure.name());
    }

    private void complete(Attempt attempt, String outcome) {
        removeActive(attempt, outcome);
        perform(gate.release(now(), attempt.key()));
    }

    private void removeActive(Attempt attempt, String outcome) {
        active.remove(attempt.key());
        onCallsChanged.run();
        attempt.endSpans(outcome);
        CallMetrics.recordEnd(attempt.lane().name(), outcome);
        outcomes.recordEnd(attempt.id(), attempt.response().length(), lastTimeMs)
                .forEach(attempts::remove);
        if (attempt.isAcknowledged()) {
            attempts.remove(attempt.id());
            outcomes.acknowledge(attempt.id());
        }
        unacknowledgedCalls = outcomes.unacknowledgedCount();
        hasActiveCalls = !active.isEmpty();
    }

    /**
     * Current time, milliseconds. After a pause of this process all calls count as orphaned until
     * their entry queries them.
     */
    private long now() {
        long now = System.nanoTime() / TimeUnit.MILLISECONDS.toNanos(1);
        if (now - lastTimeMs > settings.pauseThreshold().toMillis()) {
            Logger.warn(
                    "This process was paused for {} ms; calls await queries of their entries",
                    now - lastTimeMs);
            active.values().forEach(attempt -> attempt.markOrphaned(now));
        }
        lastTimeMs = now;
        return now;
    }

    private static String entry(FrameConnection connection) {
        return connection.peer().getInstance() + "/" + connection.peer().getIncarnation();
    }

    private static FailureKind failure(GateRefusal reason) {
        return switch (reason) {
            case QUEUE_FULL -> FailureKind.QUEUE_FULL;
            case DEADLINE_EXCEEDED -> FailureKind.DEADLINE_EXCEEDED;
            case PREEMPTED -> FailureKind.PREEMPTED;
            case TARGET_LEAVING -> FailureKind.TARGET_LEAVING;
            case TARGET_DOWN -> FailureKind.TARGET_UNREACHABLE;
        };
    }
}
