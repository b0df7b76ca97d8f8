package org.sardinelift.gateway.job;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.sardinelift.core.joblog.InterruptionPause;
import org.sardinelift.core.joblog.ItemProgress;
import org.sardinelift.core.joblog.ItemResult;
import org.sardinelift.core.joblog.ItemSchedule;
import org.sardinelift.core.joblog.JobAssignment;
import org.sardinelift.core.joblog.JobProgress;
import org.sardinelift.core.joblog.MissingRoutes;
import org.sardinelift.core.joblog.PreemptionShare;
import org.sardinelift.core.load.BatchSlotSelector;
import org.sardinelift.core.load.TargetCalls;
import org.sardinelift.core.load.TargetLoad;
import org.sardinelift.core.peer.Peer;
import org.sardinelift.core.peer.PeerRole;
import org.sardinelift.core.plan.RoutePlan;
import org.sardinelift.core.plan.ServingPlan;
import org.sardinelift.core.plan.TargetGroup;
import org.sardinelift.gateway.HeaderNames;
import org.sardinelift.gateway.call.ExpectedWeights;
import org.sardinelift.gateway.call.ForwardedHeaders;
import org.sardinelift.gateway.call.TargetMemoryLimits;
import org.sardinelift.gateway.call.TargetTable;
import org.sardinelift.gateway.call.TargetTable.Target;
import org.sardinelift.gateway.feed.PlanFeed;
import org.sardinelift.gateway.peer.PeerNetwork;
import org.sardinelift.http.HttpCall;
import org.sardinelift.http.HttpClient;
import org.sardinelift.runtime.log.LogEvent;

/**
 * Runs the items of the jobs assigned to this worker in slots that online calls leave free, and
 * preempts items when online calls need the slots. On the event loop.
 */
final class ItemRunner implements PeerNetwork.Listener {
    private static final TargetCalls ITEM_STARTED = new TargetCalls(0, 1);
    private static final TargetCalls ITEM_ENDED = new TargetCalls(0, -1);

    /** Time to report the start of an item before the next start on the same target. */
    private static final Duration NEXT_START_DELAY = Duration.ofMillis(6);

    /** Several times the longest pause of a target between events, prefill included. */
    private static final Duration TARGET_SILENCE_TIMEOUT = Duration.ofMillis(1_200);

    private static final Duration REFUSAL_BACKOFF = Duration.ofMillis(100);
    private static final Duration FAILURE_BACKOFF = Duration.ofMillis(200);

    /** Time without a route after which the items of its jobs are given up. */
    private static final Duration MISSING_ROUTE_TIMEOUT = Duration.ofSeconds(5);

    /** Estimate until runs have completed: an output of some hundred events. */
    private static final int INITIAL_EVENTS_PER_ITEM = 200;

    /** Estimate until runs have completed: decoding with all slots in use. */
    private static final Duration INITIAL_EVENT_INTERVAL = Duration.ofMillis(27);

    /** Time for a result to be recorded, seen by the other workers and read by the caller. */
    private static final Duration RESULT_DELIVERY_TIME = Duration.ofMillis(400);

    /** Longer than the gap between two online calls on a busy slot. */
    private static final Duration FREE_SLOT_SETTLE_TIME = Duration.ofMillis(40);

    /** Longer, so that workers of the target's zone use the slot first. */
    private static final Duration OTHER_ZONE_SETTLE_TIME = Duration.ofMillis(150);

    private final String instance;
    private final JobRegistry jobs;
    private final JobRecorder recorder;
    private final TargetTable table;
    private final PeerNetwork network;
    private final HttpClient client;
    private final EventLoop loop;
    private final PlanFeed plans;
    private final ForwardedHeaders headers;
    private final JobAssignment assignment;
    private final ItemTargets itemTargets;
    private final TargetMemoryLimits memory;
    private final ExpectedWeights weights;
    private final ItemSchedule schedule =
            ItemSchedule.of(INITIAL_EVENTS_PER_ITEM, INITIAL_EVENT_INTERVAL, RESULT_DELIVERY_TIME);
    private final BatchSlotSelector slotSelector;
    private final Set<String> assignedJobIds = new HashSet<>();
    private final Map<Target, List<ItemRun>> running = new HashMap<>();
    private final MissingRoutes missingRoutes = MissingRoutes.create(MISSING_ROUTE_TIMEOUT);
    private boolean isReschedulePending;
    private boolean isLeaving;

