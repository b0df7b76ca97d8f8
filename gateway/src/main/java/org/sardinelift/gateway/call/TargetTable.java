package org.sardinelift.gateway.call;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;
import org.sardinelift.core.load.LoadTracker;
import org.sardinelift.core.load.TargetHealth;
import org.sardinelift.core.load.TargetLoad;
import org.sardinelift.core.load.WeightVersions;
import org.sardinelift.core.load.WorkTime;
import org.sardinelift.core.plan.RegisteredTarget;
import org.sardinelift.core.plan.SoftwareVersion;
import org.sardinelift.core.plan.TargetGroup;
import org.sardinelift.core.poison.RequestTraits;
import org.sardinelift.core.quota.StatedRate;
import org.sardinelift.core.quota.TargetRateLimits;
import org.sardinelift.gateway.peer.RateLimitLog;
import org.sardinelift.http.BufferedHttpResponse;
import org.sardinelift.http.HttpCall;
import org.sardinelift.http.HttpClient;
import org.sardinelift.runtime.log.LogEvent;

/** The registered targets with their health and load. Used on the event loop. */
public final class TargetTable {
    private static final Duration PROBE_INTERVAL = Duration.ofMillis(200);
    private static final Duration PROBE_TIMEOUT = Duration.ofMillis(300);
    private static final Duration FIRST_EJECTION_TIME = Duration.ofMillis(400);
    private static final Duration TYPICAL_EVENT_GAP = Duration.ofMillis(25);

    /** Longest time between a broken connection and the detection of its target's death. */
    private static final Duration DEATH_DETECTION_WINDOW = Duration.ofSeconds(1);

    private static final int OK = 200;
    private static final double PERCENT = 100;

    /** Leaving incarnations that are remembered while the list of targets lacks them. */
    private static final int MAX_LEAVING_INCARNATIONS = 10_000;

    private final LoadTracker loadTracker;
    private final TargetRateLimits rateLimits;
    private final HttpClient client;
    private final EventLoop loop;
    private final String probePath;
    private final Function<byte[], OptionalLong> startReader;
    private final Duration typicalFirstEvent;
    private final Duration typicalCallTime;
    private final Map<String, Target> targets = new HashMap<>();
    private final Set<Incarnation> leavingIncarnations = new LinkedHashSet<>();
    private final List<TargetExclusion> exclusions = new ArrayList<>();
    private DeathListener deathListener = (request, target) -> {};
    private AnswerListener answerListener = (target, answers) -> {};

    /** Is notified of targets that died. */
    public interface DeathListener {
        /**
         * A target died while it ran a request.
         *
         * @param request traits of the request
         * @param target the incarnation that died
         */
        void onDeath(RequestTraits request, String target);
    }

    /** Is notified of targets that don't answer, and that do so again. */
    public interface AnswerListener {
        /**
         * A target does not answer, or does so after it did not or after it broke a connection.
         *
         * @param target the incarnation
         * @param answers whether it answers
         */
        void onAnswerChanged(String target, boolean answers);
    }

    /** One life of a target; a restarted target may keep its id and address. */
    private record Incarnation(
            String id, long startedAtMs, String host, int port, String softwareVersion) {
        static Incarnation of(RegisteredTarget entry) {
            return new Incarnation(
                    entry.id(),
                    entry.startedAtMs(),
                    entry.host(),
                    entry.port(),
                    entry.softwareVersion());
        }
    }

    /** A target with its registration and health. */
    public static final class Target {
        private final String incarnation;
        private final TargetHealth health;
        private final WeightVersions weights = WeightVersions.create();
        private final Map<RequestTraits, Long> brokenAt = new HashMap<>();
        private RegisteredTarget registration;
        private OptionalLong probedStartMs = OptionalLong.empty();
        private boolean isMisdirected;
        private boolean isProbePending;
        private boolean hasBrokenConnection;
        private long requests;
        private long lastBytesAt;

        private Target(RegisteredTarget entry, TargetHealth health) {
            this.incarnation = entry.incarnation();
            this.registration = entry;
            this.health = health;
        }

        /**
         * What the target registered.
         *
         * @return its registration
         */
        public RegisteredTarget registration() {
            return registration;
        }

        /**
         * Identifies the target; a later incarnation may have the same id.
         *
         * @return the id
         */
        public String id() {
            return registration.id();
        }

