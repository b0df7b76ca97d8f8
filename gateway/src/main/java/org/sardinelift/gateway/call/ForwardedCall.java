package org.sardinelift.gateway.call;

import io.netty.util.concurrent.ScheduledFuture;
import java.io.ByteArrayOutputStream;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.sardinelift.core.load.LoadTracker;
import org.sardinelift.core.load.Placement.Choice;
import org.sardinelift.core.load.TargetCalls;
import org.sardinelift.core.load.TargetLoad;
import org.sardinelift.core.outcome.RunOutcome;
import org.sardinelift.core.plan.CallKind;
import org.sardinelift.core.plan.SoftwareVersion;
import org.sardinelift.core.plan.TargetGroup;
import org.sardinelift.core.poison.CrashJudgement;
import org.sardinelift.core.stream.StreamEvent;
import org.sardinelift.gateway.call.ErrorResponses.Kind;
import org.sardinelift.gateway.call.TargetTable.Target;
import org.sardinelift.gateway.peer.CrashReports;
import org.sardinelift.gateway.peer.StreamExchange;
import org.sardinelift.http.HttpCall;
import org.sardinelift.http.HttpExchange;
import org.sardinelift.runtime.log.LogEvent;

/** An admitted call from its arrival to the end of its response, across all attempts. */
final class ForwardedCall {
    private static final TargetCalls ONE_CALL = new TargetCalls(1, 0);
    private static final TargetCalls ONE_CALL_LESS = new TargetCalls(-1, 0);

    /** Limit on the sends of one call, including those that targets refused without running. */
    private static final int MAX_SENDS = 6;

    /** A stream counts as stalled after this many of its target's usual gaps between events. */
    private static final int STALL_EVENT_GAPS = 4;

    /** Time that a new target needs to register when there is none. */
    private static final Duration TARGET_REGISTRATION_TIME = Duration.ofMillis(500);

    private final ForwardingContext context;
    private final HttpExchange exchange;
    private final AdmittedCall call;
    private final long arrivedAt;
    private final Set<String> triedTargets = new HashSet<>();
    private TargetGroup group;
    private @Nullable TargetAttempt attempt;
    private OptionalLong lastEventId;
    private RunOutcome overallOutcome = RunOutcome.NOT_RUN;
    private int sends;
    private int runs;
    private int events;
    private long delayNanos;
    private long firstEventAt;
    private String memoryTarget = "";
    private long heldTokens;
    private boolean isHeadForwarded;
    private boolean isEnded;
    private @Nullable ScheduledFuture<?> timeout;
    private @Nullable ScheduledFuture<?> delayedSend;

    ForwardedCall(ForwardingContext context, HttpExchange exchange, AdmittedCall call) {
        this.context = context;
        this.exchange = exchange;
        this.call = call;
        this.arrivedAt = context.now();
        this.lastEventId = call.lastEventId();
        this.group = TargetGroup.ofService(call.service());
    }

    AdmittedCall call() {
        return call;
    }

    OptionalLong lastEventId() {
        return lastEventId;
    }

    /** Bytes of the response that the caller has not read yet. */
    long unsentBytes() {
        return exchange.unsentBytes();
    }

    /** Whether the caller has received events, so that only the rest of the stream may follow. */
    boolean hasForwardedEvents() {
        return events > 0;
    }

    /** The targets that may run the call. */
    TargetGroup group() {
        return group;
    }

    /** How often the call was sent to a target. */
    int sends() {
        return sends;
    }

    /** When the call arrived here, nanoseconds. */
    long arrivedAt() {
        return arrivedAt;
    }

    boolean isStream() {
        return call.route().kind() == CallKind.STREAM;
    }

    /** Lets only targets with a software version run the call. */
    void resumeAt(SoftwareVersion version) {
        group = TargetGroup.ofVersion(version);
    }

    boolean isCurrent(TargetAttempt candidate) {
        return attempt == candidate && !isEnded;
    }

    void start() {
        if (call.earlierWait().isZero()) {
            context.retryTimes().onNewCall(arrivedAt);
        }
        context.network().rateLimits().onCallArrived(arrivedAt);
        exchange.addCloseListener(this::onCallerDisconnected);
        long left = timeLeft(context.now()).toNanos();
        timeout = context.loop().schedule(this::onTimeout, left, TimeUnit.NANOSECONDS);
        context.stallDetector().add(this);
        dispatch();
    }