    ItemRunner(
            String instance,
            String zone,
            JobRegistry jobs,
            JobRecorder recorder,
            TargetTable table,
            PeerNetwork network,
            HttpClient client,
            EventLoop loop,
            PlanFeed plans,
            ForwardedHeaders headers) {
        this.instance = instance;
        this.jobs = jobs;
        this.recorder = recorder;
        this.table = table;
        this.network = network;
        this.client = client;
        this.loop = loop;
        this.plans = plans;
        this.headers = headers;
        this.itemTargets = new ItemTargets(table, network, instance);
        this.memory = new TargetMemoryLimits(plans, network);
        this.weights = new ExpectedWeights(table);
        this.slotSelector =
                BatchSlotSelector.of(
                        zone, FREE_SLOT_SETTLE_TIME, OTHER_ZONE_SETTLE_TIME, NEXT_START_DELAY);
        this.assignment = JobAssignment.of(instance, NEXT_START_DELAY.multipliedBy(50));
    }

    /** Hashes of the jobs that run here, for reports. */
    Collection<Long> assignedJobHashes() {
        return isLeaving ? List.of() : assignedJobIds.stream().map(ItemRunner::hash).toList();
    }

    /** Hash of a job's name, which identifies the job in reports. */
    static long hash(String job) {
        return org.sardinelift.core.route.Rendezvous.weight(job, "");
    }

    /** Assigns a job to this worker, since it was accepted here. */
    void claim(JobProgress job) {
        if (!isLeaving && assignedJobIds.add(job.spec().id())) {
            network.onLocalChange();
        }
        reschedule();
    }

    /** Stops all runs and leaves the jobs to other workers. */
    void handOverJobs() {
        isLeaving = true;
        assignedJobIds.clear();
        runs().forEach(run -> stop(run, "leaving"));
        network.onLocalChange();
    }

    /** Runs jobs again, since this worker does not stop after all. */
    void resumeJobs() {
        isLeaving = false;
        network.onLocalChange();
        reschedule();
    }

    /** Whether no item runs here. */
    boolean isIdle() {
        return running.isEmpty();
    }

    private List<ItemRun> runs() {
        return running.values().stream().flatMap(List::stream).toList();
    }

    @Override
    public void onLoadsUpdated() {
        long now = System.nanoTime();
        observeSlots(now);
        preemptItems(now);
        rescheduleAfter(NEXT_START_DELAY);
    }

    /** Updates which jobs run here, stops items that must not run, and starts items. */
    void reschedule() {
        if (isLeaving) {
            return;
        }
        long now = System.nanoTime();
        observeSlots(now);
        assignJobs(now);
        missingRoutes.retainJobs(assignedJobIds);
        stopInvalidRuns(now);
        preemptItems(now);
        startItems(now);
    }

    private void observeSlots(long now) {
        slotSelector.observe(table.usableLoads(now), now);
    }

    private void rescheduleAfter(Duration delay) {
        if (!isReschedulePending) {
            isReschedulePending = true;
            loop.schedule(
                    () -> {
                        isReschedulePending = false;
                        reschedule();
                    },
                    delay.toNanos(),
                    TimeUnit.NANOSECONDS);
        }
    }

    private void assignJobs(long now) {
        List<Peer> workers = network.peers().livePeers(PeerRole.WORKER, now).toList();
        for (JobProgress job : jobs.all()) {
            String id = job.spec().id();
            if (job.isClosed()) {
                assignedJobIds.remove(id);
                assignment.remove(id);
                continue;
            }
            Map<String, Boolean> claims =
                    workers.stream()
                            .collect(
                                    Collectors.toMap(
                                            Peer::name,
                                            peer -> peer.jobHashes().contains(hash(id))));
            boolean wasAssigned = assignedJobIds.contains(id);
            boolean isAssigned = assignment.isAssignedHere(id, wasAssigned, claims, now);
            if (isAssigned != wasAssigned) {
                LogEvent.of(isAssigned ? "job.taken" : "job.left").with("job", id).info();
                network.onLocalChange();
            }
            if (isAssigned) {
                assignedJobIds.add(id);
            } else {
                assignedJobIds.remove(id);
            }
        }
    }

    private void stopInvalidRuns(long now) {
        for (ItemRun run : runs()) {
            JobProgress job = run.scheduledItem().job();
            if (job.hasEnded()) {
                stop(run, "the job was ended");
            } else if (job.openItem(run.item().item().id()).isEmpty()) {
                stop(run, "another worker has recorded the item");
            } else if (route(run.scheduledItem()).isEmpty()) {
                stop(run, "its route no longer exists");
            } else {
                run.checkStall(TARGET_SILENCE_TIMEOUT, now);
            }
        }
        giveUpExpired(now);
        giveUpOversized();
    }

