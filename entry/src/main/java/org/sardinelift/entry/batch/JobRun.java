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
 * One job that this entry holds, from its claim until the job ends or the claim is lost. A chunk's
 * results are written first and count once an update of the job state names them.
 */
final class JobRun {
    private final BatchWorker worker;
    private final JobHeader header;
    private final JobStateUpdater stateUpdater;
    private final ResultWriter results;
    private final SortedMap<Integer, ChunkRun> loadedChunks = new TreeMap<>();
    private final Map<Integer, ChunkResult> uncommittedResults = new HashMap<>();
    private JobState state;
    private final long fence;
    private int nextChunk;
    private int loadingChunks;
    private boolean isCommitPending;
    private boolean isClaimConfirmed = true;
    private boolean isCancelling;
    private boolean isFinishing;
    private boolean isOver;
    private CompletionEstimate estimate;

    JobRun(BatchWorker worker, JobHeader header, JobStateUpdater stateUpdater, JobState claimed) {
        this.worker = worker;
        this.header = header;
        this.stateUpdater = stateUpdater;
        this.results =
                new ResultWriter(
                        worker.store(), header.id(), worker.settings().packer().maxBytes());
        this.state = claimed;
        this.fence = claimed.fence();
        this.estimate = new CompletionEstimate(worker.control().epochMillis(), 0);
    }

    JobHeader header() {
        return header;
    }

    long fence() {
        return fence;
    }

    int chunksInMemory() {
        return loadedChunks.size() + loadingChunks;
    }

    /** Whether items may start: the claim was confirmed since the lease last lapsed. */
    boolean mayStartItems() {
        return isClaimConfirmed && !isCancelling && !isOver;
    }

    /** Applies the state that the claim returned. */
    void start() {
        applyState(state);
    }

    /** Confirms the claim, after a cancel was requested or the lease had lapsed. */
    void confirmClaim() {
        isClaimConfirmed = false;
        stateUpdater.confirm(
                found -> {
                    isClaimConfirmed = true;
                    applyState(found);
                });
    }

    boolean canLoadChunk(int maxChunks) {
        return mayStartItems()
                && chunksInMemory() < maxChunks
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
        loadingChunks++;
        worker.store()
                .read(header.chunkKey(number), Integer.MAX_VALUE, read -> onChunk(number, read));
    }

    private void onChunk(int number, ReadResult read) {
        if (isOver || isCancelling) {
            loadingChunks--;
            return;
        }
        if (!(read instanceof ReadResult.Found found)) {
            Logger.warn("Chunk {} of job {} can't be read; trying again", number, header.id());
            worker.control()
                    .schedule(
                            worker.store().backoff().pause(4),
                            () ->
                                    worker.store()
                                            .read(
                                                    header.chunkKey(number),
                                                    Integer.MAX_VALUE,
                                                    reread -> onChunk(number, reread)));
            return;
        }
        worker.parseChunk(header, found.object().value(), items -> onItems(number, items));
    }

    private void onItems(int number, List<BatchItem> items) {
        loadingChunks--;
        if (!isOver && !isCancelling) {
            ChunkRun chunk = new ChunkRun(this, number, items);
            loadedChunks.put(number, chunk);
            enqueueItems(chunk);
        }
    }

    private void enqueueItems(ChunkRun chunk) {
        List<ItemRun> unrepeatable =
                chunk.items().stream().filter(item -> !item.item().isRepeatable()).toList();
        chunk.items().stream().filter(item -> item.item().isRepeatable()).forEach(worker::enqueue);
        if (state.mayHaveRun(chunk.number())) {
            unrepeatable.forEach(
                    item -> endItem(item, failedLine(item, ItemRetryPolicy.outcomeUnknown())));
        } else if (unrepeatable.stream().noneMatch(item -> item.item().isRoutable())) {
            unrepeatable.forEach(worker::enqueue);
        } else {
            stateUpdater.update(
                    current -> current.recordIntent(fence, chunk.number()),
                    next -> {
                        applyState(next);
                        if (next.isWritableUnder(fence) && !next.mayHaveRun(chunk.number())) {
                            unrepeatable.forEach(worker::enqueue);
                        }
                    });
        }
        worker.scheduleDispatch();
    }

    private static ResultLine failedLine(ItemRun item, Problem problem) {
        return ResultLine.failed(item.item().customId(), problem);
    }

    void onAttemptEnded(ItemRun item, ItemResponseCollector.Result result) {
        item.onAttemptEnded();
        if (isOver) {
            return;
        }
        if (result instanceof ItemResponseCollector.Result.Complete complete) {
            onCompleteResponse(item, complete);
        } else if (result instanceof ItemResponseCollector.Result.Failed failure) {
            onProblem(item, failure.problem(), failedLine(item, failure.problem()));
        }
        if (isCancelling) {
            tryFinishCancel(false);
        }
    }

    private void onCompleteResponse(ItemRun item, ItemResponseCollector.Result.Complete complete) {
        ResultLine line =
                ResultLine.answered(item.item().customId(), complete.status(), complete.body());
        boolean isTransient = complete.status() >= 500 || complete.status() == 429;
        if (isTransient && item.item().isRepeatable() && !isCancelling) {
            onProblem(
                    item,
                    Problem.failed(
                            ProblemKind.TARGET_FAILED,
                            RunOutcome.RUN,
                            "the target answered with status " + complete.status()),
                    line);
        } else {
            endItem(item, line);
        }
    }

