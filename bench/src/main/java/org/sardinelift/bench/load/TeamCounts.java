package org.sardinelift.bench.load;

/**
 * Numbers of requests of one team.
 *
 * @param sent requests sent
 * @param withinRate requests that were within the team's rate and burst
 * @param served requests with a complete answer
 * @param rateLimited requests refused over the team's rate
 */
public record TeamCounts(long sent, long withinRate, long served, long rateLimited) {

    static TeamCounts of(Sample sample) {
        return new TeamCounts(
                1,
                sample.arrival().isWithinRate() ? 1 : 0,
                sample.isServed() ? 1 : 0,
                sample.isRateLimited() ? 1 : 0);
    }

    TeamCounts plus(TeamCounts other) {
        return new TeamCounts(
                sent + other.sent,
                withinRate + other.withinRate,
                served + other.served,
                rateLimited + other.rateLimited);
    }

    /**
     * Returns the number of requests refused although fewer were served than the team's rate
     * allows. For a team that sends more than its rate it does not matter which requests were
     * refused.
     *
     * @return number of requests
     */
    public long wronglyRefused() {
        return Math.min(rateLimited, Math.max(0, withinRate - served));
    }

    /**
     * Returns the requests served as a fraction of those within the rate.
     *
     * @return 1 for all; above 1 if more than the rate was served
     */
    public double servedFraction() {
        return withinRate == 0 ? 1 : (double) served / withinRate;
    }
}
