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
 * @param isRateLimited whether the target limits the rate of its requests
 * @param sendDelayNanos time until that limit allows another request, nanoseconds
 * @param needsConnection whether the call would need a new connection to the target
 * @param workTime how long work takes at the target, as a multiple of the usual time; 0 if the
 *     target doesn't state that
 */
public record TargetLoad(
        String id,
        String zone,
        int slots,
        TargetCalls calls,
        long callNanos,
        long timeToFirstEventNanos,
        boolean isRateLimited,
        long sendDelayNanos,
        boolean needsConnection,
        double workTime) {

    /**
     * Creates the load of a target, whatever the connections to it.
     *
     * @param id name of the target
     * @param zone its availability zone
     * @param slots calls that it runs at once
     * @param calls calls on it
     * @param callNanos time that a call occupies a slot, nanoseconds
     * @param timeToFirstEventNanos time from sending a call to its first event if a slot is free,
     *     nanoseconds
     * @param isRateLimited whether the target limits the rate of its requests
     * @param sendDelayNanos time until that limit allows another request, nanoseconds
     */
    public TargetLoad(
            String id,
            String zone,
            int slots,
            TargetCalls calls,
            long callNanos,
            long timeToFirstEventNanos,
            boolean isRateLimited,
            long sendDelayNanos) {
        this(
                id,
                zone,
                slots,
                calls,
                callNanos,
                timeToFirstEventNanos,
                isRateLimited,
                sendDelayNanos,
                false,
                0);
    }

    /**
     * Returns the load of a target that limits the rate of its requests.
     *
     * @param delayNanos time until the limit allows another request, nanoseconds
     * @return the load
     */
    public TargetLoad withRateLimit(long delayNanos) {
        return new TargetLoad(
                id,
                zone,
                slots,
                calls,
                callNanos,
                timeToFirstEventNanos,
                true,
                delayNanos,
                needsConnection,
                workTime);
    }

    /**
     * Returns the load of a target to which the call would need a new connection.
     *
     * @return the load
     */
    public TargetLoad withNewConnection() {
        return new TargetLoad(
                id,
                zone,
                slots,
                calls,
                callNanos,
                timeToFirstEventNanos,
                isRateLimited,
                sendDelayNanos,
                true,
                workTime);
    }

    /**
     * Returns the load of a target that states how long work takes.
     *
     * @param multiple multiple of the usual time
     * @return the load
     */
    public TargetLoad withWorkTime(double multiple) {
        return new TargetLoad(
                id,
                zone,
                slots,
                calls,
                callNanos,
                timeToFirstEventNanos,
                isRateLimited,
                sendDelayNanos,
                needsConnection,
                multiple);
    }

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
     * Returns whether a call sent now would run at once.
     *
     * @return true if a slot is free and the rate limit allows a request
     */
    public boolean isFree() {
        return freeSlots() > 0 && sendDelayNanos == 0;
    }

    /**
     * Returns whether an online call sent now would run at once, if need be in the slot of a batch
     * item.
     *
     * @return true if no online call occupies a slot and the rate limit allows a request
     */
    public boolean isFreeForOnline() {
        return freeSlotsForOnline() > 0 && sendDelayNanos == 0;
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
     * @return expected time from now, nanoseconds
     */
    public long expectedFirstEventNanos() {
        return Math.max(expectedWaitNanos(), sendDelayNanos) + timeToFirstEventNanos;
    }
}
