package org.sardinelift.entry.call;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;
import org.sardinelift.core.explain.DecisionAction;
import org.sardinelift.core.explain.DecisionLog;
import org.sardinelift.core.explain.DecisionRecord;
import org.sardinelift.core.fleet.FleetView;
import org.sardinelift.core.order.TargetView;
import org.sardinelift.core.outcome.AttemptAction;
import org.sardinelift.core.outcome.FailureCause;
import org.sardinelift.core.outcome.Problem;
import org.sardinelift.core.outcome.RetryBudget;
import org.sardinelift.core.outcome.RunOutcome;
import org.sardinelift.core.poison.CrashVerdict;
import org.sardinelift.core.route.Candidate;
import org.sardinelift.core.route.Ejection;
import org.sardinelift.core.route.RouteRequest;
import org.sardinelift.core.route.Router;
import org.sardinelift.protocol.generated.Lane;
import org.sardinelift.protocol.generated.Order;
import org.sardinelift.runtime.Telemetry;
import org.tinylog.Logger;

/** Sends calls to companions as frames, over three connections to each, one per lane. */
public final class FrameDispatcher implements CallDispatcher {
    private final Router router;
    private final CallBounds bounds;
    private final ScheduledExecutorService timers;
    private final DoubleSupplier random;
    private final CrashGuard guard;
    private final DecisionLog decisions;
    private final Telemetry telemetry;
    private final DuplicateTable duplicates = new DuplicateTable();
    private final CompanionTable companions;
    private final Map<String, RetryBudget> budgets = new ConcurrentHashMap<>();
    private final Set<CallRun> runs = ConcurrentHashMap.newKeySet();

    private FrameDispatcher(
            Router router,
            CallBounds bounds,
            CompanionTable companions,
            ScheduledExecutorService timers,
            DoubleSupplier random,
            CrashGuard guard,
            DecisionLog decisions,
            Telemetry telemetry) {
        this.telemetry = telemetry;
        this.guard = guard;
        this.decisions = decisions;
        this.router = router;
        this.bounds = bounds;
        this.companions = companions;
        this.timers = timers;
        this.random = random;
    }

    /**
     * Creates a dispatcher without companions.
     *
     * @param instance name of this entry
     * @param zone availability zone of this entry
     * @param bounds settings of calls
     * @param opener opens connections to companions
     * @param companionListener is notified of what the connections show
     * @param timers runs timeouts
     * @param random random numbers from 0 to 1, for jitter
     * @param guard knows the requests that crash targets
     * @param decisions log of routing decisions
     * @param telemetry records a span for each attempt
     * @return the dispatcher
     */
    public static FrameDispatcher create(
            String instance,
            String zone,
            CallBounds bounds,
            LinkOpener opener,
            CompanionListener companionListener,
            ScheduledExecutorService timers,
            DoubleSupplier random,
            CrashGuard guard,
            DecisionLog decisions,
            Telemetry telemetry) {
        Router router =
                Router.of(
                        zone,
                        instance,
                        bounds.loadBound(),
                        bounds.spillPressure(),
                        bounds.subsetSize());
        CompanionTable companions = new CompanionTable(bounds, opener, companionListener);
        return new FrameDispatcher(
                router, bounds, companions, timers, random, guard, decisions, telemetry);
    }

    /**
     * Connects to new companions and closes the connections to unlisted ones without calls.
     *
     * @param view the live members
     */
    public void update(FleetView view) {
        companions.update(view);
    }

    @Override
    public CallHandle dispatch(CallSpec spec, CallListener listener) {
        CallRun run = new CallRun(spec, listener, this);
        runs.add(run);
        run.start();
        return run;
    }

    @Override
    public int freeBatchSlots(String service, String model) {
        return companions.freeBatchSlots(service, model, nowNanos());
    }

    /**
     * Returns the number of online and batch calls in flight.
     *
     * @return number of calls
     */
    public int callsInFlight() {
        return runs.size();
    }

    /**
     * Cancels the attempts of a request that became a suspect and retries it as the only suspect on
     * a target.
     *
     * @param fingerprint hash of the request
     */
    public void requeueSuspects(String fingerprint) {
        runs.stream()
                .filter(run -> run.spec().fingerprint().equals(fingerprint))
                .forEach(run -> timers.execute(run::requeueAsSuspect));
    }

