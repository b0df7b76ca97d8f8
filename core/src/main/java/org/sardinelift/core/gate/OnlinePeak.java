package org.sardinelift.core.gate;

/** Recent peak of the number of running online calls; decays towards the current number. */
final class OnlinePeak {
    private final double halfLifeMs;
    private double peak;
    private long recordedMs;

    OnlinePeak(long halfLifeMs) {
        this.halfLifeMs = Math.max(1, halfLifeMs);
    }

    void record(long nowMs, int running) {
        peak = Math.max(running, decayed(nowMs, running));
        recordedMs = nowMs;
    }

    /** Slots to keep free for the peak, beyond the calls running now. */
    int slotsToReserve(long nowMs, int running) {
        return (int) Math.round(Math.max(0, decayed(nowMs, running) - running));
    }

    private double decayed(long nowMs, int running) {
        double remainingFraction = Math.pow(0.5, Math.max(0, nowMs - recordedMs) / halfLifeMs);
        return running + (peak - running) * remainingFraction;
    }
}