    private void dispatch() {
        long now = context.now();
        List<TargetLoad> loads = candidates(now);
        Choice choice =
                context.placement().choose(loads, nextEventTimeLimit(now), call.fingerprint());
        if (choice instanceof Choice.Placed placed) {
            place(placed.target(), now);
            return;
        }
        Optional<TargetLoad> unmeasured =
                context.placement().chooseToMeasure(withoutOwnCalls(loads), call.fingerprint());
        if (unmeasured.isPresent()) {
            place(unmeasured.get(), now);
        } else {
            onRefused((Choice.Refused) choice, now);
        }
    }

    private List<TargetLoad> candidates(long now) {
        List<TargetLoad> loads = context.targets().usableLoads(group, triedTargets, now);
        for (CandidateFilter filter : context.candidateFilters()) {
            loads = filter.filter(this, loads, now);
        }
        return loads;
    }

    boolean mayBeResumed() {
        return isStream() && call.route().isResumable();
    }

    private List<TargetLoad> withoutOwnCalls(List<TargetLoad> loads) {
        LoadTracker tracker = context.network().targetLoads();
        return loads.stream().filter(load -> tracker.ownCalls(load.id()).online() == 0).toList();
    }

    /** Longest time allowed until the next event. */
    private Duration nextEventTimeLimit(long now) {
        if (events > 0 || call.isResumedStream()) {
            // A late stream is worth more than an aborted one.
            return call.timeout();
        }
        if (sends > 0) {
            return context.settings().maxResendWait();
        }
        if (!call.earlierWait().isZero()) {
            // With a longer limit, retrying callers would take every slot during a long peak, too
            // late for themselves and for all new calls.
            return call.route().latencyObjective();
        }
        Duration left = call.route().latencyObjective().minusNanos(now - arrivedAt);
        // This reserve lets callers that were refused once be served in time.
        return left.minus(context.settings().retryReserve());
    }

    private void onRefused(Choice.Refused refusal, long now) {
        if (overallOutcome != RunOutcome.NOT_RUN || isHeadForwarded) {
            fail(
                    refusal.hasNoTarget()
                            ? "no other usable target of " + group
                            : "no other target of " + group + " has a free slot in time");
            return;
        }
        List<TargetLoad> usable = context.targets().usableLoads(group, triedTargets, now);
        boolean lacksMemory = refusal.hasNoTarget() && fitsOnNone(usable, now);
        Duration left = timeLeft(now);
        if (refusal.hasNoTarget() && isEvacuated()) {
            finish(Kind.ZONES_EVACUATED.label());
            EvacuationRefusal.send(exchange, call, group, context.network(), left, now);
            return;
        }
        Optional<Duration> untilWeights =
                refusal.hasNoTarget() ? untilWeightsExpected(now) : Optional.empty();
        Duration untilSlot =
                refusal.hasNoTarget()
                        ? untilWeights.orElse(TARGET_REGISTRATION_TIME)
                        : RateLimitedTargetFilter.untilCapacity(
                                refusal.retryAfter(), usable, context.targets());
        Duration longest = ErrorResponses.maxRetryDelay(left);
        Duration retryDelay =
                refusal.hasNoTarget()
                        ? usualRetryDelay(untilSlot, longest, now)
                        : context.network()
                                .shares()
                                .onNoRoom(call.service(), call.team(), longest, now)
                                .orElseGet(() -> usualRetryDelay(untilSlot, longest, now));
        Kind kind = refusal.hasNoTarget() ? Kind.NO_TARGET : Kind.NO_ROOM;
        if (lacksMemory) {
            kind = Kind.NO_MEMORY;
            context.memory().onRefused(call.service(), call.tokens().orElse(0), usable, now);
            GatewayMetrics.recordMemoryRefusal("now");
        } else if (untilWeights.isPresent()) {
            kind = Kind.NO_WEIGHTS;
        }
        String detail = refusalDetail(refusal, now);
        finish(kind.label());
        ErrorResponses.send(exchange, kind, call.id(), detail, retryDelay);
    }

    private boolean isEvacuated() {
        return context.network()
                .evacuations()
                .filter(each -> context.targets().isEachExcluded(group, each::isExcluded))
                .isPresent();
    }

    /** Time until the call may be sent, if no target is known to have the weights it expects. */
    private Optional<Duration> untilWeightsExpected(long now) {
        List<TargetLoad> all = context.targets().usableLoads(group, Set.of(), now);
        return context.weights().untilRequest(call.expectedWeights(), all, now);
    }

    /** Whether targets are usable, and the call fits into the memory of none. */
    private boolean fitsOnNone(List<TargetLoad> usable, long now) {
        return !usable.isEmpty()
                && context.memory().fitting(call.service(), call.tokens(), usable, now).isEmpty();
    }

