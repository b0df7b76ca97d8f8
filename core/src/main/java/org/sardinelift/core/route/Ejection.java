package org.sardinelift.core.route;

/**
 * Ejects a failing target for increasingly long pauses and readmits it after a successful probe by
 * a single call. Not thread-safe.
 */
public final class Ejection {
    private final int failuresToEject;
    private final long firstPauseNanos;
    private final long longestPauseNanos;
    private int failures;
    private long pauseNanos;
    private long probeAtNanos;
    private boolean isEjected;
    private boolean isProbing;

    /** Whether calls may be sent to the target. */
    public enum Admission {
        /** Calls may be sent. */
        IN,
        /** One call may be sent as a probe. */
        PROBE,
        /** No call may be sent. */
        OUT
    }

    private Ejection(int failuresToEject, long firstPauseNanos, long longestPauseNanos) {
        this.failuresToEject = failuresToEject;
        this.firstPauseNanos = firstPauseNanos;
        this.longestPauseNanos = longestPauseNanos;
    }

    /**
     * Creates the state of a target without failures.
     *
     * @param failuresToEject failures in a row that eject the target
     * @param firstPauseNanos first pause, nanoseconds
     * @param longestPauseNanos longest pause, nanoseconds
     * @return the state of one target
     */
    public static Ejection of(int failuresToEject, long firstPauseNanos, long longestPauseNanos) {
        return new Ejection(failuresToEject, firstPauseNanos, longestPauseNanos);
    }

    /**
     * Returns whether calls may be sent to the target.
     *
     * @param nowNanos time, nanoseconds
     * @return its admission
     */
    public Admission admission(long nowNanos) {
        if (!isEjected) {
            return Admission.IN;
        }
        return isProbing || nowNanos - probeAtNanos < 0 ? Admission.OUT : Admission.PROBE;
    }

    /**
     * Starts the probe if one may be sent.
     *
     * @param nowNanos time, nanoseconds
     * @return false if another call is the probe or the pause has not passed
     */
    public boolean tryStartProbe(long nowNanos) {
        if (admission(nowNanos) != Admission.PROBE) {
            return false;
        }
        isProbing = true;
        return true;
    }

    /**
     * A call on the target succeeded.
     *
     * @return whether this readmits the target
     */
    public boolean onSuccess() {
        boolean wasEjected = isEjected;
        failures = 0;
        pauseNanos = 0;
        isEjected = false;
        isProbing = false;
        return wasEjected;
    }

    /**
     * A call on the target failed in a way that indicates a fault of the target.
     *
     * @param nowNanos time, nanoseconds
     * @return whether this failure ejects the target
     */
    public boolean onFailure(long nowNanos) {
        failures++;
        if (isEjected && !isProbing) {
            return false;
        }
        if (failures < failuresToEject && !isProbing) {
            return false;
        }
        pauseNanos =
                pauseNanos == 0 ? firstPauseNanos : Math.min(longestPauseNanos, pauseNanos * 2);
        probeAtNanos = nowNanos + pauseNanos;
        isEjected = true;
        isProbing = false;
        return true;
    }

    /** The probe ended without a result on the target's health; another call may be the probe. */
    public void onProbeInconclusive() {
        isProbing = false;
    }
}
