package org.sardinelift.companion.target;

import java.util.function.Supplier;

/**
 * Whether the target lives, from probes and from calls that broke. A broken call is looked into by
 * a probe at once; one probe that is answered lets a target that was down back in. Not safe for use
 * by several threads.
 */
public final class TargetHealth {
    private final int failuresToDown;
    private final Supplier<String> incarnations;
    private String incarnation;
    private boolean isUp = true;
    private boolean broken;
    private int failures;

    private TargetHealth(int failuresToDown, Supplier<String> incarnations) {
        this.failuresToDown = failuresToDown;
        this.incarnations = incarnations;
        this.incarnation = incarnations.get();
    }

    /**
     * A target that counts as up until something else is seen.
     *
     * @param failuresToDown failed probes in a row after which the target is down
     * @param incarnations gives a new name for each life of the target
     * @return its health
     */
    public static TargetHealth create(int failuresToDown, Supplier<String> incarnations) {
        return new TargetHealth(failuresToDown, incarnations);
    }

    /** A connection of a call could not be opened or broke. */
    public void onConnectionFailed() {
        broken = true;
    }

    /**
     * A probe has ended.
     *
     * @param answered whether the target answered
     * @param callsRunning calls at the target whose connections stand
     * @return whether the target is another life of itself, or down, since the last probe
     */
    public boolean onProbe(boolean answered, int callsRunning) {
        boolean wasUp = isUp;
        String before = incarnation;
        if (answered) {
            boolean restarted = broken && callsRunning == 0;
            if (!isUp || restarted) {
                incarnation = incarnations.get();
            }
            isUp = true;
            failures = 0;
        } else {
            failures++;
            if (broken || failures >= failuresToDown) {
                isUp = false;
            }
        }
        broken = false;
        return wasUp != isUp || !before.equals(incarnation);
    }

    /**
     * Whether the target takes calls.
     *
     * @return false while it is down
     */
    public boolean isUp() {
        return isUp;
    }

    /**
     * Names this life of the target.
     *
     * @return another text after each recovery
     */
    public String incarnation() {
        return incarnation;
    }
}
