package org.sardinelift.entry.batch;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.sardinelift.core.batch.BatchScheduler;
import org.sardinelift.core.batch.Holder;
import org.sardinelift.core.batch.JobState;
import org.sardinelift.core.batch.LaneShares;
import org.sardinelift.core.catalog.Catalog;
import org.sardinelift.core.catalog.TeamPlan;
import org.sardinelift.core.outcome.Problem;
import org.sardinelift.core.outcome.ProblemKind;
import org.sardinelift.entry.call.CallDispatcher;

/** Runs the items of the jobs that this entry holds, within limits of memory and free slots. */
final class BatchWorker {
    /** Divisor of the step by which each smaller chunk lowers the estimated chunk size. */
    private static final int CHUNK_SIZE_DECAY_DIVISOR = 16;

    private final JobStore store;
    private final BatchSettings settings;
    private final CallDispatcher dispatcher;
    private final Supplier<Catalog> catalog;
    private final LeaseRenewer lease;
    private final LaneShares shares;
    private final JobRunListener listener;
    private final LaneLoads laneLoads = new LaneLoads();
    private final Map<String, JobRun> runs = new HashMap<>();
    private final BatchScheduler<ItemRun> scheduler = BatchScheduler.create();
    private final Holder self;
    private long writeIds;
    private long chunkBytes;
    private int runningCalls;
    private boolean isDraining;
    private boolean isLoadScheduled;
    private boolean isDispatchScheduled;

    BatchWorker(
            JobStore store,
            BatchSettings settings,
            CallDispatcher dispatcher,
            Supplier<Catalog> catalog,
            Holder self,
            LeaseRenewer lease,
            LaneShares shares,
            JobRunListener listener) {
        this.store = store;
        this.settings = settings;
        this.dispatcher = dispatcher;
        this.catalog = catalog;
        this.self = self;
        this.lease = lease;
        this.shares = shares;
        this.listener = listener;
    }

    /** Is notified of job runs that have ended. */
    interface JobRunListener {
        void onRunEnded(JobRun run, JobState state);
    }

    void start() {
        control().repeat(settings.pumpPeriod(), this::dispatchItems);
    }

    JobStore store() {
        return store;
    }

    BatchControl control() {
        return store.control();
    }

    BatchSettings settings() {
        return settings;
    }

    Map<String, JobRun> runs() {
        return runs;
    }

    /** Returns an identifier for result objects that no other attempt uses. */
    String nextWriteId(long fence) {
        writeIds++;
        return fence + "-" + self.incarnation() + "-" + writeIds;
    }

    void startJob(JobHeader header, JobStateUpdater stateUpdater, JobState claimed) {
        JobRun run = new JobRun(this, header, stateUpdater, claimed);
        runs.put(header.id(), run);
        run.start();
    }

    void onRunEnded(JobRun run, JobState state) {
        runs.remove(run.header().id(), run);
        listener.onRunEnded(run, state);
        scheduleLoad();
    }

    /** Confirms every claim after the lease had lapsed. */
    void confirmClaims() {
        List.copyOf(runs.values()).forEach(JobRun::confirmClaim);
    }

    /** Stops loading chunks. */
    void drain() {
        isDraining = true;
    }

    boolean isIdle() {
        return runs.values().stream().allMatch(run -> run.chunksInMemory() == 0);
    }

    /** Parses the lines of a chunk with the current catalog, off the control thread. */
    void parseChunk(JobHeader header, String chunk, Consumer<List<BatchItem>> done) {
        control()
                .offload(
                        () -> {
                            List<BatchItem> items = parseLines(header, chunk);
                            control().execute(() -> done.accept(items));
                        });
    }

    private List<BatchItem> parseLines(JobHeader header, String chunk) {
        ItemParser parser = new ItemParser(catalog.get(), plan(header.team()));
        return chunk.lines()
                .map(
                        line -> {
                            ItemParser.ParsedLine parsed = parser.parse(line);
                            return parsed instanceof ItemParser.ParsedLine.Valid valid
                                    ? valid.item()
                                    : unroutable((ItemParser.ParsedLine.Invalid) parsed, line);
                        })
                .toList();
    }

