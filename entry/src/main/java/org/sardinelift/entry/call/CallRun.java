package org.sardinelift.entry.call;

import java.time.Duration;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ScheduledFuture;
import org.jspecify.annotations.Nullable;
import org.sardinelift.core.explain.DecisionAction;
import org.sardinelift.core.outcome.AttemptAction;
import org.sardinelift.core.outcome.AttemptState;
import org.sardinelift.core.outcome.CallAttempt;
import org.sardinelift.core.outcome.FailureCause;
import org.sardinelift.core.outcome.Problem;
import org.sardinelift.core.outcome.RunOutcome;
import org.sardinelift.core.poison.CrashVerdict;
import org.sardinelift.protocol.FrameConnection;
import org.sardinelift.protocol.generated.Ack;
import org.sardinelift.protocol.generated.Cancel;
import org.sardinelift.protocol.generated.Data;
import org.sardinelift.protocol.generated.FailureKind;
import org.sardinelift.protocol.generated.Finish;
import org.sardinelift.protocol.generated.Frame;
import org.sardinelift.protocol.generated.Head;
import org.sardinelift.protocol.generated.Lane;
import org.sardinelift.protocol.generated.Query;
import org.sardinelift.protocol.generated.QueryAnswer;

/** One call from its dispatch to its end, with all its attempts. Its lock guards all its state. */
final class CallRun implements CallHandle {
    private final CallSpec spec;
    private final CallListener listener;
    private final FrameDispatcher dispatcher;
    private final long deadlineNanos;
    private final Lane lane;
    private final long startedNanos;
    private final Set<String> triedTargets = new HashSet<>();
    private @Nullable CompanionLink companion;
    private @Nullable CallAttempt attempt;
    private @Nullable AttemptSpan span;
    private AttemptAction.@Nullable ResponseHead head;
    private RunOutcome overallOutcome = RunOutcome.NOT_RUN;
    private String targetIncarnation = "";
    private @Nullable Long firstChoiceNanos;
    private int attempts;
    private int requeuedAttempt;
    private boolean isHeadDelivered;
    private boolean isSuspect;
    private @Nullable ScheduledFuture<?> deadlineTimer;
    private boolean isEnded;

    CallRun(CallSpec spec, CallListener listener, FrameDispatcher dispatcher) {
        this.spec = spec;
        this.listener = listener;
        this.dispatcher = dispatcher;
        this.startedNanos = dispatcher.nowNanos();
        this.deadlineNanos = startedNanos + spec.deadline().toNanos();
        this.lane = spec.isBatch() ? Lane.BATCH : Lane.ONLINE;
    }

    String requestId() {
        return spec.requestId();
    }

    CallSpec spec() {
        return spec;
    }

    synchronized void start() {
        deadlineTimer = dispatcher.schedule(spec.deadline(), this::onDeadline);
        dispatcher.onFirstAttempt(spec.team().name());
        startNextAttempt();
    }

    @Override
    public synchronized void cancel(String reason) {
        abandon(FailureCause.CANCELLED, reason);
    }

    synchronized void onHead(CompanionLink from, Head frame) {
        if (isCurrent(from)) {
            apply(
                    attempt.onHead(
                            frame.getAttempt(), frame.getStatus(), headers(frame.getHeaders())));
        }
    }

    synchronized void onData(CompanionLink from, Data frame) {
        if (isCurrent(from)) {
            apply(attempt.onData(frame.getAttempt(), frame.getOffset(), frame.getBody()));
        }
    }

    synchronized void onFinish(CompanionLink from, Finish frame) {
        if (isCurrent(from)) {
            targetIncarnation =
                    frame.getTargetIncarnation() == null ? "" : frame.getTargetIncarnation();
            apply(
                    attempt.onFinish(
                            frame.getAttempt(),
                            frame.getLength(),
                            outcome(frame),
                            frame.getFailure() == null
                                    ? FailureCause.NONE
                                    : FailureCause.fromName(frame.getFailure().name()),
                            frame.getDetail() == null ? "" : frame.getDetail(),
                            Duration.ofMillis(frame.getRetryAfterMs())));
        }
    }

    synchronized void onQueryAnswer(CompanionLink from, QueryAnswer frame) {
        if (isCurrent(from)) {
            apply(
                    attempt.onStateAnswer(
                            frame.getAttempt(),
                            frame.getState() == null
                                    ? AttemptState.UNKNOWN
                                    : AttemptState.valueOf(frame.getState().name())));
        }
    }

    synchronized void onDown(CompanionLink from, Lane down) {
        if (down != lane || !isCurrent(from) || !attempt.isAttached()) {
            return;
        }
        attempt.onDisconnected();
        CallAttempt disconnected = attempt;
        dispatcher.schedule(
                dispatcher.bounds().reattachTimeout(), () -> onReattachTimeout(from, disconnected));
    }

