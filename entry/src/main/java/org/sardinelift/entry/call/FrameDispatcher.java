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

/** Sends calls to companions as frames, over three connections to each. */
public final class FrameDispatcher implements CallDispatcher {
    private final Router router;
    private final CallBounds bounds;
    private final ScheduledExecutorService timers;
    private final DoubleSupplier random;
    private final CrashGuard guard;
    private final DecisionLog decisions;
    private final Telemetry telemetry;
    private final DuplicateTable copies = new DuplicateTable();
    private final CompanionTable companions;
    private final Map<String, RetryBudget> budgets = new ConcurrentHashMap<>();
    private final Set<CallRun> running = ConcurrentHashMap.newKeySet();

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
     * Makes a dispatcher without companions.
     *
     * @param instance name of this entry
     * @param zone availability zone of this entry
     * @param bounds bounds of calls
     * @param opener opens connections to companions
     * @param evidence hears what the connections show
     * @param timers runs timeouts
     * @param random random numbers from 0 to 1, for jitter
     * @param guard knows the requests that crash targets
     * @param decisions record of decisions
     * @param telemetry records a span for each attempt
     * @return the dispatcher
     */
    public static FrameDispatcher create(
            String instance,
            String zone,
            CallBounds bounds,
            LinkOpener opener,
            CompanionListener evidence,
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
        CompanionTable companions = new CompanionTable(bounds, opener, evidence);
        return new FrameDispatcher(
                router, bounds, companions, timers, random, guard, decisions, telemetry);
    }

    /**
     * Opens links to new companions and closes those to companions that are gone and idle.
     *
     * @param view the instances taken to be live
     */
    public void update(FleetView view) {
        companions.update(view);
    }

    @Override
    public CallHandle dispatch(CallSpec spec, CallListener listener) {
        CallRun run = new CallRun(spec, listener, this);
        running.add(run);
        run.start();
        return run;
    }

    @Override
    public int freeBatchSlots(String service, String model) {
        return companions.freeBatchSlots(service, model, nowNanos());
    }

    /**
     * Calls under way, online and batch.
     *
     * @return their number
     */
    public int callsInFlight() {
        return running.size();
    }

    /**
     * Takes calls of a request that became a suspect back from their targets, to run them alone.
     *
     * @param fingerprint hash of the request
     */
    public void requeueSuspects(String fingerprint) {
        running.stream()
                .filter(run -> run.spec().fingerprint().equals(fingerprint))
                .forEach(run -> timers.execute(run::requeueAsSuspect));
    }

    /**
     * What this entry knows of each companion's target.
     *
     * @return one candidate for each companion, by name
     */
    public List<Candidate> candidates() {
        return companions.candidates(Lane.ONLINE, nowNanos());
    }

    /**
     * The companions' targets for the giver of orders.
     *
     * @return those that have reported and are not leaving
     */
    public List<TargetView> targetViews() {
        return companions.targetViews();
    }

    /**
     * Sends an order over the control connection.
     *
     * @param companion name of the companion
     * @param order the order
     * @return false where no connection is open
     */
    public boolean sendOrder(String companion, Order order) {
        CompanionLink link = companions.find(companion);
        return link != null && link.sendOrder(order);
    }

    /** Closes all links. */
    public void close() {
        companions.close();
    }

    CallBounds bounds() {
        return bounds;
    }

    long nowNanos() {
        return System.nanoTime();
    }

    /** Runs a task later; the future cancels it, so that it holds nothing until it is due. */
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

    TargetChoice chooseTarget(CallRun run, Lane lane, Set<String> tried, boolean suspect) {
        String fingerprint = run.spec().fingerprint();
        synchronized (copies.lockFor(fingerprint)) {
            CrashVerdict standing = guard.verdict(fingerprint);
            if (standing != (suspect ? CrashVerdict.SUSPECT : CrashVerdict.CLEAR)) {
                return new TargetChoice.Deferred(Duration.ZERO);
            }
            return chooseOne(run, lane, tried, suspect);
        }
    }

