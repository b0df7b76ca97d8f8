package org.sardinelift.core.gate;

/**
 * Bounds of a gate.
 *
 * @param isEnabled whether the gate holds calls back; if not, each starts as it comes
 * @param slots calls that the target runs at once
 * @param maxOnlineQueue online calls that may wait
 * @param maxBatchQueue batch calls that may wait
 * @param batchAhead batch calls asked for beyond the free slots, so that no slot stands empty until
 *     the next one has come
 * @param minReserve free slots that batch calls always leave
 * @param maxReserve free slots that batch calls leave at most
 * @param reserveHalfLifeMs time in which a past online peak counts half, milliseconds
 * @param resumeWaitMs longest time that a preempted call waits for a slot again, milliseconds
 * @param reportSlackMs how far the time of a load report may be off, milliseconds
 * @param reportTtlMs age past which a load report is ignored, milliseconds
 */
public record GateSettings(
        boolean isEnabled,
        int slots,
        int maxOnlineQueue,
        int maxBatchQueue,
        int batchAhead,
        int minReserve,
        int maxReserve,
        long reserveHalfLifeMs,
        long resumeWaitMs,
        long reportSlackMs,
        long reportTtlMs) {
    private static final int DEFAULT_ONLINE_QUEUE = 1_000;
    private static final int DEFAULT_BATCH_QUEUE = 64;
    private static final int DEFAULT_MIN_RESERVE = 0;
    private static final int SLOTS_PER_RESERVED_SLOT = 8;
    private static final int SLOTS_PER_CALL_AHEAD = 4;
    private static final long DEFAULT_RESERVE_HALF_LIFE_MS = 2_000;
    private static final long DEFAULT_RESUME_WAIT_MS = 60_000;
    private static final long DEFAULT_REPORT_SLACK_MS = 250;
    private static final long DEFAULT_REPORT_TTL_MS = 5_000;

    /**
     * Bounds that suit a model engine.
     *
     * @param slots calls that the target runs at once
     * @return the default bounds
     */
    public static GateSettings defaults(int slots) {
        return new GateSettings(
                true,
                slots,
                DEFAULT_ONLINE_QUEUE,
                DEFAULT_BATCH_QUEUE,
                Math.max(1, slots / SLOTS_PER_CALL_AHEAD),
                DEFAULT_MIN_RESERVE,
                Math.max(1, slots / SLOTS_PER_RESERVED_SLOT),
                DEFAULT_RESERVE_HALF_LIFE_MS,
                DEFAULT_RESUME_WAIT_MS,
                DEFAULT_REPORT_SLACK_MS,
                DEFAULT_REPORT_TTL_MS);
    }
}
