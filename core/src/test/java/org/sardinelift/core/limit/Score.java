package org.sardinelift.core.limit;

import java.util.HashMap;
import java.util.Map;
import org.sardinelift.core.catalog.TeamPlan;

/**
 * Judges a way of limiting by two buckets for each team over the whole fleet: one fed with what was
 * admitted, which shows overrun, and an ideal one fed with what was offered.
 */
final class Score {
    private final Map<String, TokenBucket> actual = new HashMap<>();
    private final Map<String, TokenBucket> ideal = new HashMap<>();
    private final Map<String, Integer> due = new HashMap<>();
    private final Map<String, Integer> got = new HashMap<>();
    private int overrun;
    private int refused;

    void recordOffered(TeamPlan team, long now) {
        if (meter(ideal, team, now).tryAcquire()) {
            due.merge(team.name(), 1, Integer::sum);
        }
    }

    void recordAdmitted(TeamPlan team, long now) {
        got.merge(team.name(), 1, Integer::sum);
        if (!meter(actual, team, now).tryAcquire()) {
            overrun++;
        }
    }

    void refused() {
        refused++;
    }

    int overrun() {
        return overrun;
    }

    int refusals() {
        return refused;
    }

    int admissions() {
        return got.values().stream().mapToInt(Integer::intValue).sum();
    }

    /** Requests that the ideal bucket admits and that this way did not, over all teams. */
    int wronglyRefused() {
        return due.keySet().stream().mapToInt(this::wronglyRefused).sum();
    }

    int wronglyRefused(String team) {
        return Math.max(0, due.getOrDefault(team, 0) - got.getOrDefault(team, 0));
    }

    /** Part of its due that the worst-served team got. */
    double lowestServedFraction() {
        return due.entrySet().stream()
                .mapToDouble(team -> got.getOrDefault(team.getKey(), 0) / (double) team.getValue())
                .min()
                .orElse(1);
    }

    private static TokenBucket meter(Map<String, TokenBucket> meters, TeamPlan team, long now) {
        TokenBucket meter = meters.computeIfAbsent(team.name(), it -> new TokenBucket());
        meter.refill(team.ratePerSecond(), team.burst(), now);
        return meter;
    }
}
