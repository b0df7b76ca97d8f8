package org.sardinelift.gateway.call;

import io.netty.util.concurrent.ScheduledFuture;
import java.io.ByteArrayOutputStream;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.sardinelift.core.load.Placement.Choice;
import org.sardinelift.core.load.TargetCalls;
import org.sardinelift.core.load.TargetLoad;
import org.sardinelift.core.outcome.RunOutcome;
import org.sardinelift.core.plan.CallKind;
import org.sardinelift.core.stream.StreamEvent;
import org.sardinelift.gateway.call.ErrorResponses.Kind;
import org.sardinelift.gateway.call.TargetTable.Target;
import org.sardinelift.http.HttpCall;
import org.sardinelift.http.HttpExchange;
import org.sardinelift.runtime.log.Event;

/** One admitted call from its arrival to the end of its answer, over all its attempts. */
final class ForwardedCall {
    private static final TargetCalls ONE_CALL = new TargetCalls(1, 0);
    private static final TargetCalls ONE_CALL_LESS = new TargetCalls(-1, 0);

    /** Sends of one call, those that targets refused as not run included. */
    private static final int MAX_SENDS = 6;

    /** A target's silence is compared with this many of its usual pauses between events. */
    private static final int PAUSES_TO_STALL = 4;

    /** Longest time that callers honour, as a part of the time that they have left. */
    private static final int RETURN_WITHIN_PART = 3;

    /** Time for a new target to register, where there is none. */
    private static final Duration UNTIL_TARGET = Duration.ofMillis(500);

    private static final int FIRST_SERVER_ERROR = 500;

    private final ForwardingContext forwarding;
    private final HttpExchange exchange;
    private final AdmittedCall call;
    private final long arrivedAt;
    private final Set<String> tried = new HashSet<>();
    private @Nullable TargetAttempt attempt;
    private OptionalLong lastEventId;
    private RunOutcome overall = RunOutcome.NOT_RUN;
    private int sends;
    private int runs;
    private int events;
    private long firstEventAt;
    private boolean headPassed;
    private boolean ended;
    private @Nullable ScheduledFuture<?> timeout;

    ForwardedCall(ForwardingContext forwarding, HttpExchange exchange, AdmittedCall call) {
        this.forwarding = forwarding;
        this.exchange = exchange;
        this.call = call;
        this.arrivedAt = forwarding.now();
        this.lastEventId = call.lastEventId();
    }

    AdmittedCall call() {
        return call;
    }

    OptionalLong lastEventId() {
        return lastEventId;
    }

    boolean isStream() {
        return call.route().kind() == CallKind.STREAM;
    }

    boolean isCurrent(TargetAttempt which) {
        return attempt == which && !ended;
    }

    void start() {
        if (call.earlierWait().isZero()) {
            forwarding.retryTimes().onNewCall(arrivedAt);
        }
        exchange.onClose(this::onCallerGone);
        timeout =
                forwarding
                        .loop()
                        .schedule(this::onTimeout, call.timeout().toNanos(), TimeUnit.NANOSECONDS);
        forwarding.stallDetector().add(this);
        place();
    }

    private void place() {
        long now = forwarding.now();
        List<TargetLoad> loads = forwarding.targets().usableLoads(call.service(), tried, now);
        Choice choice =
                forwarding.placement().choose(loads, firstEventWithin(now), call.fingerprint());
        if (choice instanceof Choice.Placed place) {
            send(place.target(), now);
        } else {
            onNoPlace((Choice.Refused) choice, now);
        }
    }

    /** How long the next event may take. */
    private Duration firstEventWithin(long now) {
        if (events > 0) {
            // A stream that is late is worth more than one that breaks off.
            return call.timeout();
        }
        if (sends > 0) {
            return forwarding.settings().maxResendWait();
        }
        if (!call.earlierWait().isZero()) {
            // Longer, and in a long peak those who come back would take every slot too late for
            // themselves and for all who are new.
            return call.route().latencyObjective();
        }
        Duration left = call.route().latencyObjective().minusNanos(now - arrivedAt);
        // What is kept for them is what lets those who were refused once be served in time.
        return left.minus(forwarding.settings().retryReserve());
    }

    private void onNoPlace(Choice.Refused refusal, long now) {
        if (overall != RunOutcome.NOT_RUN || headPassed) {
            fail(refusal.hasNoTarget() ? "no other target" : "no room at another target");
            return;
        }
        Duration left = timeLeft(now);
        Duration untilRoom = refusal.hasNoTarget() ? UNTIL_TARGET : refusal.retryAfter();
        Duration back =
                forwarding
                        .retryTimes()
                        .nextRetryAfter(
                                untilRoom,
                                forwarding.freedSlotsPerSecond(now),
                                left.dividedBy(RETURN_WITHIN_PART),
                                call.fingerprint(),
                                now);
        Kind kind = refusal.hasNoTarget() ? Kind.NO_TARGET : Kind.NO_ROOM;
        String detail = noPlaceDetail(refusal, now);
        end(kind.label());
        ErrorResponses.send(exchange, kind, call.id(), detail, back);
    }

