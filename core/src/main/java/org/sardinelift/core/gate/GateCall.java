package org.sardinelift.core.gate;

/**
 * A call that asks for a slot.
 *
 * @param id unique among the calls of one gate
 * @param team team that it runs for
 * @param weight the team's weight, at least 1
 * @param isBatch whether it is a batch call, which online calls may preempt
 * @param deadlineMs gate time from which it must not be started, milliseconds
 * @param isResumable whether the target can resume it after a preemption
 * @param isSuspect whether it may crash the target
 */
public record GateCall(
        String id,
        String team,
        int weight,
        boolean isBatch,
        long deadlineMs,
        boolean isResumable,
        boolean isSuspect) {

    /** Returns the same call with its deadline limited to a time. */
    GateCall withDeadlineAtMost(long timeMs) {
        return new GateCall(
                id, team, weight, isBatch, Math.min(deadlineMs, timeMs), isResumable, isSuspect);
    }
}
