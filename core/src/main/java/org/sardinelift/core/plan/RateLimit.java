package org.sardinelift.core.plan;

/**
 * Limit on the rate of calls, over all instances together.
 *
 * @param name name of the team whose calls it limits, or of the target that receives them
 * @param ratePerSecond calls per second, 0 for no limit
 * @param burst calls at once
 */
public record RateLimit(String name, double ratePerSecond, double burst) {

    /**
     * Returns whether calls are limited.
     *
     * @return false if the rate is 0
     */
    public boolean isLimited() {
        return ratePerSecond > 0;
    }
}
