package org.sardinelift.core.gate;

/**
 * A call that asks for a slot.
 *
 * @param id unique among the calls of one gate
 * @param team team that it runs for
 * @param weight the team's weight, at least 1
 * @param batch whether it gives way to online calls
 * @param deadlineMs gate time at which it must not be started any more, milliseconds
 * @param resumable whether the target can go on with it after it was cut
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

    /**
     * The same call, not to be started from a time on, or from its deadline on if that is first.
     */
    GateCall startBefore(long timeMs) {
        return new GateCall(
                id, team, weight, isBatch, Math.min(deadlineMs, timeMs), isResumable, isSuspect);
    }
}
