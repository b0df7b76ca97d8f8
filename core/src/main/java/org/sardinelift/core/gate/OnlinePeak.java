package org.sardinelift.core.gate;

/** The recent peak of online calls running at once; it decays towards what runs now. */
final class OnlinePeak {
    private final double halfLifeMs;
    private double peak;
    private long atMs;

    OnlinePeak(long halfLifeMs) {
        this.halfLifeMs = Math.max(1, halfLifeMs);
    }

    void record(long nowMs, int running) {
        peak = Math.max(running, decayed(nowMs, running));
        atMs = nowMs;
    }

    /** Free slots that the peak asks for beyond the calls running now. */
    int slotsToReserve(long nowMs, int running) {
        return (int) Math.round(Math.max(0, decayed(nowMs, running) - running));
    }

    private double decayed(long nowMs, int running) {
        double share = Math.pow(0.5, Math.max(0, nowMs - atMs) / halfLifeMs);
        return running + (peak - running) * share;
    }
}