    private TargetChoice chooseOne(CallRun run, Lane lane, Set<String> tried, boolean suspect) {
        CallSpec spec = run.spec();
        boolean byPrefix = !suspect && !spec.prefixKey().isEmpty();
        RouteRequest request =
                new RouteRequest(
                        spec.service().name(),
                        spec.model(),
                        byPrefix ? spec.prefixKey() : spec.fingerprint(),
                        tried,
                        suspect);
        long now = nowNanos();
        List<Candidate> pool = companions.candidates(lane, now);
        DuplicateTable.Placement place =
                copies.findPlacement(
                        spec.fingerprint(),
                        name -> usable(pool, name, request).isPresent(),
                        run.mayWaitForDuplicates(now, guard.settle()));
        if (place instanceof DuplicateTable.Placement.Blocked) {
            return new TargetChoice.Deferred(guard.trialPause());
        }
        Optional<Candidate> chosen =
                place instanceof DuplicateTable.Placement.Pinned with
                        ? usable(pool, with.companion(), request)
                        : router.choose(pool, request);
        while (chosen.isPresent()) {
            Candidate target = chosen.get();
            CompanionLink link = companions.find(target.name());
            if (link != null
                    && suspect
                    && !guard.tryStartTrial(spec.fingerprint(), target.name())) {
                return new TargetChoice.Deferred(guard.trialPause());
            }
            if (link != null && link.tryReserve(run, lane, now)) {
                copies.add(spec.fingerprint(), target.name());
                decisions.add(RouteDecision.of(run, target, pool, place, suspect));
                return new TargetChoice.Chosen(link);
            }
            guard.endTrial(spec.fingerprint(), target.name());
            if (place instanceof DuplicateTable.Placement.Pinned) {
                return new TargetChoice.Deferred(guard.trialPause());
            }
            pool.remove(target);
            chosen = router.choose(pool, request);
        }
        return new TargetChoice.NoTarget();
    }

    void release(CallRun run, CompanionLink from, Lane lane, boolean suspect) {
        from.release(run, lane);
        copies.remove(run.spec().fingerprint(), from.name());
        if (suspect) {
            guard.endTrial(run.spec().fingerprint(), from.name());
        }
    }

    /** Hears for a while of the death of a target from which a call was taken back. */
    void watchRequeued(CallRun run, CompanionLink from) {
        from.watchRequeued(run);
        schedule(guard.settle(), () -> from.unwatchRequeued(run));
    }

    void onAttemptFailed(
            CallRun run,
            CompanionLink on,
            AttemptAction.Failed failed,
            String targetIncarnation,
            boolean suspect) {
        if (!failed.cause().isTargetFault()) {
            on.onInconclusive();
        } else if (on.onFailure(nowNanos())) {
            Logger.warn(
                    "Target {} failed again ({}); it is left out for a pause",
                    on.name(),
                    failed.detail());
            noteTarget(run, DecisionAction.LEFT_OUT, failed.detail(), on.name());
        }
        if (failed.cause() == FailureCause.TARGET_DIED && failed.outcome() != RunOutcome.NOT_RUN) {
            String life = targetIncarnation.isEmpty() ? on.targetIncarnation() : targetIncarnation;
            guard.onTargetDeath(run.spec().fingerprint(), on.target(), life, suspect);
        }
    }

    Optional<Duration> backoff(
            CallRun run,
            AttemptAction.Failed failed,
            int attempts,
            boolean delivered,
            Duration left) {
        RetryBudget budget = budget(run.spec().team().name());
        synchronized (budget) {
            return bounds.retryPolicy()
                    .backoff(
                            failed,
                            attempts,
                            run.spec().isIdempotent(),
                            delivered,
                            left,
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
            boolean letIn) {
        String answer = head == null ? "without a head" : "status " + head.status();
        recordDecision(run, DecisionAction.ANSWERED, answer, by.name());
        if (letIn) {
            noteTarget(run, DecisionAction.LET_IN, "a call on it was answered", by.name());
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

    private void noteTarget(CallRun run, DecisionAction action, String reason, String target) {
        decisions.add(
                new DecisionRecord(
                        System.currentTimeMillis(),
                        target,
                        action,
                        reason,
                        Map.of("request", run.requestId())));
    }

    /**
     * Calls under way by team.
     *
     * @param batch whether batch items are counted, or else online calls
     * @return their number for each team that has any
     */
    public Map<String, Long> callsByTeam(boolean batch) {
        return running.stream()
                .filter(run -> run.spec().isBatch() == batch)
                .collect(
                        Collectors.groupingBy(
                                run -> run.spec().team().name(), Collectors.counting()));
    }

    void onEnded(CallRun run, String result) {
        running.remove(run);
        CallMetrics.countEnd(run.spec().isBatch() ? "BATCH" : "ONLINE", result);
    }

    private RetryBudget budget(String team) {
        return budgets.computeIfAbsent(
                team, name -> RetryBudget.of(bounds.retryShare(), bounds.retryBurst()));
    }

    private static Optional<Candidate> usable(
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
