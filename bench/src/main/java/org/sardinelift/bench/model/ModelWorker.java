package org.sardinelift.bench.model;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.sardinelift.core.joblog.ItemProgress;
import org.sardinelift.core.joblog.ItemResult;
import org.sardinelift.core.joblog.ItemSchedule;
import org.sardinelift.core.joblog.JobItem;
import org.sardinelift.core.joblog.JobProgress;
import org.sardinelift.core.joblog.JobSpec;
import org.sardinelift.core.joblog.PreemptionShare;
import org.sardinelift.core.load.BatchSlotSelector;
import org.sardinelift.core.load.LoadTracker;
import org.sardinelift.core.load.TargetCalls;
import org.sardinelift.core.load.TargetLoad;
import org.sardinelift.core.quota.AdmittedCount;

/** A simulated worker: runs the items of its jobs with the product's own decisions. */
final class ModelWorker {
    private static final long JOB_TIME_LIMIT_MS = 18_000;
    private static final long POLL_INTERVAL_NANOS = 6 * LoadModel.NANOS_PER_MILLI;
    private static final int TYPICAL_EVENTS = 200;

    private final String name;
    private final String zone;
    private final LoadModel model;
    private final LoadTracker loadTracker = LoadModel.newLoadTracker();
    private final ModelRateLimits rateLimits;
    private final BatchSlotSelector slots;
    private final ItemSchedule schedule =
            ItemSchedule.of(TYPICAL_EVENTS, Duration.ofMillis(27), Duration.ofMillis(400));
    private final List<JobProgress> jobs = new ArrayList<>();
    private final Map<String, Integer> sizes = new HashMap<>();
    private final Map<String, List<RunningItem>> runningByTarget = new HashMap<>();
    private int submitted;

    private record RunningItem(ItemSchedule.ScheduledItem scheduled, ModelRun run) {}

    ModelWorker(String name, String zone, LoadModel model) {
        this.name = name;
        this.zone = zone;
        this.model = model;
        this.rateLimits = model.newRateLimits();
        this.slots =
                BatchSlotSelector.of(
                        zone, Duration.ofMillis(40), Duration.ofMillis(150), Duration.ofMillis(6));
    }

    String name() {
        return name;
    }

    String zone() {
        return zone;
    }

    void start() {
        poll();
    }

    private void poll() {
        startItems();
        model.clock().schedule(model.clock().now() + POLL_INTERVAL_NANOS, this::poll);
    }

    void onJob(List<Integer> itemSizes) {
        String id = name + "-j" + submitted++;
        List<JobItem> items =
                IntStream.range(0, itemSizes.size())
                        .mapToObj(i -> new JobItem(id + "-" + i, "/", Map.of(), new byte[0], 0))
                        .toList();
        IntStream.range(0, itemSizes.size())
                .forEach(i -> sizes.put(items.get(i).id(), itemSizes.get(i)));
        items.forEach(item -> model.result().onItemSubmitted());
        jobs.add(JobProgress.of(new JobSpec(id, "team", "route", "host", nowMs(), items)));
    }

    void onReport(
            String instance, Map<String, TargetCalls> calls, Map<String, AdmittedCount> requests) {
        loadTracker.onReport(instance, calls, model.clock().now());
        rateLimits.onReport(instance, requests, model.clock().now());
        observe();
        preemptExcess();
    }

    private void observe() {
        slots.observe(model.loads(loadTracker, rateLimits), model.clock().now());
    }

    private void startItems() {
        observe();
        preemptExcess();
        long now = model.clock().now();
        boolean hasNext = true;
        while (hasNext) {
            Optional<TargetLoad> slot = slots.select(model.loads(loadTracker, rateLimits), now);
            Optional<ItemSchedule.ScheduledItem> next =
                    slot.isEmpty() ? Optional.empty() : schedule.selectNext(items(), now, nowMs());
            hasNext = next.isPresent();
            next.ifPresent(scheduled -> startItem(scheduled, model.target(slot.get().id())));
        }
    }

    private Stream<ItemSchedule.ScheduledItem> items() {
        return jobs.stream()
                .flatMap(
                        job ->
                                job.openItems()
                                        .map(
                                                item ->
                                                        new ItemSchedule.ScheduledItem(
                                                                job,
                                                                item,
                                                                job.spec().submittedMs()
                                                                        + JOB_TIME_LIMIT_MS)));
    }

    private void startItem(ItemSchedule.ScheduledItem scheduled, ModelTarget target) {
        long startedAt = model.clock().now();
        rateLimits.onRequest(target.id(), startedAt);
        slots.onItemStarted(target.id(), startedAt);
        scheduled.item().setRunning(true);
        changeCalls(target, 1);
        ItemProgress item = scheduled.item();
        int eventsLeft = Math.max(1, sizes.get(item.item().id()) - item.eventCount());
        ModelRun[] run = new ModelRun[1];
        run[0] =
                new ModelRun(
                        true,
                        eventsLeft,
                        now -> {
                            runningByTarget.get(target.id()).removeIf(each -> each.run() == run[0]);
                            onDone(scheduled, target, eventsLeft, now - startedAt);
                        });
        runningByTarget
                .computeIfAbsent(target.id(), key -> new ArrayList<>())
                .add(new RunningItem(scheduled, run[0]));
        target.enqueue(run[0]);
    }

    private void onDone(
            ItemSchedule.ScheduledItem scheduled, ModelTarget target, int events, long nanos) {
        changeCalls(target, -1);
        scheduled.item().setRunning(false);
        schedule.onItemCompleted(
                sizes.get(scheduled.item().item().id()), events, Duration.ofNanos(nanos));
        scheduled.job().onResult(ItemResult.completed(scheduled.item().item().id(), ""));
        model.result().onItemCompleted(nowMs() <= scheduled.dueMs());
    }

    private void preemptExcess() {
        for (Map.Entry<String, List<RunningItem>> each : runningByTarget.entrySet()) {
            ModelTarget target = model.target(each.getKey());
            int excess =
                    loadTracker.knownCalls(target.id(), model.clock().now()).total()
                            - target.slots();
            int count =
                    PreemptionShare.itemsToPreempt(
                            name,
                            each.getValue().size(),
                            loadTracker.batchItemsByInstance(target.id()),
                            excess);
            IntStream.range(0, count).forEach(i -> preemptOne(target, each.getValue()));
        }
    }

    private void preemptOne(ModelTarget target, List<RunningItem> runs) {
        ItemSchedule.ScheduledItem selected =
                schedule.selectForPreemption(
                                runs.stream().map(RunningItem::scheduled).toList(), nowMs())
                        .orElseThrow();
        RunningItem preempted =
                runs.stream().filter(run -> run.scheduled() == selected).findFirst().orElseThrow();
        runs.remove(preempted);
        int events = preempted.run().eventsSent(model.clock().now());
        IntStream.range(0, events).forEach(i -> selected.item().onEvent(i, ""));
        selected.item().setRunning(false);
        target.cancel(preempted.run());
        changeCalls(target, -1);
        model.result().onPreemption();
    }

    private void changeCalls(ModelTarget target, int change) {
        loadTracker.onOwnCallsChanged(target.id(), new TargetCalls(0, change));
        model.report(name, zone, loadTracker, rateLimits, change < 0);
    }

    private long nowMs() {
        return model.clock().now() / LoadModel.NANOS_PER_MILLI;
    }
}
