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

/** Calls that wait for the target, run there, or ended lately. Owned by the control thread. */
public final class CallManager {
    private final ControlThread control;
    private final TargetClient target;
    private final CallSettings settings;
    private final Telemetry telemetry;
    private final CallDecisionRecorder decisions;
    private final Runnable onBroken;
    private final Runnable onLoadChange;
    private final OneShotTimer ticks;
    private final SlotGate gate;
    private final OutcomeTable outcomes;
    private final Map<AttemptId, Attempt> attempts = new HashMap<>();
    private final Map<String, Attempt> active = new HashMap<>();
    private final ArrayDeque<GateAction> todo = new ArrayDeque<>();
    private boolean performing;
    private long lastMs = System.nanoTime() / TimeUnit.MILLISECONDS.toNanos(1);
    private volatile boolean hasActiveCalls;
    private volatile int unacknowledgedCalls;

    /**
     * Makes an empty desk.
     *
     * @param control owner of the state
     * @param target the target
     * @param settings bounds
     * @param telemetry takes the spans
     * @param decisions notes what the gate decides
     * @param onBroken runs when a connection to the target could not be opened or broke
     * @param onLoadChange runs when a call came, started or ended
     */
    public CallManager(
            ControlThread control,
            TargetClient target,
            CallSettings settings,
            Telemetry telemetry,
            CallDecisionRecorder decisions,
            Runnable onBroken,
            Runnable onLoadChange) {
        this.control = control;
        this.target = target;
        this.settings = settings;
        this.telemetry = telemetry;
        this.decisions = decisions;
        this.onBroken = onBroken;
        this.onLoadChange = onLoadChange;
        this.ticks = OneShotTimer.of(control, this::tick);
        this.gate = SlotGate.create(settings.gate());
        this.outcomes = OutcomeTable.create(settings.outcomes());
    }

    /**
     * Takes a frame from an entry.
     *
     * @param connection where it came from
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
            default -> Logger.warn("A {} frame is not for a target; dropped", frame.getSetField());
        }
    }

    /**
     * A connection is lost: its calls run on, and are cut if their entry does not come back.
     *
     * @param connection the connection
     */
    public void onDown(FrameConnection connection) {
        long now = now();
        active.values().stream()
                .filter(attempt -> attempt.answer().on(connection))
                .forEach(attempt -> attempt.markOrphaned(now));
    }

    /** Checks deadlines and forgets old outcomes, often while there are calls. */
    public void tick() {
        ticks.within(active.isEmpty() ? settings.idleTickInterval() : settings.tick());
        long now = now();
        for (Attempt attempt : List.copyOf(active.values())) {
            gate.recordProgress(attempt.key(), attempt.answer().length());
            if (attempt.wasSentToTarget() && now >= attempt.deadlineMs()) {
                fail(attempt, FailureKind.DEADLINE_EXCEEDED, "the call's deadline has passed");
            } else if (attempt.wasOrphanedBefore(now - settings.orphanGrace().toMillis())) {
                fail(attempt, FailureKind.CANCELLED, "the entry went away and did not come back");
            }
        }
        outcomes.expire(now).forEach(attempts::remove);
        perform(gate.tick(now));
    }

    /**
     * Starts no call any more; those that wait are refused.
     *
     * @param reason why
     */
    public void close(GateRefusal reason) {
        perform(gate.close(reason));
    }

    /** Starts calls again. */
    public void open() {
        gate.open();
    }

    /**
     * The target has reported its load.
     *
     * @param load the report
     */
    public void onTargetLoad(EngineLoad load) {
        perform(gate.onLoadReport(now(), load));
    }

    /**
     * Fills in the figures that the gate knows.
     *
     * @param report the report to fill in
     */
    public void describe(LoadReport report) {
        report.setSlots(gate.slots())
                .setOnlineRunning(gate.onlineRunning())
                .setOnlineQueued(gate.onlineQueued())
                .setBatchRunning(gate.batchRunning())
                .setBatchFree(gate.batchFree(now()));
    }

    /**
     * Calls at the target now.
     *
     * @return their number
     */
    public int running() {
        return gate.onlineRunning() + gate.batchRunning();
    }

    /**
     * Whether any call waits or runs. May be called from any thread.
     *
     * @return true while there is one
     */
    public boolean hasActiveCalls() {
        return hasActiveCalls;
    }

    /**
     * Ended calls that their entries have not acknowledged. May be called from any thread.
     *
     * @return their number
     */
    public int unacknowledgedCalls() {
        return unacknowledgedCalls;
    }

    private void start(FrameConnection connection, Start start) {
        long now = now();
        AttemptId id = new AttemptId(start.getRequestId(), start.getAttempt());
        Answer answer = new Answer(id, connection, settings.maxAnswerBytes());
        Admission admission = outcomes.admit(id, entry(connection));
        if (admission != Admission.NEW) {
            Logger.warn("The start of {} is {}; it is not run again", id, admission);
            return;
        }
        Attempt attempt = new Attempt(id, start, answer, now, telemetry);
        attempts.put(id, attempt);
        active.put(attempt.key(), attempt);
        hasActiveCalls = true;
        ticks.within(settings.tick());
        onLoadChange.run();
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
        if (attempt != null && !attempt.answer().canReplayFrom(query.getOffset())) {
            Logger.warn(
                    "The answer of {} is no longer kept from byte {}; its outcome is unknown",
                    id,
                    query.getOffset());
            state = RequestState.UNKNOWN;
            attempt = null;
        }
        long length = attempt == null ? 0 : attempt.answer().length();
        QueryAnswer answer = new QueryAnswer(id.requestId(), id.attempt(), state, length);
        connection.send(Frame.queryAnswer(answer));
        if (attempt != null) {
            attempt.clearOrphaned();
            attempt.answer().attach(connection, query.getOffset());
        }
    }

