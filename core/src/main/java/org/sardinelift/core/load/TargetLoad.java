package org.sardinelift.core.load;

/**
 * Load of a target at one moment.
 *
 * @param id name of the target
 * @param zone its availability zone
 * @param slots calls that it runs at once
 * @param calls calls on it
 * @param callNanos time that a call occupies a slot, nanoseconds
 * @param timeToFirstEventNanos time from sending a call to its first event if a slot is free,
 *     nanoseconds
 */
public record TargetLoad(
        String id,
        String zone,
        int slots,
        TargetCalls calls,
        long callNanos,
        long timeToFirstEventNanos) {

    /**
     * Returns the slots that no call occupies.
     *
     * @return number of free slots, negative if calls are queued
     */
    public int freeSlots() {
        return slots - calls.total();
    }

    /**
     * Returns the slots that no online call occupies: batch items are preempted for online calls.
     *
     * @return number of slots, negative if online calls are queued
     */
    public int freeSlotsForOnline() {
        return slots - calls.online();
    }

    /**
     * Returns how long another online call would wait for a slot.
     *
     * @return expected time, nanoseconds
     */
    public long expectedWaitNanos() {
        int ahead = 1 - freeSlotsForOnline();
        return ahead <= 0 ? 0 : ahead * (callNanos / Math.max(1, slots));
    }

    /**
     * Returns how long another online call would wait for its first event.
     *
     * @return expected time from sending the call, nanoseconds
     */
    public long expectedFirstEventNanos() {
        return expectedWaitNanos() + timeToFirstEventNanos;
    }
}
