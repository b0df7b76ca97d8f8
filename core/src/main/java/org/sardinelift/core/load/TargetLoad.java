package org.sardinelift.core.load;

/**
 * A target as the choice sees it at one moment.
 *
 * @param id name of the target
 * @param zone its availability zone
 * @param slots calls that it runs at once
 * @param use calls on it
 * @param callNanos time that a call holds a slot there
 * @param firstNanos time from the send to the first event where a slot is free
 */
public record TargetLoad(
        String id,
        String zone,
        int slots,
        TargetCalls calls,
        long callNanos,
        long timeToFirstEventNanos) {

    /**
     * Slots that nothing holds.
     *
     * @return free slots, negative where calls are queued
     */
    public int freeSlots() {
        return slots - calls.total();
    }

    /**
     * Slots that no online call holds: batch items give theirs up.
     *
     * @return free slots, negative where online calls are queued
     */
    public int freeSlotsForOnline() {
        return slots - calls.online();
    }

    /**
     * How long one more online call would wait for a slot.
     *
     * @return time, nanoseconds
     */
    public long expectedWaitNanos() {
        int ahead = 1 - freeSlotsForOnline();
        return ahead <= 0 ? 0 : ahead * (callNanos / Math.max(1, slots));
    }

    /**
     * When one more online call would have its first event.
     *
     * @return time from the send, nanoseconds
     */
    public long expectedFirstEventNanos() {
        return expectedWaitNanos() + timeToFirstEventNanos;
    }
}
