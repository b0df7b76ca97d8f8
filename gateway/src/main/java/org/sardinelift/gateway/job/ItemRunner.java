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
import org.sardinelift.core.joblog.ItemProgress;
import org.sardinelift.core.joblog.ItemResult;
import org.sardinelift.core.joblog.ItemSchedule;
import org.sardinelift.core.joblog.JobAssignment;
import org.sardinelift.core.joblog.JobProgress;
import org.sardinelift.core.joblog.PreemptionShare;
import org.sardinelift.core.load.BatchSlotSelector;
import org.sardinelift.core.load.TargetCalls;
import org.sardinelift.core.load.TargetLoad;
import org.sardinelift.core.peer.Peer;
import org.sardinelift.core.peer.PeerRole;
import org.sardinelift.core.plan.RoutePlan;
import org.sardinelift.core.plan.ServingPlan;
import org.sardinelift.gateway.HeaderNames;
import org.sardinelift.gateway.call.TargetTable;
import org.sardinelift.gateway.call.TargetTable.Target;
import org.sardinelift.gateway.feed.PlanFeed;
import org.sardinelift.gateway.peer.PeerNetwork;
import org.sardinelift.http.HttpCall;
import org.sardinelift.http.HttpClient;
import org.sardinelift.runtime.log.Event;

/**
 * Runs the items of the jobs that fall to this worker in the slots that online calls leave, and
 * takes them away where online calls need these slots. On the event loop.
 */
final class ItemRunner implements PeerNetwork.Listener {
    private static final TargetCalls ONE_ITEM = new TargetCalls(0, 1);
    private static final TargetCalls ONE_ITEM_LESS = new TargetCalls(0, -1);

    /** Time for the start of an item to be reported before the next one on the same target. */
    private static final Duration NEXT_START = Duration.ofMillis(6);

    /** Several times the longest pause that a target makes between events, prefill included. */
    private static final Duration SILENCE = Duration.ofMillis(1_200);

    private static final Duration AFTER_REFUSAL = Duration.ofMillis(100);
    private static final Duration AFTER_FAILURE = Duration.ofMillis(200);
    private static final Duration LONGEST_PAUSE = Duration.ofSeconds(8);

    /** Cuts in a row from which an item is suspected to break the targets that run it. */
    private static final int CUTS_TO_SUSPECT = 3;

    /** Time for which a route must be missing before the items of its jobs are given up. */
    private static final Duration ROUTE_GONE = Duration.ofSeconds(5);

    /** Until runs have shown it: an output of some hundred events, decoded with all slots taken. */
    private static final int USUAL_EVENTS = 200;

    private static final Duration USUAL_EVENT = Duration.ofMillis(27);

    /** Time for a result to be recorded, seen by the other workers and read. */
    private static final Duration UNTIL_READ = Duration.ofMillis(400);

    /** Longer than the gap between two online calls on a busy slot. */
    private static final Duration SETTLE = Duration.ofMillis(40);

    /** Time for the workers of the target's zone to take the slot first. */
    private static final Duration SETTLE_FAR = Duration.ofMillis(150);

    private final String instance;
    private final JobRegistry book;
    private final JobRecorder recorder;
    private final TargetTable table;
    private final PeerNetwork network;
    private final HttpClient client;
    private final EventLoop loop;
    private final PlanFeed plans;
    private final HeaderNames headers;
    private final JobAssignment assignment;
    private final ItemSchedule schedule = ItemSchedule.of(USUAL_EVENTS, USUAL_EVENT, UNTIL_READ);
    private final BatchSlotSelector slots;
    private final Set<String> mine = new HashSet<>();
    private final Map<Target, List<ItemRun>> running = new HashMap<>();
    private final Map<String, Long> routeMissingSince = new HashMap<>();
    private boolean pumpPending;
    private boolean leaving;

