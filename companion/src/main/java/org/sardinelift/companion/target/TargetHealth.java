package org.sardinelift.companion.target;

import java.util.function.Supplier;

/**
 * Health of the target, derived from probes and from failed connections of calls. A failed
 * connection is followed by a probe at once, and that one probe decides; otherwise several probes
 * must fail in a row to mark the target down. One answered probe marks it up again. Not
 * thread-safe.
 */
public final class TargetHealth {
    private final int failureThreshold;
    private final Supplier<String> incarnations;
    private String incarnation;
    private boolean isUp = true;
    private boolean hasConnectionFailed;
    private int consecutiveFailures;

    private TargetHealth(int failureThreshold, Supplier<String> incarnations) {
        this.failureThreshold = failureThreshold;
        this.incarnations = incarnations;
        this.incarnation = incarnations.get();
    }

    /**
     * Creates the health of a target that counts as up initially.
     *
     * @param failureThreshold consecutive failed probes after which the target is down
     * @param incarnations generates an id for each incarnation of the target
     * @return the health
     */
    public static TargetHealth create(int failureThreshold, Supplier<String> incarnations) {
        return new TargetHealth(failureThreshold, incarnations);
    }

    /** Called when a connection of a call could not be opened or was lost. */
    public void onConnectionFailed() {
        hasConnectionFailed = true;
    }

    /**
     * Called when a probe has ended.
     *
     * @param answered whether the target answered
     * @param callsRunning calls at the target whose connections are open
     * @return whether the target's state or incarnation has changed since the last probe
     */
    public boolean onProbe(boolean answered, int callsRunning) {
        boolean wasUp = isUp;
        String previous = incarnation;
        if (answered) {
            boolean restarted = hasConnectionFailed && callsRunning == 0;
            if (!isUp || restarted) {
                incarnation = incarnations.get();
            }
            isUp = true;
            consecutiveFailures = 0;
        } else {
            consecutiveFailures++;
            if (hasConnectionFailed || consecutiveFailures >= failureThreshold) {
                isUp = false;
            }
        }
        hasConnectionFailed = false;
        return wasUp != isUp || !previous.equals(incarnation);
    }

    /**
     * Whether the target accepts calls.
     *
     * @return false while it is down
     */
    public boolean isUp() {
        return isUp;
    }

    /**
     * Identifies the current incarnation of the target.
     *
     * @return an id that changes with each recovery
     */
    public String incarnation() {
        return incarnation;
    }
}
