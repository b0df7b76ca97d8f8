package org.sardinelift.core.batch;

import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * All that is decided about one job, held as one object of the platform and changed only by
 * conditional update. Each transition may be applied again without harm, so that a write whose
 * answer was lost is simply decided anew from what is read back.
 *
 * @param team team that the job runs for
 * @param items items accepted
 * @param chunkCount chunks of the input
 * @param phase phase of the job
 * @param fence grows by one with each claim
 * @param holder the entry that runs the job
 * @param chunks results by chunk
 * @param intents fence under which calls that must not be repeated were about to start, by chunk
 * @param expectedEndMs when the holder expects the end, or when the job ended, epoch milliseconds,
 *     0 for unknown
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

    /** Copies the maps. */
    public JobState {
        chunks = new TreeMap<>(chunks);
        intents = new TreeMap<>(intents);
    }

    /**
     * The state of a job that nobody has claimed.
     *
     * @param team team that the job runs for
     * @param items items accepted
     * @param chunkCount chunks of the input
     * @return the first state
     */
    public static JobState accepted(String team, int items, int chunkCount) {
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
     * Claims the job. The former holder's fence is void from then on.
     *
     * @param next the new holder
     * @return the next state; this one where the job has ended
     */
    public JobState claim(Holder next) {
        return phase.isTerminal() ? this : with(phase, fence + 1, next, chunks, intents);
    }

    /**
     * Gives the job up, so that another entry may claim it at once.
     *
     * @param byFence fence of the holder
     * @return the next state; this one where the fence is void
     */
    public JobState release(long byFence) {
        return isWritableUnder(byFence) ? with(phase, fence, Holder.NONE, chunks, intents) : this;
    }

    /**
     * Notes that calls which must not be repeated are about to start.
     *
     * @param byFence fence of the holder
     * @param chunk chunk of these calls
     * @return the next state; this one where the fence is void or an older intent stands
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
     * Adds results. A chunk that has results keeps them. The job is completed with its last chunk.
     *
     * @param byFence fence of the holder
     * @param results results by chunk
     * @return the next state; this one where the fence is void
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
     * Asks for a cancel.
     *
     * @return the next state; this one where the job has ended
     */
    public JobState requestCancel() {
        return phase == JobPhase.OPEN
                ? with(JobPhase.CANCELLING, fence, holder, chunks, intents)
                : this;
    }

    /**
     * Ends a cancel: what has no result by now never gets one.
     *
     * @param byFence fence of the holder
     * @return the next state; this one where the fence is void or no cancel was asked for
     */
    public JobState finishCancel(long byFence) {
        return isWritableUnder(byFence) && phase == JobPhase.CANCELLING
                ? with(JobPhase.CANCELLED, fence, holder, chunks, new TreeMap<>())
                : this;
    }

    /**
     * Notes when the end is expected.
     *
     * @param endMs epoch milliseconds, 0 for unknown
     * @return the next state
     */
    public JobState withExpectedEnd(long endMs) {
        return new JobState(team, items, chunkCount, phase, fence, holder, chunks, intents, endMs);
    }

    /**
     * Whether a fence still allows changes.
     *
     * @param byFence fence of a holder
     * @return true where it is the newest and the job has not ended
     */
    public boolean isWritableUnder(long byFence) {
        return fence == byFence && holder.isPresent() && !phase.isTerminal();
    }

    /**
     * Whether calls of a chunk that must not be repeated may have been run by a former holder.
     *
     * @param chunk the chunk
     * @return true where an intent of an older fence stands
     */
    public boolean mayHaveRun(int chunk) {
        return intents.getOrDefault(chunk, fence) < fence;
    }

    /**
     * What became of the items.
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