    private void giveUpOversized() {
        PlanFeed.CurrentPlan currentPlan = plans.current();
        if (currentPlan == null || !currentPlan.plan().hasMemoryLimits()) {
            return;
        }
        List<ItemSchedule.ScheduledItem> oversized =
                scheduledItems(currentPlan.plan())
                        .filter(each -> !each.item().isRunning())
                        .filter(each -> isOversized(each, currentPlan.plan()))
                        .toList();
        oversized.forEach(
                each ->
                        giveUp(
                                each.job(),
                                each.item(),
                                each.item().item().tokens()
                                        + " tokens are more than any target of its service holds"));
    }

    private boolean isOversized(ItemSchedule.ScheduledItem item, ServingPlan plan) {
        return memory.exceedsAll(
                itemTargets.serviceGroup(item, plan).service(), item.item().item().countedTokens());
    }

    private Optional<RoutePlan> route(ItemSchedule.ScheduledItem scheduled) {
        PlanFeed.CurrentPlan currentPlan = plans.current();
        return currentPlan == null
                ? Optional.empty()
                : currentPlan
                        .plan()
                        .route(scheduled.job().spec().host(), scheduled.item().item().path());
    }

    /** Gives up items past their retention time and items whose route is missing for too long. */
    private void giveUpExpired(long now) {
        PlanFeed.CurrentPlan currentPlan = plans.current();
        if (currentPlan == null) {
            return;
        }
        long nowMs = System.currentTimeMillis();
        for (JobProgress job : assignedJobs().toList()) {
            List<ItemProgress> expired =
                    job.openItems()
                            .filter(item -> !item.isRunning())
                            .filter(item -> isExpired(currentPlan.plan(), job, item, nowMs, now))
                            .toList();
            expired.forEach(
                    item ->
                            giveUp(
                                    job,
                                    item,
                                    "its retention time has passed or its route no longer exists"));
        }
    }

    private boolean isExpired(
            ServingPlan plan, JobProgress job, ItemProgress item, long nowMs, long now) {
        Optional<RoutePlan> route = plan.route(job.spec().host(), item.item().path());
        String key = job.spec().id();
        if (route.isEmpty()) {
            return missingRoutes.onMissing(key, now);
        }
        missingRoutes.onFound(key);
        long retentionMs = route.get().retention().toMillis();
        return retentionMs > 0 && nowMs - job.spec().submittedMs() > retentionMs;
    }

    private void giveUp(JobProgress job, ItemProgress item, String reason) {
        LogEvent.of("item.given_up")
                .with("job", job.spec().id())
                .with("item", item.item().id())
                .with("reason", reason)
                .info();
        job.onResult(ItemResult.givenUp(item.item().id()));
        recorder.scheduleRecording(job);
    }

    private void preemptItems(long now) {
        if (running.isEmpty()) {
            return;
        }
        for (Map.Entry<Target, List<ItemRun>> each : List.copyOf(running.entrySet())) {
            Target target = each.getKey();
            int excess =
                    network.targetLoads().knownCalls(target.id(), now).total()
                            - target.registration().slots();
            int count =
                    PreemptionShare.itemsToPreempt(
                            instance,
                            each.getValue().size(),
                            network.targetLoads().batchItemsByInstance(target.id()),
                            excess);
            for (int i = 0; i < count; i++) {
                preemptOne(target);
            }
        }
    }

    private void preemptOne(Target target) {
        List<ItemRun> runs = running.getOrDefault(target, List.of());
        schedule.selectForPreemption(
                        runs.stream().map(ItemRun::scheduledItem).toList(),
                        System.currentTimeMillis())
                .flatMap(
                        scheduled ->
                                runs.stream()
                                        .filter(run -> run.scheduledItem() == scheduled)
                                        .findFirst())
                .ifPresent(run -> stop(run, "an online call needs the slot"));
    }

    private void startItems(long now) {
        PlanFeed.CurrentPlan currentPlan = plans.current();
        if (currentPlan == null) {
            return;
        }
        itemTargets.startOverItemsOfGoneVersions(
                scheduledItems(currentPlan.plan()), currentPlan.plan());
        Set<SlotDemand> unmetDemands = new HashSet<>();
        Optional<ItemSchedule.ScheduledItem> next =
                selectNext(currentPlan.plan(), unmetDemands, now);
        while (next.isPresent()) {
            tryStart(next.get(), currentPlan.plan(), now).ifPresent(unmetDemands::add);
            next = selectNext(currentPlan.plan(), unmetDemands, now);
        }
    }