    /**
     * Returns what this entry knows of each companion's target.
     *
     * @return one candidate for each companion
     */
    public List<Candidate> candidates() {
        return companions.candidates(Lane.ONLINE, nowNanos());
    }

    /**
     * Returns the state of the companions' targets for rollouts.
     *
     * @return targets that have reported and are not leaving
     */
    public List<TargetView> targetViews() {
        return companions.targetViews();
    }

    /**
     * Sends an order over the control connection.
     *
     * @param companion name of the companion
     * @param order the order
     * @return false if no connection is open
     */
    public boolean sendOrder(String companion, Order order) {
        CompanionLink link = companions.find(companion);
        return link != null && link.sendOrder(order);
    }

    /** Closes all connections. */
    public void close() {
        companions.close();
    }

    CallBounds bounds() {
        return bounds;
    }

    long nowNanos() {
        return System.nanoTime();
    }

    /** Runs a task later; cancelling the future frees the task before it is due. */
    ScheduledFuture<?> schedule(Duration delay, Runnable task) {
        return timers.schedule(task, delay.toNanos(), TimeUnit.NANOSECONDS);
    }

    AttemptSpan startSpan(CallSpec spec, int attempt, String companion) {
        return AttemptSpan.start(telemetry, spec, attempt, companion);
    }

    CrashGuard guard() {
        return guard;
    }

    void onFirstAttempt(String team) {
        RetryBudget budget = budget(team);
        synchronized (budget) {
            budget.onFirstAttempt();
        }
    }

    TargetChoice chooseTarget(CallRun run, Lane lane, Set<String> triedTargets, boolean isSuspect) {
        String fingerprint = run.spec().fingerprint();
        synchronized (duplicates.lockFor(fingerprint)) {
            CrashVerdict verdict = guard.verdict(fingerprint);
            if (verdict != (isSuspect ? CrashVerdict.SUSPECT : CrashVerdict.CLEAR)) {
                return new TargetChoice.Deferred(Duration.ZERO);
            }
            return chooseUnderLock(run, lane, triedTargets, isSuspect);
        }
    }

    private TargetChoice chooseUnderLock(
            CallRun run, Lane lane, Set<String> triedTargets, boolean isSuspect) {
        CallSpec spec = run.spec();
        boolean hasPrefix = !isSuspect && !spec.prefixKey().isEmpty();
        RouteRequest request =
                new RouteRequest(
                        spec.service().name(),
                        spec.model(),
                        hasPrefix ? spec.prefixKey() : spec.fingerprint(),
                        triedTargets,
                        isSuspect);
        long nowNanos = nowNanos();
        List<Candidate> pool = companions.candidates(lane, nowNanos);
        DuplicateTable.Placement placement =
                duplicates.findPlacement(
                        spec.fingerprint(),
                        name -> findUsable(pool, name, request).isPresent(),
                        run.mayWaitForDuplicates(nowNanos, guard.settle()));
        if (placement instanceof DuplicateTable.Placement.Blocked) {
            return new TargetChoice.Deferred(guard.trialPause());
        }
        Optional<Candidate> chosen =
                placement instanceof DuplicateTable.Placement.Pinned pinned
                        ? findUsable(pool, pinned.companion(), request)
                        : router.choose(pool, request);
        while (chosen.isPresent()) {
            Candidate target = chosen.get();
            CompanionLink link = companions.find(target.name());
            if (link != null
                    && isSuspect
                    && !guard.tryStartTrial(spec.fingerprint(), target.name())) {
                return new TargetChoice.Deferred(guard.trialPause());
            }
            if (link != null && link.tryReserve(run, lane, nowNanos)) {
                duplicates.add(spec.fingerprint(), target.name());
                decisions.add(RouteDecision.of(run, target, pool, placement, isSuspect));
                return new TargetChoice.Chosen(link);
            }
            guard.endTrial(spec.fingerprint(), target.name());
            if (placement instanceof DuplicateTable.Placement.Pinned) {
                return new TargetChoice.Deferred(guard.trialPause());
            }
            pool.remove(target);
            chosen = router.choose(pool, request);
        }
        return new TargetChoice.NoTarget();
    }

    void release(CallRun run, CompanionLink from, Lane lane, boolean isSuspect) {
        from.release(run, lane);
        duplicates.remove(run.spec().fingerprint(), from.name());
        if (isSuspect) {
            guard.endTrial(run.spec().fingerprint(), from.name());
        }
    }