    private void holdMemory(String target, long now) {
        memoryTarget = target;
        heldTokens = context.memory().counted(call.service(), call.tokens());
        context.memory().onSent(call.service(), target, heldTokens, now);
    }

    private void freeMemory() {
        context.memory().onEnded(memoryTarget, heldTokens);
        heldTokens = 0;
    }

    private Duration usualRetryDelay(Duration untilSlot, Duration longest, long now) {
        return context.retryTimes()
                .nextRetryAfter(
                        untilSlot,
                        context.freedSlotsPerSecond(now),
                        longest,
                        call.fingerprint(),
                        now);
    }

    /** The figures behind a refusal, for the log and the caller. */
    private String refusalDetail(Choice.Refused refusal, long now) {
        List<TargetLoad> loads = context.targets().usableLoads(group, triedTargets, now);
        int slots = loads.stream().mapToInt(TargetLoad::slots).sum();
        int online = loads.stream().mapToInt(load -> load.calls().online()).sum();
        int batch = loads.stream().mapToInt(load -> load.calls().batch()).sum();
        return ("sends %d, waited %d ms, %d targets, %d slots, online %d, batch %d, late by %d ms,"
                        + " tokens %d")
                .formatted(
                        sends,
                        call.earlierWait().toMillis(),
                        loads.size(),
                        slots,
                        online,
                        batch,
                        refusal.retryAfter().toMillis(),
                        call.tokens().orElse(-1));
    }

    private Duration timeLeft(long now) {
        Duration left = call.timeout().minusNanos(now - arrivedAt);
        return left.isNegative() ? Duration.ZERO : left;
    }

    /** Sends the call to a target, once its rate limit allows it. */
    private void place(TargetLoad load, long now) {
        Target target = context.targets().find(load.id()).orElseThrow();
        context.targets().onRequest(target);
        holdMemory(target.id(), now);
        if (load.sendDelayNanos() == 0) {
            send(target, load, now);
            return;
        }
        context.network().onLocalChange();
        delayNanos += load.sendDelayNanos();
        delayedSend =
                context.loop()
                        .schedule(
                                () -> sendDelayed(target, load),
                                load.sendDelayNanos(),
                                TimeUnit.NANOSECONDS);
    }

    private void sendDelayed(Target target, TargetLoad load) {
        delayedSend = null;
        long now = context.now();
        if (context.targets().isUsable(target, now)) {
            send(target, load, now);
        } else {
            freeMemory();
            dispatch();
        }
    }

    private void send(Target target, TargetLoad load, long now) {
        sends++;
        triedTargets.add(target.id());
        context.network().targetLoads().onOwnCallsChanged(target.id(), ONE_CALL);
        context.network().onLocalChange();
        TargetAttempt next = new TargetAttempt(this, target, load, now);
        if (mayBeResumed() && !call.isResumedStream() && events == 0) {
            long stream = StreamExchange.streamHash(call.team(), call.id());
            context.network().streams().onSent(stream, next.softwareVersion(), sends);
        }
        attempt = next;
        next.start(context.client(), toHttpCall(target, now));
    }

    private HttpCall toHttpCall(Target target, long now) {
        var names = context.headers().names();
        List<Map.Entry<String, String>> own = new ArrayList<>();
        lastEventId.ifPresent(id -> own.add(Map.entry(names.lastEventId(), Long.toString(id))));
        long leftMs = Math.max(1, timeLeft(now).toMillis());
        own.add(Map.entry(names.deadlineMs(), Long.toString(leftMs)));
        own.add(Map.entry(names.expectedTarget(), target.id()));
        if (!call.team().isEmpty()) {
            own.add(Map.entry(names.team(), call.team()));
        }
        return new HttpCall(
                target.registration().host(),
                target.registration().port(),
                exchange.method(),
                exchange.uri(),
                context.headers().toTarget(exchange.headers(), own),
                exchange.body(),
                timeLeft(now).plusMillis(1),
                context.maxConnectionIdle(call.route()),
                // This class resends calls: it counts runs, and knows what may be repeated.
                false);
    }

    /** Checks whether the target has been silent for too long. */
    void checkStall(long now) {
        TargetAttempt current = attempt;
        if (current == null) {
            return;
        }
        long silentNanos = now - current.lastProgressAt();
        if (silentNanos >= stallLimitNanos(current)) {
            onStall(current, silentNanos, now);
        }
    }

