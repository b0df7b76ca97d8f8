package org.sardinelift.core.batch;

import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * State of one job, stored as one object of the platform and changed only by conditional update.
 * Each transition is idempotent: after a write whose answer was lost, it is applied again to the
 * state read back.
 *
 * @param team team that the job runs for
 * @param items number of items accepted
 * @param chunkCount number of chunks of the input
 * @param phase phase of the job
 * @param fence fencing number; grows by one with each claim
 * @param holder the entry that runs the job
 * @param chunks results by chunk
 * @param intents for each chunk, the fence under which its calls that must not be repeated were
 *     about to start
 * @param expectedEndMs when the holder expects the job to end, or when it ended, epoch
 *     milliseconds, 0 if unknown
 */
public record JobState(
        String team,
        int items,
        int chunkCount,
        JobPhase phase,
        long fence,
        Holder holder,
        SortedMap<Integer, ChunkResult> chunks,
        SortedMap<Integer, Long> intents,
        long expectedEndMs) {

    /** Copies the maps, so that the state stays unchanged. */
    public JobState {
        chunks = new TreeMap<>(chunks);
        intents = new TreeMap<>(intents);
    }

    /**
     * Creates the state of a job that no entry has claimed.
     *
     * @param team team that the job runs for
     * @param items number of items accepted
     * @param chunkCount number of chunks of the input
     * @return the initial state
     */
    public static JobState initial(String team, int items, int chunkCount) {
        return new JobState(
                team,
                items,
                chunkCount,
                JobPhase.OPEN,
                0,
                Holder.NONE,
                new TreeMap<>(),
                new TreeMap<>(),
                0);
    }

    /**
     * Claims the job. From then on, the former holder's fence is no longer valid.
     *
     * @param next the new holder
     * @return the next state; this one if the job has ended
     */
    public JobState claim(Holder next) {
        return phase.isTerminal() ? this : with(phase, fence + 1, next, chunks, intents);
    }

    /**
     * Releases the job, so that another entry can claim it at once.
     *
     * @param byFence fence of the holder
     * @return the next state; this one if the fence is not valid
     */
    public JobState release(long byFence) {
        return isWritableUnder(byFence) ? with(phase, fence, Holder.NONE, chunks, intents) : this;
    }

    /**
     * Records that calls which must not be repeated are about to start.
     *
     * @param byFence fence of the holder
     * @param chunk chunk of these calls
     * @return the next state; this one if the fence is not valid, no call may be started any more
     *     or the chunk already has an intent
     */
    public JobState recordIntent(long byFence, int chunk) {
        if (!isWritableUnder(byFence) || phase != JobPhase.OPEN || intents.containsKey(chunk)) {
            return this;
        }
        SortedMap<Integer, Long> next = new TreeMap<>(intents);
        next.put(chunk, byFence);
        return with(phase, fence, holder, chunks, next);
    }

    /**
     * Adds results. A chunk that has results already keeps them. The last chunk completes the job.
     *
     * @param byFence fence of the holder
     * @param results results by chunk
     * @return the next state; this one if the fence is not valid
     */
    public JobState commit(long byFence, Map<Integer, ChunkResult> results) {
        if (!isWritableUnder(byFence)) {
            return this;
        }
        SortedMap<Integer, ChunkResult> next = new TreeMap<>(chunks);
        results.forEach(next::putIfAbsent);
        SortedMap<Integer, Long> remaining = new TreeMap<>(intents);
        remaining.keySet().removeAll(next.keySet());
        JobPhase then =
                phase == JobPhase.OPEN && next.size() == chunkCount ? JobPhase.COMPLETED : phase;
        return with(then, fence, holder, next, remaining);
    }

    /**
     * Requests that the job be cancelled.
     *
     * @return the next state; this one if the job has ended or is being cancelled
     */
    public JobState requestCancel() {
        return phase == JobPhase.OPEN
                ? with(JobPhase.CANCELLING, fence, holder, chunks, intents)
                : this;
    }

    /**
     * Completes a cancel: items without a result by now never get one.
     *
     * @param byFence fence of the holder
     * @return the next state; this one if the fence is not valid or no cancel was requested
     */
    public JobState finishCancel(long byFence) {
        return isWritableUnder(byFence) && phase == JobPhase.CANCELLING
                ? with(JobPhase.CANCELLED, fence, holder, chunks, new TreeMap<>())
                : this;
    }

    /**
     * Returns the state with another expected end.
     *
     * @param endMs epoch milliseconds, 0 if unknown
     * @return the next state
     */
    public JobState withExpectedEnd(long endMs) {
        return new JobState(team, items, chunkCount, phase, fence, holder, chunks, intents, endMs);
    }

    /**
     * Whether the holder of a fence may still change the state.
     *
     * @param byFence fence of a holder
     * @return true if the fence is the newest and the job is held and has not ended
     */
    public boolean isWritableUnder(long byFence) {
        return fence == byFence && holder.isPresent() && !phase.isTerminal();
    }

    /**
     * Whether a former holder may have run calls of a chunk that must not be repeated.
     *
     * @param chunk the chunk
     * @return true if the chunk has an intent of an older fence
     */
    public boolean mayHaveRun(int chunk) {
        return intents.getOrDefault(chunk, fence) < fence;
    }

    /**
     * Counts the items by outcome.
     *
     * @return the counts
     */
    public JobCounts counts() {
        int completed = chunks.values().stream().mapToInt(ChunkResult::completed).sum();
        int failed = chunks.values().stream().mapToInt(ChunkResult::failed).sum();
        int cancelled = chunks.values().stream().mapToInt(ChunkResult::cancelled).sum();
        return new JobCounts(
                items,
                completed,
                failed,
                phase == JobPhase.CANCELLED ? items - completed - failed : cancelled);
    }

    private JobState with(
            JobPhase nextPhase,
            long nextFence,
            Holder nextHolder,
            SortedMap<Integer, ChunkResult> nextChunks,
            SortedMap<Integer, Long> nextIntents) {
        return new JobState(
                team,
                items,
                chunkCount,
                nextPhase,
                nextFence,
                nextHolder,
                nextChunks,
                nextIntents,
                expectedEndMs);
    }
}
