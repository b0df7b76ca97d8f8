package org.sardinelift.core.batch;

import java.util.Optional;

/**
 * Decides which objects of a job are removed, and when. The header is retired, then the other
 * objects are deleted, then the header. Each step waits a while, so that a call sent before the
 * preceding step has taken effect by then or never will.
 *
 * @param retentionMs time from a job's end for which its results stay readable, milliseconds
 * @param stepDelayMs time between two steps, milliseconds; longer than any call takes
 */
public record RetentionPolicy(long retentionMs, long stepDelayMs) {

    /**
     * What is known of a job.
     *
     * @param stage stage of its header
     * @param stageSinceMs when that stage was reached, epoch milliseconds
     * @param createdMs when the job was accepted, epoch milliseconds
     * @param state its state, empty only if it certainly has none
     * @param hasMarker whether its marker as an open job exists
     */
    public record JobInfo(
            RemovalStage stage,
            long stageSinceMs,
            long createdMs,
            Optional<JobState> state,
            boolean hasMarker) {}

    /** Next step of the removal. */
    public sealed interface Step {}

    /**
     * No step is due yet.
     *
     * @param dueMs when to check again, epoch milliseconds
     */
    public record Wait(long dueMs) implements Step {}

    /** Hide the job from callers. */
    public record Retire() implements Step {}

    /** Delete all objects of the job but its header. */
    public record DeleteObjects() implements Step {}

    /** Delete the header. */
    public record DeleteHeader() implements Step {}

    /**
     * Decides the next step.
     *
     * @param job what is known of the job
     * @param checkDueMs when this check of the job was due, epoch milliseconds
     * @param nowMs current time, epoch milliseconds
     * @return the step
     */
    public Step nextStep(JobInfo job, long checkDueMs, long nowMs) {
        return switch (job.stage()) {
            case LIVE -> stepOfLiveJob(job, checkDueMs, nowMs);
            case RETIRED ->
                    stepWhenDue(job.stageSinceMs() + stepDelayMs, nowMs, new DeleteObjects());
            case EMPTIED ->
                    stepWhenDue(job.stageSinceMs() + stepDelayMs, nowMs, new DeleteHeader());
        };
    }

    private Step stepOfLiveJob(JobInfo job, long checkDueMs, long nowMs) {
        boolean isRunning = job.state().map(state -> !state.phase().isTerminal()).orElse(false);
        boolean isUnclaimed = job.state().isEmpty() && job.hasMarker();
        if (isRunning || isUnclaimed) {
            return new Wait(Math.max(checkDueMs + retentionMs, nowMs + stepDelayMs));
        }
        long endMs = job.state().map(JobState::expectedEndMs).orElse(0L);
        return stepWhenDue(Math.max(job.createdMs(), endMs) + retentionMs, nowMs, new Retire());
    }

    private static Step stepWhenDue(long dueMs, long nowMs, Step step) {
        return dueMs <= nowMs ? step : new Wait(dueMs);
    }

    /**
     * Whether a job that was never accepted in full is too old to be accepted after all.
     *
     * @param createdMs when its header was written, epoch milliseconds
     * @param nowMs current time, epoch milliseconds
     * @return true if its removal may be about to start
     */
    public boolean isTooOldToAccept(long createdMs, long nowMs) {
        return createdMs + retentionMs - stepDelayMs <= nowMs;
    }
}