    private void onProblem(ItemRun item, Problem problem, ResultLine lastLine) {
        if (isCancelling) {
            boolean isStopped = problem.kind() == ProblemKind.CANCELLED;
            endItem(
                    item,
                    isStopped
                            ? ResultLine.cancelled(item.item().customId(), problem.outcome())
                            : lastLine);
            return;
        }
        ItemRetryPolicy.Decision decision =
                worker.settings()
                        .retry()
                        .decide(
                                problem,
                                item.item().isRepeatable(),
                                item.failures() + 1,
                                item.postponements() + 1);
        if (decision instanceof ItemRetryPolicy.Decision.Retry retry) {
            if (retry.countsAsAttempt()) {
                item.countFailure();
            } else {
                item.countPostponement();
            }
            worker.control().schedule(retry.pause(), () -> enqueueAgain(item));
        } else if (decision instanceof ItemRetryPolicy.Decision.Fail ended) {
            endItem(
                    item,
                    ended.problem().equals(problem) ? lastLine : failedLine(item, ended.problem()));
        }
    }

    private void enqueueAgain(ItemRun item) {
        if (!isOver && !isCancelling) {
            worker.enqueue(item);
            worker.scheduleDispatch();
        }
    }

    /** Records the final result of an item. */
    void endItem(ItemRun item, ResultLine line) {
        ChunkRun chunk = item.chunk();
        if (isOver || !chunk.recordEnd(item.index(), line)) {
            return;
        }
        estimate = estimate.plusEnded(1);
        if (chunk.openItems() == 0 && !isCancelling) {
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
        if (isOver) {
            results.delete(number, result);
            return;
        }
        uncommittedResults.put(number, result);
        if (isCancelling) {
            tryFinishCancel(false);
        } else if (!isCommitPending) {
            isCommitPending = true;
            boolean isLast =
                    state.chunks().size() + uncommittedResults.size() == header.chunkItems().size();
            if (isLast) {
                commitResults();
            } else {
                worker.control().schedule(worker.settings().commitDelay(), this::commitResults);
            }
        }
    }

    private void commitResults() {
        isCommitPending = false;
        if (isOver || isCancelling || uncommittedResults.isEmpty()) {
            return;
        }
        Map<Integer, ChunkResult> newResults = Map.copyOf(uncommittedResults);
        uncommittedResults.clear();
        long now = worker.control().epochMillis();
        long end = estimate.expectedEndMs(now, openItems());
        stateUpdater.update(
                current -> {
                    JobState committed = current.commit(fence, newResults);
                    return committed.equals(current)
                            ? current
                            : committed.withExpectedEnd(committed.phase().isTerminal() ? now : end);
                },
                next -> onCommitted(newResults, next));
    }

    long expectedEndMs() {
        return estimate.expectedEndMs(worker.control().epochMillis(), openItems());
    }

    int openItems() {
        int ended =
                loadedChunks.values().stream()
                        .mapToInt(chunk -> chunk.items().size() - chunk.openItems())
                        .sum();
        return Math.max(0, state.counts().open() - ended);
    }

    private void onCommitted(Map<Integer, ChunkResult> newResults, JobState next) {
        results.deleteUncommitted(newResults, next);
        newResults.keySet().forEach(number -> worker.onChunkCommitted(loadedChunks.remove(number)));
        applyState(next);
        if (isCancelling) {
            tryFinishCancel(false);
        }
    }

    private void applyState(JobState next) {
        if (isOver) {
            return;
        }
        state = next;
        if (next.phase().isTerminal() || !next.isWritableUnder(fence)) {
            stop(next.phase().isTerminal() ? "the job has ended" : "another entry holds the job");
            worker.onRunEnded(this, next);
        } else if (next.phase() == JobPhase.CANCELLING && !isCancelling) {
            startCancel();
        } else {
            worker.scheduleLoad();
        }
    }

    private void startCancel() {
        isCancelling = true;
        worker.removeQueued(this);
        runningItems().forEach(item -> item.cancel("the batch is cancelled"));
        worker.control().schedule(worker.settings().cancelGrace(), () -> tryFinishCancel(true));
        tryFinishCancel(false);
    }

    private List<ItemRun> runningItems() {
        return loadedChunks.values().stream()
                .flatMap(chunk -> chunk.items().stream())
                .filter(ItemRun::isRunning)
                .toList();
    }

    /** Completes the cancel once no item is running, or at the end of the grace period. */
    private void tryFinishCancel(boolean isGraceOver) {
        if (isOver || !isCancelling || isFinishing || !isGraceOver && !runningItems().isEmpty()) {
            return;
        }
        for (ChunkRun chunk : List.copyOf(loadedChunks.values())) {
            if (!chunk.sealed()) {
                chunk.cancelOpenItems();
                if (chunk.hasUncancelledItems()) {
                    writeResults(chunk);
                } else {
                    loadedChunks.remove(chunk.number());
                }
            }
        }
        if (!uncommittedResults.keySet().containsAll(loadedChunks.keySet())) {
            return;
        }
        isFinishing = true;
        Map<Integer, ChunkResult> newResults = Map.copyOf(uncommittedResults);
        long now = worker.control().epochMillis();
        stateUpdater.update(
                current -> {
                    JobState ended = current.commit(fence, newResults).finishCancel(fence);
                    return ended.equals(current) ? current : ended.withExpectedEnd(now);
                },
                next -> {
                    results.deleteUncommitted(newResults, next);
                    applyState(next);
                });
    }

    /** Releases the job, so that another entry can claim it. */
    void release(Runnable done) {
        isClaimConfirmed = false;
        worker.removeQueued(this);
        stateUpdater.update(
                current -> current.release(fence),
                next -> {
                    applyState(next);
                    done.run();
                });
    }

    private void stop(String reason) {
        isOver = true;
        worker.removeQueued(this);
        runningItems().forEach(item -> item.cancel(reason));
        loadedChunks.clear();
        stateUpdater.close();
    }
}
