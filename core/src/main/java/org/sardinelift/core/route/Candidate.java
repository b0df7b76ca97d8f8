package org.sardinelift.core.route;

import java.util.Set;

/**
 * A target as the router sees it at one moment.
 *
 * @param name name of the companion beside the target
 * @param service service that the target offers
 * @param zone availability zone
 * @param models models loaded, empty for a plain service
 * @param slots calls that the target runs at once
 * @param inFlight online calls of this entry on it
 * @param reported online calls of all entries on it, running and queued, as last reported
 * @param usable whether new work may be sent: connected, healthy and not leaving
 * @param admission whether failures keep it out
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
     * Calls on the target: the report lags, so this entry's own calls are a lower bound.
     *
     * @return the larger of the reported and this entry's own calls
     */
    public int load() {
        return Math.max(inFlight, reportedCalls);
    }

    /**
     * Load for each slot.
     *
     * @return 1.0 where every slot is taken
     */
    public double slotUtilization() {
        return (double) load() / Math.max(1, slots);
    }

    /**
     * Whether the target can run a model.
     *
     * @param model model or adapter, empty for any
     * @return true where it is loaded
     */
    public boolean canServe(String model) {
        return model.isEmpty() || models.contains(model);
    }
}