    private static BatchItem unroutable(ItemParser.ParsedLine.Invalid invalid, String line) {
        return BatchItem.unroutable(invalid.customId(), invalid.reason(), line);
    }

    private TeamPlan plan(String team) {
        return Optional.ofNullable(catalog.get().teams().get(team))
                .orElseGet(() -> new TeamPlan(team, 0, 0, Set.of(), Set.of(), 1, 1));
    }

    void enqueue(ItemRun item) {
        JobHeader header = item.run().header();
        scheduler.add(
                header.team(),
                plan(header.team()).batchWeight(),
                header.id(),
                header.dueMs(),
                lane(item.item()),
                item.item().prefixGroup(),
                item);
    }

    void removeQueued(JobRun run) {
        scheduler.removeJob(run.header().team(), run.header().id());
    }

    void scheduleLoad() {
        if (!isLoadScheduled) {
            isLoadScheduled = true;
            control().execute(this::loadChunks);
        }
    }

    private void loadChunks() {
        isLoadScheduled = false;
        if (isDraining || catalog.get().revision() == 0) {
            return;
        }
        int inMemory = runs.values().stream().mapToInt(JobRun::chunksInMemory).sum();
        while (inMemory < chunkLimit()) {
            Map<String, Integer> byTeam = new HashMap<>();
            runs.values()
                    .forEach(
                            run ->
                                    byTeam.merge(
                                            run.header().team(),
                                            run.chunksInMemory(),
                                            Integer::sum));
            Optional<JobRun> next =
                    runs.values().stream()
                            .filter(run -> run.canLoadChunk(settings.chunksPerJob()))
                            .min(
                                    Comparator.comparingDouble((JobRun run) -> loadOf(run, byTeam))
                                            .thenComparingLong(run -> run.header().dueMs())
                                            .thenComparing(run -> run.header().id()));
            if (next.isEmpty()) {
                return;
            }
            next.get().loadChunk();
            inMemory++;
        }
    }

    /** Number of chunks that fit into memory if each has results as large as recent chunks had. */
    private int chunkLimit() {
        long byMemory = settings.resultBytes() / Math.max(1, chunkBytes);
        return (int) Math.max(1, Math.min(settings.loadedChunks(), byMemory));
    }

    /** Updates the estimated chunk size when a chunk's results leave memory. */
    void onChunkCommitted(@Nullable ChunkRun chunk) {
        if (chunk != null) {
            chunkBytes =
                    Math.max(
                            chunk.resultBytes(),
                            chunkBytes - chunkBytes / CHUNK_SIZE_DECAY_DIVISOR);
        }
    }

    private double loadOf(JobRun run, Map<String, Integer> byTeam) {
        String team = run.header().team();
        return (double) byTeam.getOrDefault(team, 0) / Math.max(1, plan(team).batchWeight());
    }

    void scheduleDispatch() {
        if (!isDispatchScheduled) {
            isDispatchScheduled = true;
            control()
                    .execute(
                            () -> {
                                isDispatchScheduled = false;
                                dispatchItems();
                            });
        }
    }

    private void dispatchItems() {
        long now = control().nanos();
        if (!lease.ownLease().mayStartRepeatable(now) || scheduler.waitingCount() == 0) {
            return;
        }
        FreeSlots slots = new FreeSlots(lease.ownLease().isValid(now), loads());
        while (runningCalls < settings.maxRunning()) {
            Optional<ItemRun> next = scheduler.dequeue(slots::canStart);
            if (next.isEmpty()) {
                return;
            }
            slots.onStarted(next.get());
            start(next.get());
        }
    }

    /** Running and waiting calls of this entry, by lane and team. */
    Map<String, Map<String, LaneShares.Load>> loads() {
        return laneLoads.withWaiting(scheduler.waitingByLane());
    }