    private Optional<ItemSchedule.ScheduledItem> selectNext(
            ServingPlan plan, Set<SlotDemand> unmetDemands, long now) {
        return schedule.selectNext(
                scheduledItems(plan).filter(each -> !unmetDemands.contains(slotDemand(each, plan))),
                now,
                System.currentTimeMillis());
    }

    private Stream<JobProgress> assignedJobs() {
        return assignedJobIds.stream().flatMap(id -> jobs.find(id).stream());
    }

    private Stream<ItemSchedule.ScheduledItem> scheduledItems(ServingPlan plan) {
        return assignedJobs()
                .flatMap(
                        job ->
                                job.openItems()
                                        .flatMap(item -> scheduledItem(plan, job, item).stream()));
    }

    private static Optional<ItemSchedule.ScheduledItem> scheduledItem(
            ServingPlan plan, JobProgress job, ItemProgress item) {
        return plan.route(job.spec().host(), item.item().path())
                .map(
                        route ->
                                new ItemSchedule.ScheduledItem(
                                        job,
                                        item,
                                        job.spec().submittedMs()
                                                + route.completionObjective().toMillis()));
    }

    /**
     * What an item needs of the target that runs it. Items with the same demand wait together.
     *
     * @param group the targets that may run the item
     * @param weights version of the weights that the target must have, empty if any will do
     */
    private record SlotDemand(TargetGroup group, Optional<String> weights) {}

    private SlotDemand slotDemand(ItemSchedule.ScheduledItem scheduled, ServingPlan plan) {
        return new SlotDemand(
                itemTargets.group(scheduled, plan),
                ItemTargets.expectedWeights(scheduled.item().item(), headers()));
    }

    /** Starts an item if there is a slot for it; otherwise returns what no slot satisfies. */
    private Optional<SlotDemand> tryStart(
            ItemSchedule.ScheduledItem scheduled, ServingPlan plan, long now) {
        Optional<String> fault = ItemTargets.findRequestFault(scheduled.item().item());
        if (fault.isPresent()) {
            giveUp(scheduled.job(), scheduled.item(), fault.get());
            return Optional.empty();
        }
        SlotDemand demand = slotDemand(scheduled, plan);
        TargetGroup group = demand.group();
        Optional<TargetLoad> slot = selectSlot(scheduled, group, now);
        if (slot.isEmpty() && group.softwareVersion().isPresent()) {
            slot = selectSlotToStartOver(scheduled, plan, now);
        }
        if (slot.isEmpty()) {
            return Optional.of(demand);
        }
        RoutePlan route =
                plan.route(scheduled.job().spec().host(), scheduled.item().item().path()).get();
        Target target = table.find(slot.get().id()).orElseThrow();
        slotSelector.onItemStarted(target.id(), now);
        start(new ItemRun(this, scheduled, route, target), now);
        return Optional.empty();
    }

    private Optional<TargetLoad> selectSlot(
            ItemSchedule.ScheduledItem scheduled, TargetGroup group, long now) {
        List<TargetLoad> loads =
                memory.fitting(
                        group.service(),
                        scheduled.item().item().countedTokens(),
                        itemTargets.offered(withExpectedWeights(scheduled, group, now), now),
                        now);
        Optional<TargetLoad> slot = slotSelector.select(loads, now);
        if (slot.isEmpty() && slotSelector.hasFreeSlot(loads)) {
            rescheduleAfter(NEXT_START_DELAY);
        }
        return slot;
    }

    private List<TargetLoad> withExpectedWeights(
            ItemSchedule.ScheduledItem scheduled, TargetGroup group, long now) {
        return weights.matching(
                ItemTargets.expectedWeights(scheduled.item().item(), headers()),
                table.usableLoads(group, Set.of(), now),
                now);
    }

    /** Finds a slot at another version for an item that has waited too long for its own. */
    private Optional<TargetLoad> selectSlotToStartOver(
            ItemSchedule.ScheduledItem scheduled, ServingPlan plan, long now) {
        if (!schedule.isStartingOverDue(scheduled.item(), now)) {
            return Optional.empty();
        }
        Optional<TargetLoad> slot =
                selectSlot(scheduled, itemTargets.serviceGroup(scheduled, plan), now);
        if (slot.isPresent()) {
            itemTargets.startOver(scheduled, "its version has no free slot");
        }
        return slot;
    }

    private void start(ItemRun run, long now) {
        run.item().setRunning(true);
        running.computeIfAbsent(run.target(), key -> new ArrayList<>()).add(run);
        network.targetLoads().onOwnCallsChanged(run.target().id(), ITEM_STARTED);
        run.holdMemory(memory, now);
        table.onRequest(run.target());
        network.onLocalChange();
        WorkerMetrics.setRunningItems(runs().size());
        run.start(client, httpCall(run), now);
    }

