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

/** One call from its dispatch to its end, over all its attempts. Its lock guards all state. */
final class CallRun implements CallHandle {
    private final CallSpec spec;
    private final CallListener listener;
    private final FrameDispatcher dispatcher;
    private final long deadlineNanos;
    private final Lane lane;
    private final long startedNanos;
    private final Set<String> tried = new HashSet<>();
    private @Nullable CompanionLink companion;
    private @Nullable CallAttempt attempt;
    private @Nullable AttemptSpan span;
    private AttemptAction.@Nullable ResponseHead head;
    private RunOutcome overall = RunOutcome.NOT_RUN;
    private String targetIncarnation = "";
    private @Nullable Long firstAskedNanos;
    private int attempts;
    private int takenBackAttempt;
    private boolean delivered;
    private boolean suspect;
    private @Nullable ScheduledFuture<?> deadlineTimer;
    private boolean ended;

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
        next();
    }

    @Override
    public synchronized void cancel(String reason) {
        abandon(FailureCause.CANCELLED, reason);
    }

    synchronized void onHead(CompanionLink from, Head frame) {
        if (isCurrent(from)) {
            act(attempt.onHead(frame.getAttempt(), frame.getStatus(), headers(frame.getHeaders())));
        }
    }

    synchronized void onData(CompanionLink from, Data frame) {
        if (isCurrent(from)) {
            act(attempt.onData(frame.getAttempt(), frame.getOffset(), frame.getBody()));
        }
    }

    synchronized void onFinish(CompanionLink from, Finish frame) {
        if (isCurrent(from)) {
            targetIncarnation =
                    frame.getTargetIncarnation() == null ? "" : frame.getTargetIncarnation();
            act(
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
            act(
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
        CallAttempt waiting = attempt;
        dispatcher.schedule(
                dispatcher.bounds().reattachTimeout(), () -> onReattachTimeout(from, waiting));
    }

    synchronized void onUp(CompanionLink from, Lane up, FrameConnection connection) {
        if (up == lane && isCurrent(from) && !attempt.isAttached()) {
            CallMetrics.countReattached();
            act(attempt.onConnected(connection.peer().getIncarnation()));
        }
    }

    /** Stops an attempt that was not run alone; the call starts again as a suspect. */
    synchronized void requeueAsSuspect() {
        if (ended || attempt == null || suspect || delivered || !spec.isIdempotent()) {
            return;
        }
        send(Frame.cancel(new Cancel(requestId(), attempt.number(), "became a suspect")));
        overall = overall.combine(RunOutcome.UNKNOWN);
        span.fail("taken back", RunOutcome.UNKNOWN);
        takenBackAttempt = attempt.number();
        attempt = null;
        dispatcher.watchRequeued(this, companion);
        dispatcher.release(this, companion, lane, false);
        dispatcher.recordDecision(
                this,
                DecisionAction.TAKEN_BACK,
                "a target died with it in flight",
                companion.name());
        dispatcher.schedule(dispatcher.guard().trialPause(), this::next);
    }

    /** The target may have died before the attempt that was taken back could be stopped. */
    synchronized void onFinishAfterRequeue(CompanionLink from, Finish frame) {
        if (frame.getAttempt() == takenBackAttempt
                && frame.getFailure() == FailureKind.TARGET_DIED
                && outcome(frame) != RunOutcome.NOT_RUN
                && frame.getTargetIncarnation() != null) {
            String life = frame.getTargetIncarnation();
            dispatcher.guard().onTargetDeath(spec.fingerprint(), from.target(), life, false);
        }
    }

    private synchronized void onReattachTimeout(CompanionLink from, CallAttempt waiting) {
        if (isCurrent(from) && attempt == waiting) {
            act(attempt.onReattachTimeout());
        }
    }

    private synchronized void onDeadline() {
        abandon(FailureCause.DEADLINE_EXCEEDED, "the call's deadline has passed");
    }

    private void abandon(FailureCause cause, String detail) {
        if (ended) {
            return;
        }
        if (attempt == null) {
            end(CallProblems.of(cause.problemKind(overall), overall, detail, Duration.ZERO));
            return;
        }
        send(Frame.cancel(new Cancel(requestId(), attempt.number(), detail)));
        act(attempt.onAbandoned(cause, detail));
    }

    private synchronized void next() {
        if (ended) {
            return;
        }
        CrashVerdict standing = dispatcher.guard().verdict(spec.fingerprint());
        if (standing == CrashVerdict.REFUSED) {
            end(CallProblems.crashesTargets(overall));
            return;
        }
        suspect = standing == CrashVerdict.SUSPECT;
        TargetChoice choice = dispatcher.chooseTarget(this, lane, tried, suspect);
        if (choice instanceof TargetChoice.Chosen taken) {
            begin(taken.companion());
        } else if (choice instanceof TargetChoice.Deferred wait) {
            dispatcher.schedule(wait.delay(), this::next);
        } else if (attempts > 0 && mayWaitForTarget()) {
            dispatcher.schedule(dispatcher.bounds().retryPolicy().firstBackoff(), this::next);
        } else {
            end(CallProblems.noTarget(spec.service().name(), overall));
        }
    }

    /** Whether the wait for other copies' ends is within its bound, counted for each attempt. */
    boolean mayWaitForDuplicates(long nowNanos, Duration bound) {
        if (firstAskedNanos == null) {
            firstAskedNanos = nowNanos;
        }
        return nowNanos - firstAskedNanos < bound.toNanos();
    }

    private boolean mayWaitForTarget() {
        long waitedNanos = dispatcher.nowNanos() - startedNanos;
        return waitedNanos < dispatcher.bounds().targetWait().toNanos();
    }

    private void begin(CompanionLink chosen) {
        companion = chosen;
        firstAskedNanos = null;
        FrameConnection connection = chosen.connection(lane);
        attempts++;
        CallMetrics.countAttempt(lane.name(), attempts > 1);
        String incarnation = connection == null ? "" : connection.peer().getIncarnation();
        attempt = CallAttempt.begin(attempts, incarnation);
        head = null;
        span = dispatcher.startSpan(spec, attempts, chosen.name());
        Frame start = StartFrames.of(spec, attempts, lane, left(), suspect, span.traceparent());
        if (connection == null || !connection.send(start)) {
            act(
                    attempt.onFinish(
                            attempts,
                            0,
                            RunOutcome.NOT_RUN,
                            FailureCause.CONNECTION_LOST,
                            "no connection to " + chosen.name() + " is open",
                            Duration.ZERO));
        } else if (!chosen.isCurrent(lane, connection)) {
            // The connection was lost before this call could be asked after on it.
            onDown(chosen, lane);
        }
    }

    private void act(AttemptAction step) {
        if (step instanceof AttemptAction.ResponseHead answered) {
            head = answered;
        } else if (step instanceof AttemptAction.BodyPart deliver) {
            passHead();
            listener.onData(deliver.part());
        } else if (step instanceof AttemptAction.QueryState ask) {
            send(Frame.query(new Query(requestId(), attempts, ask.offset())));
        } else if (step instanceof AttemptAction.Completed) {
            onWhole();
        } else if (step instanceof AttemptAction.Failed failed) {
            onFailed(failed);
        }
    }

    private void onWhole() {
        passHead();
        markEnded();
        span.succeed();
        send(Frame.ack(new Ack(requestId(), attempts)));
        dispatcher.recordAnswered(this, companion, head, companion.onSuccess());
        dispatcher.release(this, companion, lane, suspect);
        dispatcher.guard().onCompleted(spec.fingerprint());
        dispatcher.onEnded(this, "answered");
        listener.onEnd();
    }

    private void markEnded() {
        ended = true;
        if (deadlineTimer != null) {
            deadlineTimer.cancel(false);
        }
    }

    private void passHead() {
        if (!delivered && head != null) {
            delivered = true;
            CallMetrics.observeFirstPart(lane.name(), dispatcher.nowNanos() - startedNanos);
            listener.onHead(head.status(), head.headers());
        }
    }

    private void onFailed(AttemptAction.Failed failed) {
        CompanionLink failedOn = companion;
        tried.add(failedOn.name());
        overall = overall.combine(failed.outcome());
        span.fail(failed.cause().name(), failed.outcome());
        send(Frame.ack(new Ack(requestId(), attempts)));
        // The evidence comes first: once no copy is in flight, another may go to any target.
        dispatcher.onAttemptFailed(this, failedOn, failed, targetIncarnation, suspect);
        dispatcher.release(this, failedOn, lane, suspect);
        attempt = null;
        Optional<Duration> pause =
                gaveWay(failed.cause())
                        ? Optional.empty()
                        : dispatcher.backoff(this, failed, attempts, delivered, left());
        if (pause.isPresent()) {
            dispatcher.recordDecision(
                    this, DecisionAction.RETRIED, failed.detail(), failedOn.name());
            dispatcher.schedule(pause.get(), this::next);
        } else {
            end(problem(failed));
        }
    }

    private Problem problem(AttemptAction.Failed failed) {
        return dispatcher.guard().verdict(spec.fingerprint()) == CrashVerdict.REFUSED
                ? CallProblems.crashesTargets(overall)
                : CallProblems.of(failed, overall);
    }

    private boolean gaveWay(FailureCause cause) {
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
        return !ended && attempt != null && companion == from;
    }

    private Duration left() {
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
