package org.sardinelift.entry.batch;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import org.sardinelift.core.batch.ChunkResult;
import org.sardinelift.core.batch.CompletionEstimate;
import org.sardinelift.core.batch.ItemRetryPolicy;
import org.sardinelift.core.batch.JobPhase;
import org.sardinelift.core.batch.JobState;
import org.sardinelift.core.outcome.Problem;
import org.sardinelift.core.outcome.ProblemKind;
import org.sardinelift.core.outcome.RunOutcome;
import org.sardinelift.objects.ReadResult;
import org.tinylog.Logger;

/**
 * One job that this entry holds, from its claim until it ends or the claim is void. A chunk's
 * results are written first and count from the update of the state that names them.
 */
final class JobRun {
    private final BatchWorker worker;
    private final JobHeader header;
    private final JobStateUpdater cell;
    private final ResultWriter results;
    private final SortedMap<Integer, ChunkRun> loaded = new TreeMap<>();
    private final Map<Integer, ChunkResult> ready = new HashMap<>();
    private JobState state;
    private final long fence;
    private int nextChunk;
    private int loading;
    private boolean flushing;
    private boolean verified = true;
    private boolean cancelling;
    private boolean finishing;
    private boolean over;
    private CompletionEstimate pace;

    JobRun(BatchWorker worker, JobHeader header, JobStateUpdater cell, JobState claimed) {
        this.worker = worker;
        this.header = header;
        this.cell = cell;
        this.results =
                new ResultWriter(
                        worker.store(), header.id(), worker.settings().packer().maxBytes());
        this.state = claimed;
        this.fence = claimed.fence();
        this.pace = new CompletionEstimate(worker.control().epochMillis(), 0);
    }

    JobHeader header() {
        return header;
    }

    long fence() {
        return fence;
    }

    int chunksInMemory() {
        return loaded.size() + loading;
    }

    /** Whether items may start: the claim was confirmed since the lease last lapsed. */
    boolean mayStartItems() {
        return verified && !cancelling && !over;
    }

    /** Acts on what the claim found. */
    void start() {
        applyState(state);
    }

    /** Makes sure of the claim: a cancel was asked for, or the lease had lapsed. */
    void confirmClaim() {
        verified = false;
        cell.confirm(
                found -> {
                    verified = true;
                    applyState(found);
                });
    }

    boolean canLoadChunk(int perJob) {
        return mayStartItems()
                && chunksInMemory() < perJob
                && nextUnloaded() < header.chunkItems().size();
    }

    private int nextUnloaded() {
        while (nextChunk < header.chunkItems().size() && state.chunks().containsKey(nextChunk)) {
            nextChunk++;
        }
        return nextChunk;
    }

    /** Loads the next chunk that has no results. */
    void loadChunk() {
        int number = nextUnloaded();
        nextChunk++;
        loading++;
        worker.store()
                .read(header.chunkKey(number), Integer.MAX_VALUE, read -> onChunk(number, read));
    }

    private void onChunk(int number, ReadResult read) {
        if (over || cancelling) {
            loading--;
            return;
        }
        if (!(read instanceof ReadResult.Found found)) {
            Logger.warn("Chunk {} of {} can't be read yet; it is read again", number, header.id());
            worker.control()
                    .schedule(
                            worker.store().backoff().pause(4),
                            () ->
                                    worker.store()
                                            .read(
                                                    header.chunkKey(number),
                                                    Integer.MAX_VALUE,
                                                    again -> onChunk(number, again)));
            return;
        }
        worker.parseChunk(header, found.object().value(), items -> onItems(number, items));
    }

    private void onItems(int number, List<BatchItem> items) {
        loading--;
        if (!over && !cancelling) {
            ChunkRun chunk = new ChunkRun(this, number, items);
            loaded.put(number, chunk);
            enqueueItems(chunk);
        }
    }

