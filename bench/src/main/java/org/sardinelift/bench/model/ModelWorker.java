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

/** A worker of the model: runs the items of its jobs with the product's decisions. */
final class ModelWorker {
    private static final long DUE_MS = 18_000;
    private static final long LOOK = 6 * LoadModel.MILLI;
    private static final int USUAL_EVENTS = 200;

    private final String name;
    private final String zone;
    private final LoadModel model;
    private final LoadTracker board = LoadModel.board();
    private final BatchSlotSelector slots;
    private final ItemSchedule schedule =
            ItemSchedule.of(USUAL_EVENTS, Duration.ofMillis(27), Duration.ofMillis(400));
    private final List<JobProgress> jobs = new ArrayList<>();
    private final Map<String, Integer> sizes = new HashMap<>();
    private final Map<String, List<Running>> running = new HashMap<>();
    private int submitted;

    private record Running(ItemSchedule.ScheduledItem due, ModelRun run) {}

    ModelWorker(String name, String zone, LoadModel model) {
        this.name = name;
        this.zone = zone;
        this.model = model;
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
        look();
    }

    private void look() {
        pump();
        model.clock().at(model.clock().now() + LOOK, this::look);
    }

    void onJob(List<Integer> itemSizes) {
        String id = name + "-j" + submitted++;
        List<JobItem> items =
                IntStream.range(0, itemSizes.size())
                        .mapToObj(i -> new JobItem(id + "-" + i, "/", Map.of(), new byte[0]))
                        .toList();
        IntStream.range(0, itemSizes.size())
                .forEach(i -> sizes.put(items.get(i).id(), itemSizes.get(i)));
        items.forEach(item -> model.result().onItem());
        jobs.add(JobProgress.of(new JobSpec(id, "team", "route", "host", nowMs(), items)));
    }

    void onReport(String instance, Map<String, TargetCalls> uses) {
        board.onReport(instance, uses, model.clock().now());
        observe();
        yieldSlots();
    }

    private void observe() {
        slots.observe(model.loads(board), model.clock().now());
    }

    private void pump() {
        observe();
        yieldSlots();
        long now = model.clock().now();
        boolean more = true;
        while (more) {
            Optional<TargetLoad> slot = slots.select(model.loads(board), now);
            Optional<ItemSchedule.ScheduledItem> next =
                    slot.isEmpty() ? Optional.empty() : schedule.selectNext(items(), now, nowMs());
            more = next.isPresent();
            next.ifPresent(due -> startItem(due, model.target(slot.get().id())));
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
                                                                        + DUE_MS)));
    }

    private void startItem(ItemSchedule.ScheduledItem due, ModelTarget target) {
        long startedAt = model.clock().now();
        slots.onItemStarted(target.id(), startedAt);
        due.item().setRunning(true);
        use(target, 1);
        ItemProgress item = due.item();
        int left = Math.max(1, sizes.get(item.item().id()) - item.eventCount());
        ModelRun[] run = new ModelRun[1];
        run[0] =
                new ModelRun(
                        true,
                        left,
                        now -> {
                            running.get(target.id()).removeIf(each -> each.run() == run[0]);
                            onDone(due, target, left, now - startedAt);
                        });
        running.computeIfAbsent(target.id(), key -> new ArrayList<>())
                .add(new Running(due, run[0]));
        target.send(run[0]);
    }

    private void onDone(
            ItemSchedule.ScheduledItem due, ModelTarget target, int events, long nanos) {
        use(target, -1);
        due.item().setRunning(false);
        schedule.onItemCompleted(
                sizes.get(due.item().item().id()), events, Duration.ofNanos(nanos));
        due.job().onResult(ItemResult.completed(due.item().item().id(), ""));
        model.result().onItemDone(nowMs() <= due.dueMs());
    }

    private void yieldSlots() {
        for (Map.Entry<String, List<Running>> each : running.entrySet()) {
            ModelTarget target = model.target(each.getKey());
            int excess =
                    board.knownCalls(target.id(), model.clock().now()).total() - target.slots();
            int share =
                    PreemptionShare.itemsToPreempt(
                            name,
                            each.getValue().size(),
                            board.batchItemsByInstance(target.id()),
                            excess);
            IntStream.range(0, share).forEach(i -> yieldOne(target, each.getValue()));
        }
    }

    private void yieldOne(ModelTarget target, List<Running> runs) {
        ItemSchedule.ScheduledItem chosen =
                schedule.selectForPreemption(runs.stream().map(Running::due).toList(), nowMs())
                        .orElseThrow();
        Running cut = runs.stream().filter(run -> run.due() == chosen).findFirst().orElseThrow();
        runs.remove(cut);
        int events = cut.run().events(model.clock().now());
        IntStream.range(0, events).forEach(i -> chosen.item().onEvent(i, ""));
        chosen.item().setRunning(false);
        target.drop(cut.run());
        use(target, -1);
        model.result().onCut();
    }

    private void use(ModelTarget target, int change) {
        board.onOwnCallsChanged(target.id(), new TargetCalls(0, change));
        model.report(name, zone, board, change < 0);
    }

    private long nowMs() {
        return model.clock().now() / LoadModel.MILLI;
    }
}
