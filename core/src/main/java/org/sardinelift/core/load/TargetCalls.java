package org.sardinelift.core.load;

/**
 * Numbers of calls on a target, running or queued there.
 *
 * @param online calls whose callers wait
 * @param batch items of batch jobs, which are preempted for online calls
 */
public record TargetCalls(int online, int batch) {
    /** No calls. */
    public static final TargetCalls NONE = new TargetCalls(0, 0);

    /**
     * Returns the number of all calls.
     *
     * @return online calls and batch items
     */
    public int total() {
        return online + batch;
    }

    /**
     * Adds calls.
     *
     * @param other the calls to add
     * @return the sum
     */
    public TargetCalls plus(TargetCalls other) {
        return new TargetCalls(online + other.online, batch + other.batch);
    }
}
