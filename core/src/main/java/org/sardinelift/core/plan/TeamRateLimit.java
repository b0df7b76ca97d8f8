package org.sardinelift.core.plan;

/**
 * Rate limit of a team.
 *
 * @param name name of the team
 * @param ratePerSecond calls per second over all instances, 0 for no limit
 * @param burst calls at once over all instances
 */
public record TeamRateLimit(String name, double ratePerSecond, double burst) {

    /**
     * Returns whether the team has a limit.
     *
     * @return false if its rate is 0
     */
    public boolean isLimited() {
        return ratePerSecond > 0;
    }
}
