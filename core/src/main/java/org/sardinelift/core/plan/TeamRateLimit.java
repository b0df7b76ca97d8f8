package org.sardinelift.core.plan;

/**
 * What a team may send.
 *
 * @param name name of the team
 * @param ratePerSecond calls a second over all instances, 0 for no limit
 * @param burst calls at once over all instances
 */
public record TeamRateLimit(String name, double ratePerSecond, double burst) {

    /**
     * Whether the team's calls are counted.
     *
     * @return true where it has a rate
     */
    public boolean isLimited() {
        return ratePerSecond > 0;
    }
}