        /**
         * Names the incarnation of the target that answered last. The registration may still be
         * that of an earlier one.
         *
         * @return id and start
         */
        public String runningIncarnation() {
            return registration.incarnationStartedAt(
                    Math.max(registration.startedAtMs(), probedStartMs.orElse(0)));
        }

        /**
         * Whether the target can be sent calls, as its earlier calls show.
         *
         * @return the health
         */
        public TargetHealth health() {
            return health;
        }

        /**
         * Which versions of the weights the target may have, as its responses show.
         *
         * @return the versions
         */
        public WeightVersions weights() {
            return weights;
        }

        /**
         * Bytes of a response were received from the target.
         *
         * @param now the time, nanoseconds
         */
        public void onBytesReceived(long now) {
            lastBytesAt = now;
        }

        /**
         * Requests that this instance has sent to the target.
         *
         * @return their number
         */
        public long requests() {
            return requests;
        }

        /**
         * When bytes were last received from the target.
         *
         * @return the time, nanoseconds; 0 before the first
         */
        public long lastBytesAt() {
            return lastBytesAt;
        }
    }

    private TargetTable(
            LoadTracker loadTracker,
            TargetRateLimits rateLimits,
            HttpClient client,
            EventLoop loop,
            String probePath,
            Function<byte[], OptionalLong> startReader,
            Duration typicalFirstEvent,
            Duration typicalCallTime) {
        this.startReader = startReader;
        this.loadTracker = loadTracker;
        this.rateLimits = rateLimits;
        this.client = client;
        this.loop = loop;
        this.probePath = probePath;
        this.typicalFirstEvent = typicalFirstEvent;
        this.typicalCallTime = typicalCallTime;
    }

    /**
     * Creates a table without targets.
     *
     * @param loadTracker tracks the calls on targets
     * @param rateLimits limits that targets state on the rate of their requests
     * @param client sends probes
     * @param loop event loop that handles the traffic
     * @param probePath path of probes
     * @param startReader reads a target's start, Unix milliseconds, from its answer to a probe
     * @param typicalFirstEvent usual time from a send to the first event
     * @param typicalCallTime usual time that an online call occupies a slot
     * @return the table
     */
    public static TargetTable create(
            LoadTracker loadTracker,
            TargetRateLimits rateLimits,
            HttpClient client,
            EventLoop loop,
            String probePath,
            Function<byte[], OptionalLong> startReader,
            Duration typicalFirstEvent,
            Duration typicalCallTime) {
        return new TargetTable(
                loadTracker,
                rateLimits,
                client,
                loop,
                probePath,
                startReader,
                typicalFirstEvent,
                typicalCallTime);
    }

    /**
     * Sets the listener that is notified of targets that died.
     *
     * @param listener the listener
     */
    public void setDeathListener(DeathListener listener) {
        deathListener = listener;
    }

    /**
     * Sets the listener that is notified of targets that don't answer.
     *
     * @param listener the listener
     */
    public void setAnswerListener(AnswerListener listener) {
        answerListener = listener;
    }

    /**
     * Whether a target is limited as a cold one.
     *
     * @param target the target
     * @return true also where it states a lower limit
     */
    public boolean isCold(Target target) {
        return rateLimits.isCold(target.incarnation);
    }

    /**
     * Adds a reason for which targets get no requests; before the start.
     *
     * @param exclusion the reason
     */
    public void addExclusion(TargetExclusion exclusion) {
        exclusions.add(exclusion);
    }

    /**
     * Whether nothing may be sent to a target for a reason other than its health.
     *
     * @param target the target
     * @return whether an exclusion applies to it
     */
    public boolean isExcluded(Target target) {
        return exclusions.stream().anyMatch(each -> each.isExcluded(target.registration));
    }

    /**
     * Replaces the targets by those that are registered now.
     *
     * @param entries registrations by id
     */
    public void update(Map<String, RegisteredTarget> entries) {
        targets.keySet().retainAll(entries.keySet());
        entries.values().forEach(this::putTarget);
        Set<String> incarnations =
                entries.values().stream()
                        .map(RegisteredTarget::incarnation)
                        .collect(Collectors.toSet());
        rateLimits.onRegistered(incarnations, System.nanoTime());
    }

    private void putTarget(RegisteredTarget entry) {
        Target known = targets.get(entry.id());
        boolean isSameIncarnation =
                known != null && Incarnation.of(known.registration).equals(Incarnation.of(entry));
        if (isSameIncarnation) {
            known.registration = entry;
        } else {
            targets.put(entry.id(), new Target(entry, newHealth()));
        }
    }

