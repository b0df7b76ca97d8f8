package org.sardinelift.core.route;

/**
 * Keeps a failing target out for growing pauses and lets it back in by a single probe. Not safe for
 * use by several threads at once.
 */
public final class Ejection {
    private final int failuresToEject;
    private final long firstPauseNanos;
    private final long longestPauseNanos;
    private int failures;
    private long pauseNanos;
    private long openAtNanos;
    private boolean out;
    private boolean probing;

    /** Whether calls may go to the target. */
    public enum Admission {
        /** Calls go to it. */
        IN,
        /** One call may go to it as a probe. */
        PROBE,
        /** No call goes to it. */
        OUT
    }

    private Ejection(int failuresToEject, long firstPauseNanos, long longestPauseNanos) {
        this.failuresToEject = failuresToEject;
        this.firstPauseNanos = firstPauseNanos;
        this.longestPauseNanos = longestPauseNanos;
    }

    /**
     * A target without failures.
     *
     * @param failuresToEject failures in a row that keep it out
     * @param firstPauseNanos first pause, nanoseconds
     * @param longestPauseNanos longest pause, nanoseconds
     * @return the state of one target
     */
    public static Ejection of(int failuresToEject, long firstPauseNanos, long longestPauseNanos) {
        return new Ejection(failuresToEject, firstPauseNanos, longestPauseNanos);
    }

    /**
     * Whether calls may go to the target.
     *
     * @param nowNanos time, nanoseconds
     * @return its admission
     */
    public Admission admission(long nowNanos) {
        if (!out) {
            return Admission.IN;
        }
        return probing || nowNanos - openAtNanos < 0 ? Admission.OUT : Admission.PROBE;
    }

    /**
     * Takes the place of the single probe.
     *
     * @param nowNanos time, nanoseconds
     * @return false where another call is the probe or the pause has not passed
     */
    public boolean tryStartProbe(long nowNanos) {
        if (admission(nowNanos) != Admission.PROBE) {
            return false;
        }
        probing = true;
        return true;
    }

    /**
     * A call on the target succeeded.
     *
     * @return whether this lets the target back in
     */
    public boolean onSuccess() {
        boolean wasOut = out;
        failures = 0;
        pauseNanos = 0;
        out = false;
        probing = false;
        return wasOut;
    }

    /**
     * A call on the target failed in a way that speaks against its health.
     *
     * @param nowNanos time, nanoseconds
     * @return whether the target was left out by this failure
     */
    public boolean onFailure(long nowNanos) {
        failures++;
        if (out && !probing) {
            return false;
        }
        if (failures < failuresToEject && !probing) {
            return false;
        }
        pauseNanos =
                pauseNanos == 0 ? firstPauseNanos : Math.min(longestPauseNanos, pauseNanos * 2);
        openAtNanos = nowNanos + pauseNanos;
        out = true;
        probing = false;
        return true;
    }

    /** The probe ended without telling anything about the target; another call may be the probe. */
    public void onProbeInconclusive() {
        probing = false;
    }
}