    /** The free slots as of one moment, minus those used since. */
    private final class FreeSlots {
        private final boolean leaseValid;
        private final Map<String, Map<String, LaneShares.Load>> loads;
        private final Map<String, Integer> free = new HashMap<>();

        FreeSlots(boolean leaseValid, Map<String, Map<String, LaneShares.Load>> loads) {
            this.leaseValid = leaseValid;
            this.loads = loads;
        }

        boolean canStart(ItemRun item) {
            BatchItem call = item.item();
            if (!item.run().mayStartItems() || !leaseValid && !call.isRepeatable()) {
                return false;
            }
            if (!catalog.get().services().containsKey(call.service())) {
                return true;
            }
            int slots =
                    free.computeIfAbsent(
                            slotKey(call),
                            key -> dispatcher.freeBatchSlots(call.service(), call.model()));
            String lane = lane(call);
            return slots > 0
                    && shares.mayStart(
                            item.run().header().team(),
                            lane,
                            loads.getOrDefault(lane, Map.of()),
                            slots,
                            team -> Math.max(1, plan(team).batchWeight()));
        }

        void onStarted(ItemRun item) {
            free.merge(slotKey(item.item()), -1, Integer::sum);
            loads.getOrDefault(lane(item.item()), new HashMap<>())
                    .computeIfPresent(
                            item.run().header().team(),
                            (team, load) ->
                                    new LaneShares.Load(load.running() + 1, load.waiting() - 1));
        }
    }

    private static String lane(BatchItem item) {
        return slotKey(item) + "/" + item.isRepeatable();
    }

    private static String slotKey(BatchItem item) {
        return item.service() + "/" + item.model();
    }

    private void start(ItemRun item) {
        Optional<TeamPlan> team =
                Optional.ofNullable(catalog.get().teams().get(item.run().header().team()));
        if (team.isEmpty() || !catalog.get().services().containsKey(item.item().service())) {
            item.run().endItem(item, noServiceLine(item));
            return;
        }
        laneLoads.onStarted(lane(item.item()), item.run().header().team());
        int attempt = item.startAttempt();
        runningCalls++;
        ItemResponseCollector call =
                new ItemResponseCollector(
                        settings.maxResponseBytes(),
                        result -> control().execute(() -> onAttemptEnded(item, result)));
        item.onDispatched(
                dispatcher.dispatch(
                        CallSpecFactory.create(item, attempt, team.get(), catalog.get(), settings),
                        call));
    }

    private static ResultLine noServiceLine(ItemRun item) {
        String reason =
                item.item().isRoutable()
                        ? "no service accepts " + item.item().url() + " for this team any more"
                        : item.item().body();
        return ResultLine.failed(
                item.item().customId(), Problem.notRun(ProblemKind.NOT_FOUND, reason));
    }

    private void onAttemptEnded(ItemRun item, ItemResponseCollector.Result result) {
        runningCalls--;
        laneLoads.onEnded(lane(item.item()), item.run().header().team());
        if (result instanceof ItemResponseCollector.Result.Failed failed
                && failed.problem().kind() == ProblemKind.BODY_TOO_LARGE) {
            item.cancel("the answer is too large");
        }
        item.run().onAttemptEnded(item, result);
        scheduleDispatch();
    }

    /** Releases all jobs to other entries; calls back when confirmed or at the drain timeout. */
    void release(Runnable done) {
        List<JobRun> heldRuns = List.copyOf(runs.values());
        int[] remaining = {heldRuns.size()};
        Runnable callOnce =
                () -> {
                    boolean first = remaining[0] >= 0;
                    remaining[0] = -1;
                    if (first) {
                        done.run();
                    }
                };
        if (heldRuns.isEmpty()) {
            callOnce.run();
            return;
        }
        control().schedule(settings.drainTimeout(), callOnce);
        heldRuns.forEach(
                run ->
                        run.release(
                                () -> {
                                    remaining[0]--;
                                    if (remaining[0] == 0) {
                                        callOnce.run();
                                    }
                                }));
    }
}