    private void acknowledge(AttemptId id) {
        Attempt attempt = attempts.get(id);
        if (attempt != null && active.containsKey(attempt.key())) {
            // The entry has the whole answer before this thread has heard of its end.
            attempt.markAcknowledged();
            return;
        }
        attempts.remove(id);
        outcomes.acknowledge(id);
        unacknowledgedCalls = outcomes.unacknowledgedCount();
    }

    /** Does what the gate says; what that leads to comes after it. */
    private void perform(List<GateAction> actions) {
        todo.addAll(actions);
        if (performing || todo.isEmpty()) {
            return;
        }
        onLoadChange.run();
        performing = true;
        try {
            for (GateAction next = todo.poll(); next != null; next = todo.poll()) {
                Attempt attempt = active.get(next.id());
                if (attempt != null) {
                    perform(next, attempt);
                }
            }
        } finally {
            performing = false;
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

    private void preempt(Attempt attempt, boolean waits) {
        attempt.abortAtTarget();
        if (attempt.answer().isFinished()) {
            // It had ended before this thread heard of it; no work is lost.
            settle(attempt, TargetResponseRelay.End.WHOLE.name());
            return;
        }
        CallMetrics.recordPreemption();
        decisions.recordPreemption(attempt, waits, gate);
        if (!waits) {
            CallMetrics.lost(attempt.answer().length());
            end(attempt, FailureKind.PREEMPTED, "an online call took the slot");
        }
    }

    private void run(Attempt attempt) {
        if (attempt.isOrphaned() && !attempt.start().isIdempotent() && !attempt.wasSentToTarget()) {
            fail(attempt, FailureKind.TARGET_UNREACHABLE, "its connection was lost as it waited");
            return;
        }
        CallMetrics.recordWait(attempt.lane().name(), lastMs - attempt.receivedMs());
        decisions.recordStart(attempt, lastMs - attempt.receivedMs());
        boolean resuming = attempt.wasSentToTarget();
        TargetResponseRelay[] relay = new TargetResponseRelay[1];
        relay[0] =
                new TargetResponseRelay(
                        attempt,
                        target.incarnation(),
                        resuming,
                        end -> control.execute(() -> onTargetEnd(attempt, relay[0], end)));
        attempt.answer().source(relay[0]);
        String traceparent = attempt.startTargetSpan();
        if (resuming) {
            CallMetrics.recordResume();
            String id = attempt.id().requestId();
            attempt.begin(target.resume(id, attempt.answer().length(), traceparent, relay[0]));
        } else {
            attempt.begin(target.send(attempt.start(), traceparent, relay[0]));
        }
    }

    private void onTargetEnd(
            Attempt attempt, TargetResponseRelay relay, TargetResponseRelay.End end) {
        boolean current = attempt.answer().from(relay) && active.containsKey(attempt.key());
        if (!current) {
            return;
        }
        if (end == TargetResponseRelay.End.NOT_RESUMED) {
            CallMetrics.lost(attempt.answer().length());
            fail(attempt, FailureKind.PREEMPTED, "the target could not go on with the call");
            return;
        }
        settle(attempt, end.name());
        if (end == TargetResponseRelay.End.UNREACHABLE || end == TargetResponseRelay.End.BROKEN) {
            onBroken.run();
        }
    }

    /** Ends a call from outside the gate: it gives its slot or its place back. */
    private void fail(Attempt attempt, FailureKind failure, String detail) {
        if (!active.containsKey(attempt.key())) {
            return;
        }
        attempt.abortAtTarget();
        end(attempt, failure, detail);
        perform(gate.release(lastMs, attempt.key()));
    }

    private void end(Attempt attempt, FailureKind failure, String detail) {
        Finish finish = attempt.failed(failure, detail);
        attempt.answer().finish(finish.setTargetIncarnation(target.incarnation()));
        leave(attempt, failure.name());
    }

    private void settle(Attempt attempt, String how) {
        leave(attempt, how);
        perform(gate.release(now(), attempt.key()));
    }

    private void leave(Attempt attempt, String how) {
        active.remove(attempt.key());
        onLoadChange.run();
        attempt.endSpans(how);
        CallMetrics.ended(attempt.lane().name(), how);
        outcomes.end(attempt.id(), attempt.answer().length(), lastMs).forEach(attempts::remove);
        if (attempt.isAcknowledged()) {
            attempts.remove(attempt.id());
            outcomes.acknowledge(attempt.id());
        }
        unacknowledgedCalls = outcomes.unacknowledgedCount();
        hasActiveCalls = !active.isEmpty();
    }

    /** After a pause of this process, calls that wait count as lost until their entry asks. */
    private long now() {
        long now = System.nanoTime() / TimeUnit.MILLISECONDS.toNanos(1);
        if (now - lastMs > settings.pauseBound().toMillis()) {
            Logger.warn(
                    "This process was paused for {} ms; calls await their entries", now - lastMs);
            active.values().forEach(attempt -> attempt.markOrphaned(now));
        }
        lastMs = now;
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