    private void enqueueItems(ChunkRun chunk) {
        List<ItemRun> unrepeatable =
                chunk.items().stream().filter(item -> !item.item().isRepeatable()).toList();
        chunk.items().stream().filter(item -> item.item().isRepeatable()).forEach(worker::enqueue);
        if (state.mayHaveRun(chunk.number())) {
            unrepeatable.forEach(
                    item -> endItem(item, failed(item, ItemRetryPolicy.outcomeUnknown())));
        } else if (unrepeatable.stream().noneMatch(item -> item.item().isRoutable())) {
            unrepeatable.forEach(worker::enqueue);
        } else {
            cell.update(
                    current -> current.recordIntent(fence, chunk.number()),
                    next -> {
                        applyState(next);
                        if (next.isWritableUnder(fence) && !next.mayHaveRun(chunk.number())) {
                            unrepeatable.forEach(worker::enqueue);
                        }
                    });
        }
        worker.schedulePump();
    }

    private static ResultLine failed(ItemRun item, Problem problem) {
        return ResultLine.failed(item.item().customId(), problem);
    }

    /** An attempt at an item ended. */
    void onAttemptEnded(ItemRun item, ItemResponseCollector.Result answer) {
        item.onAttemptEnded();
        if (over) {
            return;
        }
        if (answer instanceof ItemResponseCollector.Result.Complete whole) {
            onCompleteResponse(item, whole);
        } else if (answer instanceof ItemResponseCollector.Result.Failed failed) {
            onProblem(item, failed.problem(), failed(item, failed.problem()));
        }
        if (cancelling) {
            tryFinishCancel(false);
        }
    }

    private void onCompleteResponse(ItemRun item, ItemResponseCollector.Result.Complete whole) {
        ResultLine line = ResultLine.answered(item.item().customId(), whole.status(), whole.body());
        boolean transientStatus = whole.status() >= 500 || whole.status() == 429;
        if (transientStatus && item.item().isRepeatable() && !cancelling) {
            onProblem(
                    item,
                    Problem.failed(
                            ProblemKind.TARGET_FAILED,
                            RunOutcome.RUN,
                            "the target answered with status " + whole.status()),
                    line);
        } else {
            endItem(item, line);
        }
    }

    private void onProblem(ItemRun item, Problem problem, ResultLine lastLine) {
        if (cancelling) {
            boolean stopped = problem.kind() == ProblemKind.CANCELLED;
            endItem(
                    item,
                    stopped
                            ? ResultLine.cancelled(item.item().customId(), problem.outcome())
                            : lastLine);
            return;
        }
        ItemRetryPolicy.Decision verdict =
                worker.settings()
                        .retry()
                        .decide(
                                problem,
                                item.item().isRepeatable(),
                                item.failures() + 1,
                                item.postponements() + 1);
        if (verdict instanceof ItemRetryPolicy.Decision.Retry again) {
            if (again.countsAsAttempt()) {
                item.countFailure();
            } else {
                item.countPostponement();
            }
            worker.control().schedule(again.pause(), () -> enqueueAgain(item));
        } else if (verdict instanceof ItemRetryPolicy.Decision.Fail ended) {
            endItem(
                    item,
                    ended.problem().equals(problem) ? lastLine : failed(item, ended.problem()));
        }
    }

    private void enqueueAgain(ItemRun item) {
        if (!over && !cancelling) {
            worker.enqueue(item);
            worker.schedulePump();
        }
    }

    /** An item ends for good. */
    void endItem(ItemRun item, ResultLine line) {
        ChunkRun chunk = item.chunk();
        if (over || !chunk.recordEnd(item.index(), line)) {
            return;
        }
        pace = pace.plusEnded(1);
        if (chunk.openItems() == 0 && !cancelling) {
            writeResults(chunk);
        }
    }

    private void writeResults(ChunkRun chunk) {
        results.write(
                chunk,
                worker.nextWriteId(fence),
                result -> onResultsWritten(chunk.number(), result));
    }