    /** What the refusal rests on, for the log and the caller. */
    private String noPlaceDetail(Choice.Refused refusal, long now) {
        List<TargetLoad> loads = forwarding.targets().usableLoads(call.service(), tried, now);
        int slots = loads.stream().mapToInt(TargetLoad::slots).sum();
        int online = loads.stream().mapToInt(load -> load.calls().online()).sum();
        int batch = loads.stream().mapToInt(load -> load.calls().batch()).sum();
        return "sends %d, waited %d ms, %d targets, %d slots, online %d, batch %d, late by %d ms"
                .formatted(
                        sends,
                        call.earlierWait().toMillis(),
                        loads.size(),
                        slots,
                        online,
                        batch,
                        refusal.retryAfter().toMillis());
    }

    private Duration timeLeft(long now) {
        Duration left = call.timeout().minusNanos(now - arrivedAt);
        return left.isNegative() ? Duration.ZERO : left;
    }

    private void send(TargetLoad load, long now) {
        Target target = forwarding.targets().find(load.id()).orElseThrow();
        sends++;
        tried.add(target.id());
        forwarding.network().targetLoads().onOwnCallsChanged(target.id(), ONE_CALL);
        forwarding.network().onLocalChange();
        TargetAttempt next = new TargetAttempt(this, target, load, now);
        attempt = next;
        next.start(forwarding.client(), httpCall(target, now));
    }

    private HttpCall httpCall(Target target, long now) {
        var names = forwarding.headers().names();
        List<Map.Entry<String, String>> headers =
                new ArrayList<>(forwarding.headers().toTarget(exchange.headers()));
        headers.removeIf(header -> header.getKey().equalsIgnoreCase(names.lastEventId()));
        lastEventId.ifPresent(id -> headers.add(Map.entry(names.lastEventId(), Long.toString(id))));
        long leftMs = Math.max(1, timeLeft(now).toMillis());
        headers.add(Map.entry(names.deadlineMs(), Long.toString(leftMs)));
        headers.add(Map.entry(names.expectedTarget(), target.id()));
        if (!call.team().isEmpty()) {
            headers.add(Map.entry(names.team(), call.team()));
        }
        return new HttpCall(
                target.entry().host(),
                target.entry().port(),
                exchange.method(),
                exchange.uri(),
                headers,
                exchange.body(),
                timeLeft(now).plusMillis(1),
                !call.route().mayRepeat());
    }

    /** Looks whether the target has been silent for too long. */
    void checkStall(long now) {
        TargetAttempt current = attempt;
        if (current == null) {
            return;
        }
        long silent = now - current.lastProgressAt();
        if (silent >= stallLimit(current)) {
            onStall(current, silent, now);
        }
    }

    private long stallLimit(TargetAttempt which) {
        long least = forwarding.settings().stallTimeout().toNanos();
        var health = which.target().health();
        return which.hasEvents()
                ? Math.max(least, PAUSES_TO_STALL * health.eventGapNanos())
                : which.load().expectedWaitNanos()
                        + Math.max(least, 2 * health.timeToFirstEventNanos());
    }

    /** Moves the call where another target has a slot for it; otherwise waits on. */
    private void onStall(TargetAttempt which, long silent, long now) {
        Target target = which.target();
        if (now - target.lastBytesAt() >= stallLimit(which)) {
            forwarding.targets().onSilent(target, "no byte for " + silent / 1_000_000 + " ms");
        }
        boolean mayMove = call.route().mayRepeat() && runs + 1 < call.route().maxAttempts();
        boolean hasPlace =
                mayMove
                        && forwarding.targets().usableLoads(call.service(), tried, now).stream()
                                .anyMatch(load -> load.freeSlotsForOnline() > 0);
        if (hasPlace) {
            which.cancel();
            onAttemptFailed(which, RunOutcome.UNKNOWN, "silent for " + silent / 1_000_000 + " ms");
        }
    }

    /** The first bytes that the caller gets from an answer. */
    void forwardHead(TargetAttempt from) {
        if (!headPassed) {
            headPassed = true;
            exchange.start(from.status(), forwarding.headers().toCaller(from.headers()));
        }
    }

    void forwardEvents(TargetAttempt from, List<StreamEvent> received) {
        forwardHead(from);
        long now = forwarding.now();
        if (events == 0) {
            firstEventAt = now;
            GatewayMetrics.recordFirstEvent(call.route().name(), now - arrivedAt);
        }
        events += received.size();
        lastEventId = OptionalLong.of(received.get(received.size() - 1).id());
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        received.forEach(event -> bytes.writeBytes(event.rawBytes()));
        exchange.write(bytes.toByteArray());
    }