    private TargetHealth newHealth() {
        return TargetHealth.of(
                PROBE_INTERVAL,
                FIRST_EJECTION_TIME,
                typicalFirstEvent,
                typicalCallTime,
                TYPICAL_EVENT_GAP);
    }

    /**
     * Finds a target.
     *
     * @param id its id
     * @return the target, or empty if it is not registered
     */
    public Optional<Target> find(String id) {
        return Optional.ofNullable(targets.get(id));
    }

    /**
     * All targets, usable or not.
     *
     * @return the targets
     */
    public Collection<Target> all() {
        return targets.values();
    }

    /**
     * Loads of a group's targets that calls may be sent to.
     *
     * @param group the targets that may run the call
     * @param excluded ids of targets to leave out
     * @param now the time, nanoseconds
     * @return their loads
     */
    public List<TargetLoad> usableLoads(TargetGroup group, Set<String> excluded, long now) {
        return targets.values().stream()
                .filter(target -> group.includes(target.registration))
                .filter(target -> !excluded.contains(target.id()))
                .filter(target -> isAvailable(target, now))
                .map(target -> load(target, now))
                .toList();
    }

    /**
     * Whether a software version has gone from its service, which others serve now.
     *
     * @param version the version
     * @return false also while no target of the service is registered, as its targets may be back
     */
    public boolean isReplaced(SoftwareVersion version) {
        return !hasServing(TargetGroup.ofVersion(version))
                && hasServing(TargetGroup.ofService(version.service()));
    }

    private boolean hasServing(TargetGroup group) {
        return targets.values().stream()
                .anyMatch(target -> group.includes(target.registration) && !isLeaving(target));
    }

    /**
     * Whether an exclusion is why a group has no target to send to.
     *
     * @param group the targets that may run the call
     * @param exclusion the exclusion
     * @return whether it applies to all targets of the group that serve, and there are some
     */
    public boolean isEachExcluded(TargetGroup group, TargetExclusion exclusion) {
        return hasServing(group)
                && targets.values().stream()
                        .filter(target -> group.includes(target.registration))
                        .filter(target -> !isLeaving(target))
                        .allMatch(target -> exclusion.isExcluded(target.registration));
    }

    /**
     * Loads of all targets that calls may be sent to.
     *
     * @param now the time, nanoseconds
     * @return their loads
     */
    public List<TargetLoad> usableLoads(long now) {
        return targets.values().stream()
                .filter(target -> isAvailable(target, now))
                .map(target -> load(target, now))
                .toList();
    }

    private boolean isAvailable(Target target, long now) {
        return !isLeaving(target)
                && !target.isMisdirected
                && !isExcluded(target)
                && target.health.isUsable(now);
    }

    /**
     * Whether calls may be sent to a target.
     *
     * @param target the target
     * @param now the time, nanoseconds
     * @return false if it has gone, is leaving, or does not answer
     */
    public boolean isUsable(Target target, long now) {
        return targets.get(target.id()) == target && isAvailable(target, now);
    }

    private boolean isLeaving(Target target) {
        return target.registration.isLeaving()
                || leavingIncarnations.contains(Incarnation.of(target.registration));
    }

    /**
     * Load of a target. One whose limit nobody has confirmed for a while is shown without it, so
     * that a call is sent there.
     *
     * @param target the target
     * @param now the time, nanoseconds
     * @return its load
     */
    public TargetLoad load(Target target, long now) {
        TargetLoad load = loadWithoutLimit(target, now);
        if (rateLimit(target).isEmpty()) {
            return load;
        }
        long delay = rateLimits.nanosUntilRequest(target.incarnation, now);
        boolean isTestDue = delay == 0 && rateLimits.isUnconfirmed(target.incarnation, now);
        return isTestDue ? load : load.withRateLimit(delay);
    }

    private static void recordWorkTime(Target target, ResponseHead head) {
        if (head.workTimePercent().isPresent()) {
            double multiple = head.workTimePercent().getAsInt() / PERCENT;
            target.health.workTime().onStated(multiple, System.nanoTime());
        }
    }