    private void onResultsWritten(int number, ChunkResult result) {
        if (over) {
            results.delete(number, result);
            return;
        }
        ready.put(number, result);
        if (cancelling) {
            tryFinishCancel(false);
        } else if (!flushing) {
            flushing = true;
            boolean last = state.chunks().size() + ready.size() == header.chunkItems().size();
            if (last) {
                commitResults();
            } else {
                worker.control().schedule(worker.settings().commitDelay(), this::commitResults);
            }
        }
    }

    private void commitResults() {
        flushing = false;
        if (over || cancelling || ready.isEmpty()) {
            return;
        }
        Map<Integer, ChunkResult> offered = Map.copyOf(ready);
        ready.clear();
        long now = worker.control().epochMillis();
        long end = pace.expectedEndMs(now, openItems());
        cell.update(
                current -> {
                    JobState committed = current.commit(fence, offered);
                    return committed.equals(current)
                            ? current
                            : committed.withExpectedEnd(committed.phase().isTerminal() ? now : end);
                },
                next -> onCommitted(offered, next));
    }

    long expectedEndMs() {
        return pace.expectedEndMs(worker.control().epochMillis(), openItems());
    }

    int openItems() {
        int ended =
                loaded.values().stream()
                        .mapToInt(chunk -> chunk.items().size() - chunk.openItems())
                        .sum();
        return Math.max(0, state.counts().open() - ended);
    }

    private void onCommitted(Map<Integer, ChunkResult> offered, JobState next) {
        results.deleteUncommitted(offered, next);
        offered.keySet().forEach(number -> worker.onChunkCommitted(loaded.remove(number)));
        applyState(next);
        if (cancelling) {
            tryFinishCancel(false);
        }
    }

    private void applyState(JobState next) {
        if (over) {
            return;
        }
        state = next;
        if (next.phase().isTerminal() || !next.isWritableUnder(fence)) {
            stop(next.phase().isTerminal() ? "the job has ended" : "another entry holds the job");
            worker.onRunEnded(this, next);
        } else if (next.phase() == JobPhase.CANCELLING && !cancelling) {
            beginCancel();
        } else {
            worker.scheduleLoad();
        }
    }

    private void beginCancel() {
        cancelling = true;
        worker.removeQueued(this);
        running().forEach(item -> item.cancel("the batch is cancelled"));
        worker.control().schedule(worker.settings().cancelGrace(), () -> tryFinishCancel(true));
        tryFinishCancel(false);
    }

    private List<ItemRun> running() {
        return loaded.values().stream()
                .flatMap(chunk -> chunk.items().stream())
                .filter(ItemRun::isRunning)
                .toList();
    }

    /** Ends the cancel once nothing runs any more, or at the end of the grace. */
    private void tryFinishCancel(boolean atOnce) {
        if (over || !cancelling || finishing || !atOnce && !running().isEmpty()) {
            return;
        }
        for (ChunkRun chunk : List.copyOf(loaded.values())) {
            if (!chunk.sealed()) {
                chunk.cancelOpenItems();
                if (chunk.hasUncancelledItems()) {
                    writeResults(chunk);
                } else {
                    loaded.remove(chunk.number());
                }
            }
        }
        if (!ready.keySet().containsAll(loaded.keySet())) {
            return;
        }
        finishing = true;
        Map<Integer, ChunkResult> offered = Map.copyOf(ready);
        long now = worker.control().epochMillis();
        cell.update(
                current -> {
                    JobState ended = current.commit(fence, offered).finishCancel(fence);
                    return ended.equals(current) ? current : ended.withExpectedEnd(now);
                },
                next -> {
                    results.deleteUncommitted(offered, next);
                    applyState(next);
                });
    }

    /** Gives the job up to another entry. */
    void release(Runnable done) {
        verified = false;
        worker.removeQueued(this);
        cell.update(
                current -> current.release(fence),
                next -> {
                    applyState(next);
                    done.run();
                });
    }

    private void stop(String reason) {
        over = true;
        worker.removeQueued(this);
        running().forEach(item -> item.cancel(reason));
        loaded.clear();
        cell.close();
    }
}