    ItemRunner(
            String instance,
            String zone,
            JobRegistry book,
            JobRecorder recorder,
            TargetTable table,
            PeerNetwork network,
            HttpClient client,
            EventLoop loop,
            PlanFeed plans,
            HeaderNames headers) {
        this.instance = instance;
        this.book = book;
        this.recorder = recorder;
        this.table = table;
        this.network = network;
        this.client = client;
        this.loop = loop;
        this.plans = plans;
        this.headers = headers;
        this.slots = BatchSlotSelector.of(zone, SETTLE, SETTLE_FAR, NEXT_START);
        this.assignment = JobAssignment.of(instance, NEXT_START.multipliedBy(50));
    }

    /** Hashes of the jobs that run here, for the reports. */
    Collection<Long> assignedJobHashes() {
        return leaving ? List.of() : mine.stream().map(ItemRunner::hash).toList();
    }

    /** Stands for a job in reports. */
    static long hash(String job) {
        return org.sardinelift.core.route.Rendezvous.weight(job, "");
    }

    /** A job was accepted here, so that it runs here. */
    void claim(JobProgress job) {
        if (!leaving && mine.add(job.spec().id())) {
            network.onLocalChange();
        }
        reschedule();
    }

    /** This worker is about to stop: others take its jobs. */
    void handOverJobs() {
        leaving = true;
        mine.clear();
        runs().forEach(run -> stop(run, "leaving"));
        network.onLocalChange();
    }

    /** This worker stays after all, and takes jobs again. */
    void resumeJobs() {
        leaving = false;
        network.onLocalChange();
        reschedule();
    }

