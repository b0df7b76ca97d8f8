package org.sardinelift.core.gate;

/**
 * Settings of a {@link SlotGate}.
 *
 * @param isEnabled whether the gate makes calls wait for slots; if not, each call starts at once
 * @param slots calls that the target runs at once
 * @param maxOnlineQueue online calls that may wait
 * @param maxBatchQueue batch calls that may wait
 * @param batchAhead batch calls requested beyond the free slots, so that no slot is empty until the
 *     next call arrives
 * @param minReserve minimum number of slots that batch calls leave free
 * @param maxReserve maximum number of slots that batch calls leave free
 * @param reserveHalfLifeMs time in which the reserve for a past online peak halves, milliseconds
 * @param resumeWaitMs longest time for which a preempted call waits for a slot, milliseconds
 * @param reportSlackMs largest error of the time to which a load report refers, milliseconds
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
    private static final int SLOTS_PER_BATCH_CALL_AHEAD = 4;
    private static final long DEFAULT_RESERVE_HALF_LIFE_MS = 2_000;
    private static final long DEFAULT_RESUME_WAIT_MS = 60_000;
    private static final long DEFAULT_REPORT_SLACK_MS = 250;
    private static final long DEFAULT_REPORT_TTL_MS = 5_000;

    /**
     * Returns the defaults, which suit a model engine.
     *
     * @param slots calls that the target runs at once
     * @return default settings
     */
    public static GateSettings defaults(int slots) {
        return new GateSettings(
                true,
                slots,
                DEFAULT_ONLINE_QUEUE,
                DEFAULT_BATCH_QUEUE,
                Math.max(1, slots / SLOTS_PER_BATCH_CALL_AHEAD),
                DEFAULT_MIN_RESERVE,
                Math.max(1, slots / SLOTS_PER_RESERVED_SLOT),
                DEFAULT_RESERVE_HALF_LIFE_MS,
                DEFAULT_RESUME_WAIT_MS,
                DEFAULT_REPORT_SLACK_MS,
                DEFAULT_REPORT_TTL_MS);
    }
}