    private TargetLoad loadWithoutLimit(Target target, long now) {
        WorkTime workTime = target.health.workTime();
        double deviation = workTime.deviation(now);
        TargetLoad load =
                new TargetLoad(
                        target.id(),
                        target.registration.zone(),
                        target.registration.slots(),
                        loadTracker.knownCalls(target.id(), now),
                        (long) (target.health.callNanos() * deviation),
                        (long) (target.health.timeToFirstEventNanos() * deviation),
                        false,
                        0);
        return workTime.isStated() ? load.withWorkTime(workTime.estimate(now)) : load;
    }

    /**
     * The head of a response arrived. A target that states in it that it is leaving gets no further
     * calls, whatever the list of targets says, which may lag.
     *
     * @param target the target
     * @param head the head
     * @param expectedWeights version of the weights that the call expects, empty if any will do
     */
    public void onResponseHead(Target target, ResponseHead head, Optional<String> expectedWeights) {
        if (head.isMisdirected(target.id(), expectedWeights.isPresent())) {
            return;
        }
        recordWorkTime(target, head);
        head.weights().ifPresent(version -> target.weights.onStated(version, System.nanoTime()));
        if (!head.isLeaving() || !leavingIncarnations.add(Incarnation.of(target.registration))) {
            return;
        }
        if (leavingIncarnations.size() > MAX_LEAVING_INCARNATIONS) {
            leavingIncarnations.remove(leavingIncarnations.iterator().next());
        }
        client.closeIdleConnections(target.registration.host(), target.registration.port());
        LogEvent.of("target.leaving").with("target", target.id()).with("source", "response").info();
    }

    /**
     * The head of a response to a call of this instance arrived.
     *
     * @param target the target that sent it
     * @param stated what it states of the rate of requests
     * @param sentAt when the call was sent, nanoseconds
     * @return whether the target's limit has changed, which other instances need to know
     */
    public boolean onStatedRate(Target target, StatedRate stated, long sentAt) {
        Optional<TargetRateLimits.Change> change =
                rateLimits.onResponse(target.incarnation, stated, sentAt, System.nanoTime());
        change.ifPresent(
                each ->
                        RateLimitLog.logChange(
                                target.incarnation, each, "response", target.requests));
        return change.isPresent();
    }

    /**
     * A request is sent to a target, or is going to be sent once its rate limit allows it.
     *
     * @param target the target
     */
    public void onRequest(Target target) {
        target.requests++;
        rateLimits.onRequest(target.incarnation, System.nanoTime());
    }

    /**
     * Limit on the rate of a target's requests.
     *
     * @param target the target
     * @return requests per second over all instances, empty if it states none
     */
    public OptionalDouble rateLimit(Target target) {
        return rateLimits.limit(target.incarnation);
    }

    /**
     * Records why a target has rejected a call.
     *
     * @param target the target that the call was meant for
     * @param head head of the response
     * @param expectedWeights version of the weights that the call expects, empty if any will do
     * @return the reason
     */
    public String onRejected(Target target, ResponseHead head, Optional<String> expectedWeights) {
        if (head.isMisdirected(target.id(), expectedWeights.isPresent())) {
            onMisdirected(target);
            return "the address belongs to another target now";
        }
        expectedWeights.ifPresent(version -> target.weights.onRefused(version, System.nanoTime()));
        return "the target's weights have version %s instead of %s"
                .formatted(head.weights().orElse("unknown"), expectedWeights.orElse("any"));
    }

    private void onMisdirected(Target target) {
        target.isMisdirected = true;
        client.closeIdleConnections(target.registration.host(), target.registration.port());
        LogEvent.of("target.misdirected").with("target", target.id()).warn();
    }

    /**
     * A call showed that a target does not answer; it is probed until it does.
     *
     * @param target the target
     * @param reason what the call showed, for the log
     */
    public void onSilent(Target target, String reason) {
        long now = System.nanoTime();
        reportDeaths(target, now);
        if (!target.health.onSilent(now)) {
            return;
        }
        LogEvent.of("target.silent").with("target", target.id()).with("reason", reason).warn();
        client.closeIdleConnections(target.registration.host(), target.registration.port());
        answerListener.onAnswerChanged(target.incarnation, false);
        probe(target);
    }

    /**
     * Reports a target that does not answer as killed by the requests whose connections broke. One
     * that was leaving has ended as planned.
     */
    private void reportDeaths(Target target, long now) {
        dropOldConnectionEnds(target, now);
        if (isLeaving(target)) {
            target.brokenAt.clear();
        }
        String died = target.runningIncarnation();
        target.brokenAt.keySet().forEach(request -> deathListener.onDeath(request, died));
        target.brokenAt.clear();
    }

