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

/** Runs the items of the jobs that this entry holds, within bounds of memory and free slots. */
final class BatchWorker {
    /** Share of the largest chunk by which its memory fades with each smaller one. */
    private static final int DECAY = 16;

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
    private long marks;
    private long chunkBytes;
    private int running;
    private boolean draining;
    private boolean loadScheduled;
    private boolean pumpScheduled;

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

    /** Hears of runs that are over. */
    interface JobRunListener {
        void onRunEnded(JobRun run, JobState state);
    }

    void start() {
        control().repeat(settings.pumpPeriod(), this::pump);
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

    /** A mark for result objects that no other attempt uses. */
    String nextWriteId(long fence) {
        marks++;
        return fence + "-" + self.incarnation() + "-" + marks;
    }

    void startJob(JobHeader header, JobStateUpdater cell, JobState claimed) {
        JobRun run = new JobRun(this, header, cell, claimed);
        runs.put(header.id(), run);
        run.start();
    }

    void onRunEnded(JobRun run, JobState state) {
        runs.remove(run.header().id(), run);
        listener.onRunEnded(run, state);
        scheduleLoad();
    }

    /** Checks every claim again after the lease had lapsed. */
    void confirmClaims() {
        List.copyOf(runs.values()).forEach(JobRun::confirmClaim);
    }

    /** Loads no further chunk. */
    void drain() {
        draining = true;
    }

    boolean isIdle() {
        return runs.values().stream().allMatch(run -> run.chunksInMemory() == 0);
    }

    /** Reads the lines of a chunk with the services of today, away from the control thread. */
    void parseChunk(JobHeader header, String chunk, Consumer<List<BatchItem>> done) {
        control()
                .offload(
                        () -> {
                            List<BatchItem> items = parseLines(header, chunk);
                            control().execute(() -> done.accept(items));
                        });
    }

    private List<BatchItem> parseLines(JobHeader header, String chunk) {
        ItemParser reader = new ItemParser(catalog.get(), plan(header.team()));
        return chunk.lines()
                .map(
                        line -> {
                            ItemParser.ParsedLine read = reader.parse(line);
                            return read instanceof ItemParser.ParsedLine.Valid valid
                                    ? valid.item()
                                    : unroutable((ItemParser.ParsedLine.Invalid) read, line);
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
        if (!loadScheduled) {
            loadScheduled = true;
            control().execute(this::loadChunks);
        }
    }

    private void loadChunks() {
        loadScheduled = false;
        if (draining || catalog.get().revision() == 0) {
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

    /** Chunks that fit the memory if each brings results as large as those seen lately. */
    private int chunkLimit() {
        long byMemory = settings.resultBytes() / Math.max(1, chunkBytes);
        return (int) Math.max(1, Math.min(settings.loadedChunks(), byMemory));
    }

    /** A chunk's results were committed and leave the memory. */
    void onChunkCommitted(@Nullable ChunkRun chunk) {
        if (chunk != null) {
            chunkBytes = Math.max(chunk.resultBytes(), chunkBytes - chunkBytes / DECAY);
        }
    }

    private double loadOf(JobRun run, Map<String, Integer> byTeam) {
        String team = run.header().team();
        return (double) byTeam.getOrDefault(team, 0) / Math.max(1, plan(team).batchWeight());
    }

    void schedulePump() {
        if (!pumpScheduled) {
            pumpScheduled = true;
            control()
                    .execute(
                            () -> {
                                pumpScheduled = false;
                                pump();
                            });
        }
    }

    private void pump() {
        long now = control().nanos();
        if (!lease.ownLease().mayStartRepeatable(now) || scheduler.waitingCount() == 0) {
            return;
        }
        FreeSlots slots = new FreeSlots(lease.ownLease().isValid(now), loads());
        while (running < settings.maxRunning()) {
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

    /** The free slots as seen at one moment, less those taken since. */
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
            item.run().endItem(item, noService(item));
            return;
        }
        laneLoads.onStarted(lane(item.item()), item.run().header().team());
        int attempt = item.startAttempt();
        running++;
        ItemResponseCollector call =
                new ItemResponseCollector(
                        settings.maxResponseBytes(),
                        answer -> control().execute(() -> onAnswer(item, answer)));
        item.onDispatched(
                dispatcher.dispatch(
                        CallSpecFactory.create(item, attempt, team.get(), catalog.get(), settings),
                        call));
    }

    private static ResultLine noService(ItemRun item) {
        String reason =
                item.item().isRoutable()
                        ? "no service takes " + item.item().url() + " for this team any more"
                        : item.item().body();
        return ResultLine.failed(
                item.item().customId(), Problem.notRun(ProblemKind.NOT_FOUND, reason));
    }

    private void onAnswer(ItemRun item, ItemResponseCollector.Result answer) {
        running--;
        laneLoads.onEnded(lane(item.item()), item.run().header().team());
        if (answer instanceof ItemResponseCollector.Result.Failed failed
                && failed.problem().kind() == ProblemKind.BODY_TOO_LARGE) {
            item.cancel("the answer is too large");
        }
        item.run().onAttemptEnded(item, answer);
        schedulePump();
    }

    /** Gives every job up to other entries; calls back once that is confirmed, or after a time. */
    void release(Runnable done) {
        List<JobRun> held = List.copyOf(runs.values());
        int[] missing = {held.size()};
        Runnable once =
                () -> {
                    boolean first = missing[0] >= 0;
                    missing[0] = -1;
                    if (first) {
                        done.run();
                    }
                };
        if (held.isEmpty()) {
            once.run();
            return;
        }
        control().schedule(settings.drainTimeout(), once);
        held.forEach(
                run ->
                        run.release(
                                () -> {
                                    missing[0]--;
                                    if (missing[0] == 0) {
                                        once.run();
                                    }
                                }));
    }
}