    private long stallLimitNanos(TargetAttempt current) {
        long minNanos = context.settings().stallTimeout().toNanos();
        var health = current.target().health();
        return current.hasEvents()
                ? Math.max(minNanos, STALL_EVENT_GAPS * health.eventGapNanos())
                : current.load().expectedWaitNanos()
                        + Math.max(minNanos, 2 * health.timeToFirstEventNanos());
    }

    /** Moves the call to another target if one has a free slot; otherwise keeps waiting. */
    private void onStall(TargetAttempt current, long silentNanos, long now) {
        Target target = current.target();
        if (now - target.lastBytesAt() >= stallLimitNanos(current)) {
            context.targets().onSilent(target, "no byte for " + silentNanos / 1_000_000 + " ms");
        }
        boolean mayMove = call.route().mayRepeat() && runs + 1 < call.route().maxAttempts();
        boolean hasFreeTarget =
                mayMove && movable(now).stream().anyMatch(TargetLoad::isFreeForOnline);
        if (hasFreeTarget) {
            if (current.hasPartialEvent()) {
                context.targets().onCallFailed(target);
            }
            current.cancel();
            onAttemptFailed(
                    current, RunOutcome.UNKNOWN, "silent for " + silentNanos / 1_000_000 + " ms");
        }
    }

    /** Loads of the targets that can take the call over from a stalled one. */
    private List<TargetLoad> movable(long now) {
        List<TargetLoad> usable = context.targets().usableLoads(group, triedTargets, now);
        return context.weights().filter(this, context.memory().filter(this, usable, now), now);
    }

    /** Starts the response to the caller unless an earlier attempt has done so. */
    void forwardHead(TargetAttempt from) {
        if (!isHeadForwarded) {
            isHeadForwarded = true;
            exchange.start(from.status(), context.headers().toCaller(from.headers()));
        }
    }

    void forwardEvents(TargetAttempt from, List<StreamEvent> newEvents) {
        forwardHead(from);
        long now = context.now();
        if (events == 0) {
            firstEventAt = now;
            group = TargetGroup.ofVersion(from.softwareVersion());
            GatewayMetrics.recordFirstEvent(call.route().name(), now - arrivedAt);
        }
        events += newEvents.size();
        lastEventId = OptionalLong.of(newEvents.get(newEvents.size() - 1).id());
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        newEvents.forEach(event -> bytes.writeBytes(event.rawBytes()));
        exchange.write(bytes.toByteArray());
    }

    void onStreamEnd(TargetAttempt from) {
        release(from, "done");
        recordCompletion(from);
        forwardHead(from);
        finish("done");
        exchange.end();
        log("call.done", from);
    }

    /** A response that is not a stream was received completely. */
    void onCompleteResponse(TargetAttempt from, byte[] body) {
        boolean failed = from.isServerError();
        if (failed) {
            context.targets().onCallFailed(from.target());
        }
        boolean canRetry =
                failed && call.route().mayRepeat() && canResend(RunOutcome.RUN, runs + 1);
        if (canRetry || isHeadForwarded) {
            onAttemptFailed(from, RunOutcome.RUN, "status " + from.status());
            return;
        }
        release(from, failed ? "failure" : "done");
        if (from.isSuccess()) {
            recordCompletion(from);
        }
        isHeadForwarded = true;
        finish(failed ? "target_status" : "done");
        exchange.respond(from.status(), context.headers().toCaller(from.headers()), body);
        log("call.done", from);
    }

    /** A response whose end only its connection shows counts if its target is still alive. */
    private void recordCompletion(TargetAttempt from) {
        context.network()
                .shares()
                .onCompleted(call.service(), call.team(), from.slotNanos(), context.now());
        CrashReports crashes = context.network().crashes();
        if (!from.endsWithConnection()) {
            crashes.onCompleted(call.traits());
            return;
        }
        context.targets().onConnectionEnded(from.target(), call.traits());
        if (crashes.isSuspected(call.traits())) {
            context.targets().verifyAlive(from.target(), () -> crashes.onCompleted(call.traits()));
        }
    }