    /**
     * A connection broke while a target ran a request. The request may have crashed the target,
     * which a probe on a new connection shows.
     *
     * @param target the target
     * @param request traits of the request
     */
    public void onConnectionBroken(Target target, RequestTraits request) {
        onCallFailed(target);
        onConnectionEnded(target, request);
        target.hasBrokenConnection = true;
        verifyAlive(target, () -> {});
    }

    /**
     * A target closed the connection after a response that nothing else delimits. It may have
     * crashed, which the next calls show.
     *
     * @param target the target
     * @param request traits of the request
     */
    public void onConnectionEnded(Target target, RequestTraits request) {
        long now = System.nanoTime();
        dropOldConnectionEnds(target, now);
        target.brokenAt.put(request, now);
    }

    private static void dropOldConnectionEnds(Target target, long now) {
        target.brokenAt.values().removeIf(at -> now - at >= DEATH_DETECTION_WINDOW.toNanos());
    }

    /**
     * Probes a target on a new connection unless that is under way or nothing may be sent to it.
     *
     * @param target the target
     * @param onAlive runs if it answers
     */
    public void verifyAlive(Target target, Runnable onAlive) {
        if (target.isProbePending || isExcluded(target)) {
            return;
        }
        target.isProbePending = true;
        // Only the few instances whose requests it ran do this, so that they need no slots.
        long delay =
                isCold(target)
                        ? rateLimits.nanosUntilRequest(target.incarnation, System.nanoTime())
                        : 0;
        if (delay == 0) {
            sendVerification(target, onAlive);
        } else {
            loop.schedule(
                    () -> {
                        target.isProbePending = false;
                        verifyAlive(target, onAlive);
                    },
                    delay,
                    TimeUnit.NANOSECONDS);
        }
    }

    private void sendVerification(Target target, Runnable onAlive) {
        onRequest(target);
        client.call(probeCall(target))
                .whenComplete(
                        (answer, error) -> {
                            target.isProbePending = false;
                            if (answer == null) {
                                onSilent(
                                        target, "no answer to the probe after a broken connection");
                            } else {
                                recordStart(target, answer);
                                onVerified(target);
                                onAlive.run();
                            }
                        });
    }

    /** A target that broke a connection and answers may have restarted. */
    private void onVerified(Target target) {
        if (target.hasBrokenConnection) {
            target.hasBrokenConnection = false;
            answerListener.onAnswerChanged(target.incarnation, true);
        }
    }

    private void probe(Target target) {
        long now = System.nanoTime();
        boolean isRegistered = targets.get(target.id()) == target;
        long delay =
                isExcluded(target)
                        ? PROBE_INTERVAL.toNanos()
                        : rateLimits.nanosUntilProbe(target.incarnation, now);
        if (isRegistered && delay > 0) {
            loop.schedule(() -> probe(target), delay, TimeUnit.NANOSECONDS);
            return;
        }
        if (!isRegistered || !target.health.tryStartProbe(now)) {
            return;
        }
        onRequest(target);
        client.call(probeCall(target)).whenComplete((answer, error) -> onProbe(target, answer));
    }

    private HttpCall probeCall(Target target) {
        return new HttpCall(
                target.registration.host(),
                target.registration.port(),
                "GET",
                probePath,
                List.of(),
                new byte[0],
                PROBE_TIMEOUT,
                true);
    }

    private void recordStart(Target target, BufferedHttpResponse probeAnswer) {
        startReader
                .apply(probeAnswer.body())
                .ifPresent(start -> target.probedStartMs = OptionalLong.of(start));
    }

    private void onProbe(Target target, @Nullable BufferedHttpResponse answer) {
        boolean hasAnswered = answer != null && answer.status() == OK;
        target.health.onProbeEnded(hasAnswered, System.nanoTime());
        if (hasAnswered) {
            recordStart(target, answer);
            target.onBytesReceived(System.nanoTime());
            answerListener.onAnswerChanged(target.incarnation, true);
            LogEvent.of("target.answers").with("target", target.id()).info();
            return;
        }
        loop.schedule(() -> probe(target), PROBE_INTERVAL.toMillis() + 1, TimeUnit.MILLISECONDS);
    }

    /**
     * A call failed at a target.
     *
     * @param target the target
     */
    public void onCallFailed(Target target) {
        if (target.health.onFailure(System.nanoTime())) {
            LogEvent.of("target.paused").with("target", target.id()).warn();
        }
    }
}
