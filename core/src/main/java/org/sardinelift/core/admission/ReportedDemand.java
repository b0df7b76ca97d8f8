package org.sardinelift.core.admission;

import java.util.Map;

/**
 * Demand for the slots of a service at one gateway, as it is told to the others.
 *
 * @param slotsByTeam slots demanded by the teams named
 * @param otherTeams number of teams that are not named
 * @param otherSlots slots that these demand together
 */
public record ReportedDemand(Map<String, Double> slotsByTeam, int otherTeams, double otherSlots) {
    /** Largest number of teams that a report names. */
    public static final int MAX_TEAMS = 64;

    /**
     * Returns whether teams may be missing that would be named if there was no bound.
     *
     * @return true if the bound is reached
     */
    boolean isCut() {
        return slotsByTeam.size() >= MAX_TEAMS && otherTeams > 0;
    }

    /** Mean demand of a team that a cut report doesn't name; 0 for other reports. */
    double meanOfUnnamed() {
        return isCut() ? otherSlots / otherTeams : 0;
    }
}
