package org.sardinelift.core.limit;

import java.util.HashMap;
import java.util.Map;
import org.sardinelift.core.catalog.TeamPlan;

/**
 * Scores an approach to limiting by two buckets for each team over the whole fleet: one charged
 * with the admitted requests, which shows overrun, and an ideal one charged with all requests.
 */
final class Score {
    private final Map<String, TokenBucket> actualBuckets = new HashMap<>();
    private final Map<String, TokenBucket> idealBuckets = new HashMap<>();
    private final Map<String, Integer> idealCounts = new HashMap<>();
    private final Map<String, Integer> admittedCounts = new HashMap<>();
    private int overrun;
    private int refusals;

    void recordOffered(TeamPlan team, long now) {
        if (filledBucket(idealBuckets, team, now).tryAcquire()) {
            idealCounts.merge(team.name(), 1, Integer::sum);
        }
    }

    void recordAdmitted(TeamPlan team, long now) {
        admittedCounts.merge(team.name(), 1, Integer::sum);
        if (!filledBucket(actualBuckets, team, now).tryAcquire()) {
            overrun++;
        }
    }

    void recordRefused() {
        refusals++;
    }

    int overrun() {
        return overrun;
    }

    int refusals() {
        return refusals;
    }

    int admissions() {
        return admittedCounts.values().stream().mapToInt(Integer::intValue).sum();
    }

    /** Number of requests, over all teams, that the ideal bucket admits and the fleet refused. */
    int wronglyRefused() {
        return idealCounts.keySet().stream().mapToInt(this::wronglyRefused).sum();
    }

    int wronglyRefused(String team) {
        return Math.max(
                0, idealCounts.getOrDefault(team, 0) - admittedCounts.getOrDefault(team, 0));
    }

    /**
     * Fraction of the requests admitted by the ideal bucket that the worst-served team got
     * admitted.
     */
    double lowestServedFraction() {
        return idealCounts.entrySet().stream()
                .mapToDouble(
                        team ->
                                admittedCounts.getOrDefault(team.getKey(), 0)
                                        / (double) team.getValue())
                .min()
                .orElse(1);
    }

    private static TokenBucket filledBucket(
            Map<String, TokenBucket> buckets, TeamPlan team, long now) {
        TokenBucket bucket = buckets.computeIfAbsent(team.name(), name -> new TokenBucket());
        bucket.refill(team.ratePerSecond(), team.burst(), now);
        return bucket;
    }
}