    synchronized void onUp(CompanionLink from, Lane up, FrameConnection connection) {
        if (up == lane && isCurrent(from) && !attempt.isAttached()) {
            CallMetrics.countReattached();
            apply(attempt.onConnected(connection.peer().getIncarnation()));
        }
    }

    /**
     * Cancels the attempt in flight after a target died with an equal request; the call starts
     * again as a suspect, which runs as the only suspect on a target.
     */
    synchronized void requeueAsSuspect() {
        if (isEnded || attempt == null || isSuspect || isHeadDelivered || !spec.isIdempotent()) {
            return;
        }
        send(Frame.cancel(new Cancel(requestId(), attempt.number(), "became a suspect")));
        overallOutcome = overallOutcome.combine(RunOutcome.UNKNOWN);
        span.fail("taken back", RunOutcome.UNKNOWN);
        requeuedAttempt = attempt.number();
        attempt = null;
        dispatcher.watchRequeued(this, companion);
        dispatcher.release(this, companion, lane, false);
        dispatcher.recordDecision(
                this,
                DecisionAction.TAKEN_BACK,
                "a target died with it in flight",
                companion.name());
        dispatcher.schedule(dispatcher.guard().trialPause(), this::startNextAttempt);
    }

    /** Reports the death of a target that died before it could cancel the requeued attempt. */
    synchronized void onFinishAfterRequeue(CompanionLink from, Finish frame) {
        if (frame.getAttempt() == requeuedAttempt
                && frame.getFailure() == FailureKind.TARGET_DIED
                && outcome(frame) != RunOutcome.NOT_RUN
                && frame.getTargetIncarnation() != null) {
            String incarnation = frame.getTargetIncarnation();
            dispatcher.guard().onTargetDeath(spec.fingerprint(), from.target(), incarnation, false);
        }
    }

    private synchronized void onReattachTimeout(CompanionLink from, CallAttempt disconnected) {
        if (isCurrent(from) && attempt == disconnected) {
            apply(attempt.onReattachTimeout());
        }
    }

    private synchronized void onDeadline() {
        abandon(FailureCause.DEADLINE_EXCEEDED, "the call's deadline has passed");
    }

    private void abandon(FailureCause cause, String detail) {
        if (isEnded) {
            return;
        }
        if (attempt == null) {
            end(
                    CallProblems.of(
                            cause.problemKind(overallOutcome),
                            overallOutcome,
                            detail,
                            Duration.ZERO));
            return;
        }
        send(Frame.cancel(new Cancel(requestId(), attempt.number(), detail)));
        apply(attempt.onAbandoned(cause, detail));
    }

    private synchronized void startNextAttempt() {
        if (isEnded) {
            return;
        }
        CrashVerdict verdict = dispatcher.guard().verdict(spec.fingerprint());
        if (verdict == CrashVerdict.REFUSED) {
            end(CallProblems.crashesTargets(overallOutcome));
            return;
        }
        isSuspect = verdict == CrashVerdict.SUSPECT;
        TargetChoice choice = dispatcher.chooseTarget(this, lane, triedTargets, isSuspect);
        if (choice instanceof TargetChoice.Chosen chosen) {
            startAttempt(chosen.companion());
        } else if (choice instanceof TargetChoice.Deferred deferred) {
            dispatcher.schedule(deferred.delay(), this::startNextAttempt);
        } else if (attempts > 0 && mayWaitForTarget()) {
            dispatcher.schedule(
                    dispatcher.bounds().retryPolicy().firstBackoff(), this::startNextAttempt);
        } else {
            end(CallProblems.noTarget(spec.service().name(), overallOutcome));
        }
    }

    /** Whether this attempt may wait longer for duplicates in flight to end. */
    boolean mayWaitForDuplicates(long nowNanos, Duration bound) {
        if (firstChoiceNanos == null) {
            firstChoiceNanos = nowNanos;
        }
        return nowNanos - firstChoiceNanos < bound.toNanos();
    }

    private boolean mayWaitForTarget() {
        long waitedNanos = dispatcher.nowNanos() - startedNanos;
        return waitedNanos < dispatcher.bounds().targetWait().toNanos();
    }