    private HttpCall httpCall(ItemRun run) {
        var item = run.item().item();
        var names = headers.names();
        List<Map.Entry<String, String>> own = new ArrayList<>();
        own.add(Map.entry("Host", run.scheduledItem().job().spec().host()));
        own.add(Map.entry(names.callId(), item.id()));
        own.add(Map.entry(names.team(), run.scheduledItem().job().spec().team()));
        own.add(Map.entry(names.expectedTarget(), run.target().id()));
        run.item()
                .lastEventId()
                .ifPresent(id -> own.add(Map.entry(names.lastEventId(), Long.toString(id))));
        return new HttpCall(
                run.target().registration().host(),
                run.target().registration().port(),
                "POST",
                item.path(),
                headers.toTarget(item.headers().entrySet(), own),
                item.body(),
                TARGET_SILENCE_TIMEOUT,
                false);
    }

    HeaderNames headers() {
        return headers.names();
    }

    PeerNetwork network() {
        return network;
    }

    TargetTable table() {
        return table;
    }

    private void stop(ItemRun run, String reason) {
        WorkerMetrics.countRun("stopped");
        run.cancel();
        releaseSlot(run, reason);
    }

    /** Frees the slot of a run; returns false if it was freed before. */
    private boolean releaseSlot(ItemRun run, String reason) {
        List<ItemRun> runs = running.get(run.target());
        if (runs == null || !runs.remove(run)) {
            return false;
        }
        if (runs.isEmpty()) {
            running.remove(run.target());
        }
        run.item().onRunEnded(System.nanoTime());
        run.freeMemory(memory);
        network.targetLoads().onOwnCallsChanged(run.target().id(), ITEM_ENDED);
        network.onSlotFreed();
        WorkerMetrics.setRunningItems(runs().size());
        LogEvent.of("item.run_ended")
                .with("job", run.scheduledItem().job().spec().id())
                .with("item", run.item().item().id())
                .with("target", run.target().id())
                .with("version", run.softwareVersion().version())
                .with("how", reason)
                .with("events", run.item().eventCount())
                .with("ms", TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - run.startedAt()))
                .info();
        return true;
    }

    boolean isRunning(ItemRun run) {
        return running.getOrDefault(run.target(), List.of()).contains(run);
    }

    /** The target completed the item. */
    void onCompleted(ItemRun run) {
        WorkerMetrics.countRun("done");
        Duration runTime = Duration.ofNanos(System.nanoTime() - run.startedAt());
        schedule.onItemCompleted(run.item().eventCount(), run.eventCount(), runTime);
        releaseSlot(run, "done");
        JobProgress job = run.scheduledItem().job();
        job.onResult(ItemResult.completed(run.item().item().id(), run.item().output()));
        recorder.scheduleRecording(job);
        reschedule();
    }

    /** The target refused the item without running it. */
    void onRefused(ItemRun run, String reason) {
        WorkerMetrics.countRun("refused");
        releaseSlot(run, reason);
        run.item().delayUntil(System.nanoTime() + REFUSAL_BACKOFF.toNanos());
        rescheduleAfter(REFUSAL_BACKOFF);
    }

    /** The target ran the item and answered with an error. */
    void onFailed(ItemRun run, int status, boolean isPermanent) {
        WorkerMetrics.countRun("failed");
        releaseSlot(run, "status " + status);
        int failures = run.item().onFailedRun();
        run.item().discardOutput();
        if (isPermanent || failures >= run.route().maxAttempts()) {
            giveUp(
                    run.scheduledItem().job(),
                    run.item(),
                    "status " + status + ", failures " + failures);
        } else {
            run.item().delayUntil(System.nanoTime() + FAILURE_BACKOFF.toNanos());
            rescheduleAfter(FAILURE_BACKOFF);
        }
    }

    /**
     * A run ended without showing whether the output was complete. If the next one does so too,
     * only a run from the start shows where the output ends.
     */
    void onUnprovenEnd(ItemRun run) {
        if (run.item().interruptions() > 1 && run.item().lastEventId().isPresent()) {
            itemTargets.startOver(run.scheduledItem(), "its targets don't show where it ends");
        }
    }

    /** The run was interrupted; the next one resumes after the last event. */
    void onInterrupted(ItemRun run, String reason) {
        WorkerMetrics.countRun("cut");
        releaseSlot(run, reason);
        Duration pause = InterruptionPause.after(run.item().onRunInterrupted());
        run.item().delayUntil(System.nanoTime() + pause.toNanos());
        rescheduleAfter(NEXT_START_DELAY);
    }
}