    /** The stream has come to its end. */
    void onStreamEnd(TargetAttempt from) {
        release(from, "done");
        forwardHead(from);
        end("done");
        exchange.end();
        log("call.done", from);
    }

    /** A whole answer that is no stream has come. */
    void onCompleteResponse(TargetAttempt from, byte[] body) {
        boolean failed = from.status() >= FIRST_SERVER_ERROR;
        if (failed) {
            forwarding.targets().onCallFailed(from.target());
        }
        boolean again =
                failed && call.route().mayRepeat() && canSendAgain(RunOutcome.RUN, runs + 1);
        if (again || headPassed) {
            onAttemptFailed(from, RunOutcome.RUN, "status " + from.status());
            return;
        }
        release(from, failed ? "failure" : "done");
        headPassed = true;
        end(failed ? "target_status" : "done");
        exchange.respond(from.status(), forwarding.headers().toCaller(from.headers()), body);
        log("call.done", from);
    }

    /** An attempt ended without an answer for the caller. */
    void onAttemptFailed(TargetAttempt from, RunOutcome outcome, String reason) {
        release(from, "failed");
        if (outcome != RunOutcome.NOT_RUN) {
            runs++;
        }
        overall = overall.combine(outcome);
        Event.of("call.attempt_failed")
                .with("call", call.id())
                .with("target", from.target().id())
                .with("reason", reason)
                .with("outcome", outcome.label())
                .with("events", events)
                .with("runs", runs)
                .with("load_online", from.load().calls().online())
                .with("load_batch", from.load().calls().batch())
                .info();
        if (canSendAgain(overall, runs)) {
            place();
        } else {
            fail(reason);
        }
    }

    private boolean canSendAgain(RunOutcome soFar, int runsSoFar) {
        return soFar.mayRetry(call.route().mayRepeat())
                && runsSoFar < call.route().maxAttempts()
                && sends < MAX_SENDS
                && (!headPassed || call.route().isResumable())
                && !timeLeft(forwarding.now()).isZero();
    }

    private void fail(String reason) {
        if (headPassed) {
            end("cut");
            exchange.abort();
            Event.of("call.cut")
                    .with("call", call.id())
                    .with("reason", reason)
                    .with("events", events)
                    .info();
            return;
        }
        if (overall == RunOutcome.NOT_RUN) {
            Duration back = timeLeft(forwarding.now()).dividedBy(RETURN_WITHIN_PART);
            Duration soon = UNTIL_TARGET.compareTo(back) < 0 ? UNTIL_TARGET : back;
            end(Kind.NO_ROOM.label());
            ErrorResponses.send(exchange, Kind.NO_ROOM, call.id(), reason, soon);
            return;
        }
        end(Kind.TARGET_FAILED.label());
        ErrorResponses.send(exchange, Kind.TARGET_FAILED, call.id(), reason);
    }

    private void onTimeout() {
        if (ended) {
            return;
        }
        dropAttempt("timeout");
        if (headPassed) {
            fail("the call's time ran out");
        } else {
            end(Kind.TIMED_OUT.label());
            ErrorResponses.send(exchange, Kind.TIMED_OUT, call.id(), "sends " + sends);
        }
    }

    private void onCallerGone() {
        if (ended) {
            return;
        }
        TargetAttempt last = attempt;
        dropAttempt("caller_gone");
        end("caller_gone");
        log("call.caller_gone", last);
    }

    private void dropAttempt(String reason) {
        TargetAttempt current = attempt;
        if (current != null) {
            current.cancel();
            release(current, reason);
        }
    }

    private void release(TargetAttempt from, String how) {
        if (attempt != from) {
            return;
        }
        attempt = null;
        GatewayMetrics.recordAttempt(how);
        forwarding.network().targetLoads().onOwnCallsChanged(from.target().id(), ONE_CALL_LESS);
        forwarding.network().onSlotFreed();
    }

    private void end(String result) {
        ended = true;
        if (timeout != null) {
            timeout.cancel(false);
        }
        forwarding.stallDetector().remove(this);
        GatewayMetrics.recordCall(call.route().name(), result, forwarding.now() - arrivedAt);
    }

    private void log(String event, @Nullable TargetAttempt from) {
        long now = forwarding.now();
        Event.of(event)
                .with("call", call.id())
                .with("team", call.team())
                .with("route", call.route().name())
                .with("plan", call.planVersion())
                .with("target", from == null ? null : from.target().id())
                .with("status", from == null ? 0 : from.status())
                .with("sends", sends)
                .with("events", events)
                .with("waited_ms", call.earlierWait().toMillis())
                .with("first_ms", firstEventAt == 0 ? -1 : millis(firstEventAt - arrivedAt))
                .with("total_ms", millis(now - arrivedAt))
                .info();
    }

    private static long millis(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(nanos);
    }

    ForwardingContext forwarding() {
        return forwarding;
    }
}
