package org.sardinelift.core.route;

import java.util.Set;

/**
 * Snapshot of a target for the router.
 *
 * @param name name of the companion beside the target
 * @param service service that the target runs
 * @param zone availability zone
 * @param models loaded models, empty for a plain service
 * @param slots calls that the target runs at once
 * @param inFlight online calls of this entry on it
 * @param reportedCalls online calls of all entries on it, running and queued, as last reported
 * @param isUsable whether new calls may be sent: it is connected, healthy and not leaving
 * @param admission whether it is ejected because of failures
 */
public record Candidate(
        String name,
        String service,
        String zone,
        Set<String> models,
        int slots,
        int inFlight,
        int reportedCalls,
        boolean isUsable,
        Ejection.Admission admission) {

    /**
     * Returns the number of calls on the target. The report lags, so this entry's own calls are a
     * lower bound.
     *
     * @return the larger of the reported and this entry's own calls
     */
    public int load() {
        return Math.max(inFlight, reportedCalls);
    }

    /**
     * Returns the load per slot.
     *
     * @return 1.0 if every slot is in use, more if calls are queued
     */
    public double slotUtilization() {
        return (double) load() / Math.max(1, slots);
    }

    /**
     * Returns whether the target can run a model.
     *
     * @param model name of the model or adapter, empty for any
     * @return true if it is loaded
     */
    public boolean canServe(String model) {
        return model.isEmpty() || models.contains(model);
    }
}