    /** Watches for the settle time whether the target of a requeued call has died. */
    void watchRequeued(CallRun run, CompanionLink from) {
        from.watchRequeued(run);
        schedule(guard.settle(), () -> from.unwatchRequeued(run));
    }

    void onAttemptFailed(
            CallRun run,
            CompanionLink on,
            AttemptAction.Failed failed,
            String targetIncarnation,
            boolean isSuspect) {
        if (!failed.cause().isTargetFault()) {
            on.onInconclusive();
        } else if (on.onFailure(nowNanos())) {
            Logger.warn(
                    "Target {} was ejected for a time after repeated failures; the last: {}",
                    on.name(),
                    failed.detail());
            recordTargetDecision(run, DecisionAction.LEFT_OUT, failed.detail(), on.name());
        }
        if (failed.cause() == FailureCause.TARGET_DIED && failed.outcome() != RunOutcome.NOT_RUN) {
            String incarnation =
                    targetIncarnation.isEmpty() ? on.targetIncarnation() : targetIncarnation;
            guard.onTargetDeath(run.spec().fingerprint(), on.target(), incarnation, isSuspect);
        }
    }

    Optional<Duration> backoff(
            CallRun run,
            AttemptAction.Failed failed,
            int attempts,
            boolean isHeadDelivered,
            Duration timeLeft) {
        RetryBudget budget = budget(run.spec().team().name());
        synchronized (budget) {
            return bounds.retryPolicy()
                    .backoff(
                            failed,
                            attempts,
                            run.spec().isIdempotent(),
                            isHeadDelivered,
                            timeLeft,
                            random.getAsDouble(),
                            budget);
        }
    }

    void recordDecision(CallRun run, DecisionAction action, String reason, String at) {
        decisions.add(RouteDecision.of(run, action, reason, Map.of("at", at)));
    }

    void recordAnswered(
            CallRun run,
            CompanionLink by,
            AttemptAction.@Nullable ResponseHead head,
            boolean isReadmitted) {
        String answer = head == null ? "without a head" : "status " + head.status();
        recordDecision(run, DecisionAction.ANSWERED, answer, by.name());
        if (isReadmitted) {
            recordTargetDecision(
                    run, DecisionAction.LET_IN, "a call on it was answered", by.name());
        }
    }

    void recordEnded(CallRun run, Problem problem, String at) {
        DecisionAction action =
                problem.outcome() == RunOutcome.NOT_RUN
                        ? DecisionAction.REFUSED
                        : DecisionAction.ENDED;
        Map<String, String> figures =
                Map.of(
                        "at", at,
                        "kind", problem.kind().label(),
                        "outcome", problem.outcome().label());
        decisions.add(RouteDecision.of(run, action, problem.detail(), figures));
    }

    private void recordTargetDecision(
            CallRun run, DecisionAction action, String reason, String target) {
        decisions.add(
                new DecisionRecord(
                        System.currentTimeMillis(),
                        target,
                        action,
                        reason,
                        Map.of("request", run.requestId())));
    }

    /**
     * Returns the calls in flight by team.
     *
     * @param isBatch whether batch items are counted, or else online calls
     * @return number of calls for each team that has any
     */
    public Map<String, Long> callsByTeam(boolean isBatch) {
        return runs.stream()
                .filter(run -> run.spec().isBatch() == isBatch)
                .collect(
                        Collectors.groupingBy(
                                run -> run.spec().team().name(), Collectors.counting()));
    }

    void onEnded(CallRun run, String result) {
        runs.remove(run);
        CallMetrics.countEnd(run.spec().isBatch() ? "BATCH" : "ONLINE", result);
    }

    private RetryBudget budget(String team) {
        return budgets.computeIfAbsent(
                team, name -> RetryBudget.of(bounds.retryShare(), bounds.retryBurst()));
    }

    private static Optional<Candidate> findUsable(
            List<Candidate> pool, String name, RouteRequest request) {
        return pool.stream()
                .filter(candidate -> candidate.name().equals(name))
                .filter(Candidate::isUsable)
                .filter(candidate -> candidate.canServe(request.model()))
                .filter(candidate -> candidate.admission() == Ejection.Admission.IN)
                .filter(candidate -> !request.failedTargets().contains(name))
                .findFirst();
    }
}
