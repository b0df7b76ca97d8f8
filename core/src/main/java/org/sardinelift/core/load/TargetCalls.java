package org.sardinelift.core.load;

/**
 * Calls of one instance on a target, under way or queued there.
 *
 * @param online calls whose callers wait
 * @param batch items of batch jobs, which give way
 */
public record TargetCalls(int online, int batch) {
    /** No calls. */
    public static final TargetCalls NONE = new TargetCalls(0, 0);

    /**
     * Calls in all.
     *
     * @return online and batch
     */
    public int total() {
        return online + batch;
    }

    /**
     * Adds calls.
     *
     * @param other what to add
     * @return the sum
     */
    public TargetCalls plus(TargetCalls other) {
        return new TargetCalls(online + other.online, batch + other.batch);
    }
}