    private void startAttempt(CompanionLink chosen) {
        companion = chosen;
        firstChoiceNanos = null;
        FrameConnection connection = chosen.connection(lane);
        attempts++;
        CallMetrics.countAttempt(lane.name(), attempts > 1);
        String incarnation = connection == null ? "" : connection.peer().getIncarnation();
        attempt = CallAttempt.begin(attempts, incarnation);
        head = null;
        span = dispatcher.startSpan(spec, attempts, chosen.name());
        Frame start =
                StartFrames.of(spec, attempts, lane, timeLeft(), isSuspect, span.traceparent());
        if (connection == null || !connection.send(start)) {
            apply(
                    attempt.onFinish(
                            attempts,
                            0,
                            RunOutcome.NOT_RUN,
                            FailureCause.CONNECTION_LOST,
                            "the connection to companion " + chosen.name() + " is not open",
                            Duration.ZERO));
        } else if (!chosen.isCurrent(lane, connection)) {
            // The connection was lost before the link knew of this call, so onDown was not called.
            onDown(chosen, lane);
        }
    }

    private void apply(AttemptAction action) {
        if (action instanceof AttemptAction.ResponseHead answered) {
            head = answered;
        } else if (action instanceof AttemptAction.BodyPart deliver) {
            forwardHead();
            listener.onData(deliver.part());
        } else if (action instanceof AttemptAction.QueryState ask) {
            send(Frame.query(new Query(requestId(), attempts, ask.offset())));
        } else if (action instanceof AttemptAction.Completed) {
            onCompleted();
        } else if (action instanceof AttemptAction.Failed failed) {
            onFailed(failed);
        }
    }

    private void onCompleted() {
        forwardHead();
        markEnded();
        span.succeed();
        send(Frame.ack(new Ack(requestId(), attempts)));
        dispatcher.recordAnswered(this, companion, head, companion.onSuccess());
        dispatcher.release(this, companion, lane, isSuspect);
        dispatcher.guard().onCompleted(spec.fingerprint());
        dispatcher.onEnded(this, "answered");
        listener.onEnd();
    }

    private void markEnded() {
        isEnded = true;
        if (deadlineTimer != null) {
            deadlineTimer.cancel(false);
        }
    }

    private void forwardHead() {
        if (!isHeadDelivered && head != null) {
            isHeadDelivered = true;
            CallMetrics.observeFirstPart(lane.name(), dispatcher.nowNanos() - startedNanos);
            listener.onHead(head.status(), head.headers());
        }
    }

    private void onFailed(AttemptAction.Failed failed) {
        CompanionLink failedOn = companion;
        triedTargets.add(failedOn.name());
        overallOutcome = overallOutcome.combine(failed.outcome());
        span.fail(failed.cause().name(), failed.outcome());
        send(Frame.ack(new Ack(requestId(), attempts)));
        // Evidence is reported before the release: after it a duplicate may go to any target.
        dispatcher.onAttemptFailed(this, failedOn, failed, targetIncarnation, isSuspect);
        dispatcher.release(this, failedOn, lane, isSuspect);
        attempt = null;
        Optional<Duration> pause =
                isLeftToJobRetry(failed.cause())
                        ? Optional.empty()
                        : dispatcher.backoff(this, failed, attempts, isHeadDelivered, timeLeft());
        if (pause.isPresent()) {
            dispatcher.recordDecision(
                    this, DecisionAction.RETRIED, failed.detail(), failedOn.name());
            dispatcher.schedule(pause.get(), this::startNextAttempt);
        } else {
            end(problem(failed));
        }
    }

    private Problem problem(AttemptAction.Failed failed) {
        return dispatcher.guard().verdict(spec.fingerprint()) == CrashVerdict.REFUSED
                ? CallProblems.crashesTargets(overallOutcome)
                : CallProblems.of(failed, overallOutcome);
    }

    private boolean isLeftToJobRetry(FailureCause cause) {
        return spec.isBatch()
                && (cause == FailureCause.PREEMPTED || cause == FailureCause.QUEUE_FULL);
    }

    private void end(Problem problem) {
        markEnded();
        dispatcher.recordEnded(this, problem, companion == null ? "" : companion.name());
        dispatcher.onEnded(this, problem.kind().label());
        listener.onProblem(problem);
    }

    private void send(Frame frame) {
        FrameConnection connection = companion == null ? null : companion.connection(lane);
        if (connection != null) {
            connection.send(frame);
        }
    }

    private boolean isCurrent(CompanionLink from) {
        return !isEnded && attempt != null && companion == from;
    }

    private Duration timeLeft() {
        return Duration.ofNanos(Math.max(0, deadlineNanos - dispatcher.nowNanos()));
    }

    private static RunOutcome outcome(Finish frame) {
        return frame.getOutcome() == null
                ? RunOutcome.UNKNOWN
                : RunOutcome.valueOf(frame.getOutcome().name());
    }

    private static Map<String, String> headers(@Nullable Map<String, String> headers) {
        return headers == null ? Map.of() : headers;
    }
}
