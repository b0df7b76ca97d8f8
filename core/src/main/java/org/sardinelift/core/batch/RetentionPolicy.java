package org.sardinelift.core.batch;

import java.util.Optional;

/**
 * Decides what is removed of a job, and when. The header is retired, then the other objects go,
 * then the header, with a hold between: a call that was sent before one step has taken effect, or
 * never will, before the next step.
 *
 * @param keepMs time from a job's end for which its results stay readable, milliseconds
 * @param holdMs time between two steps, milliseconds; longer than any call is under way
 */
public record RetentionPolicy(long retentionMs, long stepDelayMs) {

    /**
     * What is known of a job.
     *
     * @param stage stage of its header
     * @param sinceMs when that stage was reached, epoch milliseconds
     * @param createdMs when the job was accepted, epoch milliseconds
     * @param state its state, empty where it certainly has none
     * @param hasMarker whether its marker is there
     */
    public record JobInfo(
            RemovalStage stage,
            long stageSinceMs,
            long createdMs,
            Optional<JobState> state,
            boolean hasMarker) {}

    /** The next step. */
    public sealed interface Step {}

    /**
     * Nothing is due.
     *
     * @param dueMs when to look again, epoch milliseconds
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
     * @param facts what is known of the job
     * @param lookMs when this look at the job was due, epoch milliseconds
     * @param nowMs the time, epoch milliseconds
     * @return the step
     */
    public Step nextStep(JobInfo facts, long lookMs, long nowMs) {
        return switch (facts.stage()) {
            case LIVE -> live(facts, lookMs, nowMs);
            case RETIRED -> due(facts.stageSinceMs() + stepDelayMs, nowMs, new DeleteObjects());
            case EMPTIED -> due(facts.stageSinceMs() + stepDelayMs, nowMs, new DeleteHeader());
        };
    }

    private Step live(JobInfo facts, long lookMs, long nowMs) {
        boolean running = facts.state().map(state -> !state.phase().isTerminal()).orElse(false);
        boolean unclaimed = facts.state().isEmpty() && facts.hasMarker();
        if (running || unclaimed) {
            return new Wait(Math.max(lookMs + retentionMs, nowMs + stepDelayMs));
        }
        long endMs = facts.state().map(JobState::expectedEndMs).orElse(0L);
        return due(Math.max(facts.createdMs(), endMs) + retentionMs, nowMs, new Retire());
    }

    private static Step due(long dueMs, long nowMs, Step step) {
        return dueMs <= nowMs ? step : new Wait(dueMs);
    }

    /**
     * Whether a job that was never accepted in full is too old to be accepted after all.
     *
     * @param createdMs when its header was written, epoch milliseconds
     * @param nowMs the time, epoch milliseconds
     * @return true where it may be about to be removed
     */
    public boolean isTooOldToAccept(long createdMs, long nowMs) {
        return createdMs + retentionMs - stepDelayMs <= nowMs;
    }
}