    /** An attempt ended without a response for the caller. */
    void onAttemptFailed(TargetAttempt from, RunOutcome outcome, String reason) {
        release(from, "failed");
        if (outcome != RunOutcome.NOT_RUN) {
            runs++;
        }
        overallOutcome = overallOutcome.combine(outcome);
        LogEvent.of("call.attempt_failed")
                .with("call", call.id())
                .with("target", from.target().id())
                .with("version", from.softwareVersion().version())
                .with("reason", reason)
                .with("outcome", outcome.label())
                .with("events", events)
                .with("runs", runs)
                .with("answer_begun", from.hasBegun())
                .with("request_hash", Long.toHexString(call.fingerprint()))
                .with("part_hashes", call.traits().partsText())
                .with("load_online", from.load().calls().online())
                .with("load_batch", from.load().calls().batch())
                .info();
        if (!canResend(overallOutcome, runs)) {
            fail(reason);
        } else if (mayCrashNextTarget()) {
            fail("requests like this one crash targets: " + reason);
        } else {
            dispatch();
        }
    }

    private boolean mayCrashNextTarget() {
        CrashJudgement judgement = context.network().crashes().judge(call.traits());
        return !(judgement instanceof CrashJudgement.Allowed);
    }

    private boolean canResend(RunOutcome soFar, int runsSoFar) {
        return soFar.mayRetry(call.route().mayRepeat())
                && runsSoFar < call.route().maxAttempts()
                && sends < MAX_SENDS
                && (!isHeadForwarded || call.route().isResumable())
                && !timeLeft(context.now()).isZero();
    }

    private void fail(String reason) {
        if (isHeadForwarded) {
            finish("cut");
            exchange.abort();
            LogEvent.of("call.cut")
                    .with("call", call.id())
                    .with("reason", reason)
                    .with("events", events)
                    .info();
            return;
        }
        if (overallOutcome == RunOutcome.NOT_RUN) {
            Duration maxDelay = ErrorResponses.maxRetryDelay(timeLeft(context.now()));
            Duration retryDelay =
                    TARGET_REGISTRATION_TIME.compareTo(maxDelay) < 0
                            ? TARGET_REGISTRATION_TIME
                            : maxDelay;
            finish(Kind.NO_ROOM.label());
            ErrorResponses.send(exchange, Kind.NO_ROOM, call.id(), reason, retryDelay);
            return;
        }
        finish(Kind.TARGET_FAILED.label());
        ErrorResponses.send(exchange, Kind.TARGET_FAILED, call.id(), reason);
    }

    private void onTimeout() {
        if (isEnded) {
            return;
        }
        cancelAttempt("timeout");
        if (isHeadForwarded) {
            fail("the call timed out");
        } else {
            finish(Kind.TIMED_OUT.label());
            ErrorResponses.send(exchange, Kind.TIMED_OUT, call.id(), "sends " + sends);
        }
    }

    private void onCallerDisconnected() {
        if (isEnded) {
            return;
        }
        TargetAttempt last = attempt;
        cancelAttempt("caller_gone");
        finish("caller_gone");
        log("call.caller_gone", last);
    }

    private void cancelAttempt(String reason) {
        TargetAttempt current = attempt;
        if (current != null) {
            current.cancel();
            release(current, reason);
        }
    }

    private void release(TargetAttempt from, String attemptResult) {
        if (attempt != from) {
            return;
        }
        attempt = null;
        freeMemory();
        GatewayMetrics.recordAttempt(attemptResult);
        context.network().targetLoads().onOwnCallsChanged(from.target().id(), ONE_CALL_LESS);
        context.network().onSlotFreed();
    }

    private void finish(String result) {
        isEnded = true;
        if (timeout != null) {
            timeout.cancel(false);
        }
        if (delayedSend != null) {
            delayedSend.cancel(false);
            freeMemory();
        }
        context.stallDetector().remove(this);
        GatewayMetrics.recordCall(call.route().name(), result, context.now() - arrivedAt);
    }

    private void log(String event, @Nullable TargetAttempt from) {
        long now = context.now();
        LogEvent.of(event)
                .with("call", call.id())
                .with("team", call.team())
                .with("route", call.route().name())
                .with("plan", call.planVersion())
                .with("target", from == null ? null : from.target().id())
                .with("version", from == null ? null : from.softwareVersion().version())
                .with("resumes", call.resumedCallId().isEmpty() ? null : call.resumedCallId())
                .with("resumed_after", call.lastEventId().orElse(-1))
                .with("status", from == null ? 0 : from.status())
                .with("sends", sends)
                .with("events", events)
                .with("waited_ms", call.earlierWait().toMillis())
                .with("delayed_ms", millis(delayNanos))
                .with("first_ms", firstEventAt == 0 ? -1 : millis(firstEventAt - arrivedAt))
                .with("total_ms", millis(now - arrivedAt))
                .info();
    }

    private static long millis(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(nanos);
    }

    ForwardingContext context() {
        return context;
    }
}