    /** Whether nothing runs here. */
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
        yieldSlots(now);
        pumpLater(NEXT_START);
    }

    /** Something has changed that may let items start or make them stop. */
    void reschedule() {
        if (leaving) {
            return;
        }
        long now = System.nanoTime();
        observeSlots(now);
        assign(now);
        stopWhatMustNotRun(now);
        yieldSlots(now);
        startItems(now);
    }

    private void observeSlots(long now) {
        slots.observe(table.usableLoads(now), now);
    }

    private void pumpLater(Duration pause) {
        if (!pumpPending) {
            pumpPending = true;
            loop.schedule(
                    () -> {
                        pumpPending = false;
                        reschedule();
                    },
                    pause.toNanos(),
                    TimeUnit.NANOSECONDS);
        }
    }

    private void assign(long now) {
        List<Peer> workers = network.peers().livePeers(PeerRole.WORKER, now).toList();
        for (JobProgress job : book.all()) {
            String id = job.spec().id();
            if (job.isClosed()) {
                mine.remove(id);
                assignment.forget(id);
                continue;
            }
            Map<String, Boolean> claims =
                    workers.stream()
                            .collect(
                                    Collectors.toMap(
                                            Peer::name,
                                            peer -> peer.jobHashes().contains(hash(id))));
            boolean before = mine.contains(id);
            boolean here = assignment.isAssignedHere(id, before, claims, now);
            if (here != before) {
                Event.of(here ? "job.taken" : "job.left").with("job", id).info();
                network.onLocalChange();
            }
            if (here) {
                mine.add(id);
            } else {
                mine.remove(id);
            }
        }
    }

    private void stopWhatMustNotRun(long now) {
        for (ItemRun run : runs()) {
            JobProgress job = run.due().job();
            if (job.hasEnded()) {
                stop(run, "the job was ended");
            } else if (job.openItem(run.item().item().id()).isEmpty()) {
                stop(run, "another worker has recorded the item");
            } else if (route(run.due()).isEmpty()) {
                stop(run, "its route is gone");
            }
        }
        giveUpOld(now);
    }

    private Optional<RoutePlan> route(ItemSchedule.ScheduledItem due) {
        PlanFeed.CurrentPlan held = plans.current();
        return held == null
                ? Optional.empty()
                : held.plan().route(due.job().spec().host(), due.item().item().path());
    }

    /** Items whose time is up, and those whose route has gone for good. */
    private void giveUpOld(long now) {
        PlanFeed.CurrentPlan held = plans.current();
        if (held == null) {
            return;
        }
        long nowMs = System.currentTimeMillis();
        for (JobProgress job : myJobs().toList()) {
            List<ItemProgress> old =
                    job.openItems()
                            .filter(item -> !item.isRunning())
                            .filter(item -> isUp(held.plan(), job, item, nowMs, now))
                            .toList();
            old.forEach(item -> giveUp(job, item, "its time or its route is gone"));
        }
    }

    private boolean isUp(
            ServingPlan plan, JobProgress job, ItemProgress item, long nowMs, long now) {
        Optional<RoutePlan> route = plan.route(job.spec().host(), item.item().path());
        String key = job.spec().id();
        if (route.isEmpty()) {
            long since = routeMissingSince.computeIfAbsent(key, missing -> now);
            return now - since >= ROUTE_GONE.toNanos();
        }
        routeMissingSince.remove(key);
        long keepMs = route.get().retention().toMillis();
        return keepMs > 0 && nowMs - job.spec().submittedMs() > keepMs;
    }

    private void giveUp(JobProgress job, ItemProgress item, String reason) {
        Event.of("item.given_up")
                .with("job", job.spec().id())
                .with("item", item.item().id())
                .with("reason", reason)
                .info();
        job.onResult(ItemResult.givenUp(item.item().id()));
        recorder.scheduleRecording(job);
    }

    private void yieldSlots(long now) {
        if (running.isEmpty()) {
            return;
        }
        for (Map.Entry<Target, List<ItemRun>> each : List.copyOf(running.entrySet())) {
            Target target = each.getKey();
            int excess =
                    network.targetLoads().knownCalls(target.id(), now).total()
                            - target.entry().slots();
            int share =
                    PreemptionShare.itemsToPreempt(
                            instance,
                            each.getValue().size(),
                            network.targetLoads().batchItemsByInstance(target.id()),
                            excess);
            for (int i = 0; i < share; i++) {
                yieldOne(target);
            }
        }
    }

    private void yieldOne(Target target) {
        List<ItemRun> runs = running.getOrDefault(target, List.of());
        schedule.selectForPreemption(
                        runs.stream().map(ItemRun::due).toList(), System.currentTimeMillis())
                .flatMap(due -> runs.stream().filter(run -> run.due() == due).findFirst())
                .ifPresent(run -> stop(run, "an online call needs the slot"));
    }

    private void startItems(long now) {
        PlanFeed.CurrentPlan held = plans.current();
        if (held == null) {
            return;
        }
        boolean more = true;
        while (more) {
            Optional<ItemSchedule.ScheduledItem> next =
                    schedule.selectNext(dueItems(held.plan()), now, System.currentTimeMillis());
            more = next.isPresent() && startOne(next.get(), held.plan(), now);
        }
    }

    private Stream<JobProgress> myJobs() {
        return mine.stream().flatMap(id -> book.find(id).stream());
    }

    private Stream<ItemSchedule.ScheduledItem> dueItems(ServingPlan plan) {
        return myJobs().flatMap(
                        job -> job.openItems().flatMap(item -> due(plan, job, item).stream()));
    }

    private static Optional<ItemSchedule.ScheduledItem> due(
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

    /** Starts an item where there is a slot for it. */
    private boolean startOne(ItemSchedule.ScheduledItem due, ServingPlan plan, long now) {
        RoutePlan route = plan.route(due.job().spec().host(), due.item().item().path()).get();
        String service = route.selectService(hash(due.item().item().id())).orElse("");
        List<TargetLoad> loads = table.usableLoads(service, Set.of(), now);
        Optional<TargetLoad> slot = slots.select(loads, now);
        if (slot.isEmpty()) {
            if (slots.hasFreeSlot(loads)) {
                pumpLater(NEXT_START);
            }
            return false;
        }
        Target target = table.find(slot.get().id()).orElseThrow();
        slots.onItemStarted(target.id(), now);
        start(new ItemRun(this, due, route, target), now);
        return true;
    }

    private void start(ItemRun run, long now) {
        run.item().setRunning(true);
        running.computeIfAbsent(run.target(), key -> new ArrayList<>()).add(run);
        network.targetLoads().onOwnCallsChanged(run.target().id(), ONE_ITEM);
        network.onLocalChange();
        WorkerMetrics.setRunningItems(runs().size());
        run.start(client, httpCall(run), now);
    }

    private HttpCall httpCall(ItemRun run) {
        var item = run.item().item();
        List<Map.Entry<String, String>> fields = new ArrayList<>();
        fields.add(Map.entry("Host", run.due().job().spec().host()));
        item.headers().forEach((name, value) -> fields.add(Map.entry(name, value)));
        fields.add(Map.entry(headers.callId(), item.id()));
        fields.add(Map.entry(headers.team(), run.due().job().spec().team()));
        fields.add(Map.entry(headers.expectedTarget(), run.target().id()));
        run.item()
                .lastEventId()
                .ifPresent(id -> fields.add(Map.entry(headers.lastEventId(), Long.toString(id))));
        return new HttpCall(
                run.target().entry().host(),
                run.target().entry().port(),
                "POST",
                item.path(),
                fields,
                item.body(),
                SILENCE,
                false);
    }

    HeaderNames headers() {
        return headers;
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
        release(run, reason);
    }

    /** Frees the slot of a run; false where it was freed before. */
    private boolean release(ItemRun run, String how) {
        List<ItemRun> runs = running.get(run.target());
        if (runs == null || !runs.remove(run)) {
            return false;
        }
        if (runs.isEmpty()) {
            running.remove(run.target());
        }
        run.item().setRunning(false);
        network.targetLoads().onOwnCallsChanged(run.target().id(), ONE_ITEM_LESS);
        network.onSlotFreed();
        WorkerMetrics.setRunningItems(runs().size());
        Event.of("item.run_ended")
                .with("job", run.due().job().spec().id())
                .with("item", run.item().item().id())
                .with("target", run.target().id())
                .with("how", how)
                .with("events", run.item().eventCount())
                .with("ms", TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - run.startedAt()))
                .info();
        return true;
    }

    boolean isRunning(ItemRun run) {
        return running.getOrDefault(run.target(), List.of()).contains(run);
    }

    /** The target ran the item to its end. */
    void onCompleted(ItemRun run) {
        WorkerMetrics.countRun("done");
        Duration ran = Duration.ofNanos(System.nanoTime() - run.startedAt());
        schedule.onItemCompleted(run.item().eventCount(), run.events(), ran);
        release(run, "done");
        JobProgress job = run.due().job();
        job.onResult(ItemResult.completed(run.item().item().id(), run.item().output()));
        recorder.scheduleRecording(job);
        reschedule();
    }

    /** The target refused the item without running it. */
    void onRefused(ItemRun run, String reason) {
        WorkerMetrics.countRun("refused");
        release(run, reason);
        run.item().delayUntil(System.nanoTime() + AFTER_REFUSAL.toNanos());
        pumpLater(AFTER_REFUSAL);
    }

    /** The target ran the item and failed. */
    void onFailed(ItemRun run, int status, boolean hopeless) {
        WorkerMetrics.countRun("failed");
        release(run, "status " + status);
        int failures = run.item().onFailedRun();
        run.item().discardOutput();
        if (hopeless || failures >= run.route().maxAttempts()) {
            giveUp(run.due().job(), run.item(), "status " + status + ", failures " + failures);
        } else {
            run.item().delayUntil(System.nanoTime() + AFTER_FAILURE.toNanos());
            pumpLater(AFTER_FAILURE);
        }
    }

    /** The run broke off; the item goes on from its last event. */
    void onInterrupted(ItemRun run, String reason) {
        WorkerMetrics.countRun("cut");
        release(run, reason);
        int cuts = run.item().onRunInterrupted();
        long pause =
                cuts < CUTS_TO_SUSPECT
                        ? 0
                        : Math.min(
                                LONGEST_PAUSE.toNanos(),
                                AFTER_FAILURE.toNanos() << Math.min(10, cuts));
        run.item().delayUntil(System.nanoTime() + pause);
        pumpLater(NEXT_START);
    }
}
