package org.sardinelift.core.poison;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Evidence that requests with one trait crash their targets. Times are nanoseconds. */
final class CrashCause {
    /** Enough to tell apart causes that several targets died with; bounds the memory. */
    private static final int MAX_DEATHS = 64;

    private static final long FIRST_TRIAL_DELAY_NANOS = 3_000_000_000L;
    private static final long TRIAL_DELAY_FACTOR = 8;
    private static final int MAX_TRIAL_DELAY_STEPS = 5;

    /** Longer than the reports repeat a claim. */
    private static final long TRIAL_ROUND_NANOS = 2_000_000_000L;

    private final long trait;
    private final boolean isPart;
    private final Set<String> deaths = new LinkedHashSet<>();
    private final Set<String> clearedDeaths = new LinkedHashSet<>();
    private final Map<String, Long> claims = new HashMap<>();
    private int trials;
    private long lastEvidenceAt;
    private long lastRequestAt;

    CrashCause(long trait, boolean isPart, long now) {
        this.trait = trait;
        this.isPart = isPart;
        this.lastEvidenceAt = now;
        this.lastRequestAt = now;
    }

    long trait() {
        return trait;
    }

    boolean isPart() {
        return isPart;
    }

    Set<String> deaths() {
        return deaths;
    }

    List<String> latestDeaths(int count) {
        List<String> all = new ArrayList<>(deaths);
        return List.copyOf(all.subList(Math.max(0, all.size() - count), all.size()));
    }

    int trials() {
        return trials;
    }

    long lastEvidenceAt() {
        return lastEvidenceAt;
    }

    /** When a request with the trait, or evidence against it, came last. */
    long lastSeenAt() {
        return Math.max(lastRequestAt, lastEvidenceAt);
    }

    /** Adds the death of a target and returns whether it is new. */
    boolean addDeath(String target, long now) {
        if (clearedDeaths.contains(target) || deaths.size() >= MAX_DEATHS || !deaths.add(target)) {
            return false;
        }
        lastEvidenceAt = now;
        return true;
    }

    /** Deaths up to now no longer count, also where other instances report them again. */
    void clear() {
        clearedDeaths.addAll(deaths);
        clearedDeaths.stream()
                .limit(Math.max(0, clearedDeaths.size() - MAX_DEATHS))
                .toList()
                .forEach(clearedDeaths::remove);
        deaths.clear();
        claims.clear();
        trials = 0;
    }

    void onRequest(long now) {
        lastRequestAt = now;
    }

    /** Takes over the trials that another instance knows of. */
    void mergeTrials(int otherTrials, long evidenceAt) {
        trials = Math.max(trials, otherTrials);
        lastEvidenceAt = Math.max(lastEvidenceAt, evidenceAt);
    }

    /** Time until one request with the trait may be tried again; not positive if it is due. */
    long nanosUntilTrial(long now) {
        long delay = FIRST_TRIAL_DELAY_NANOS;
        for (int i = 0; i < Math.min(trials, MAX_TRIAL_DELAY_STEPS); i++) {
            delay *= TRIAL_DELAY_FACTOR;
        }
        return lastEvidenceAt + delay - now;
    }

    /** An instance claims the next trial; claims of one round count as one trial. */
    void onTrialClaim(String instance, long now) {
        boolean isNewRound = claims.values().stream().allMatch(at -> now - at >= TRIAL_ROUND_NANOS);
        if (isNewRound) {
            claims.clear();
            trials++;
            lastEvidenceAt = now;
        }
        claims.putIfAbsent(instance, now);
    }

    /** Whether an instance runs the trial: of those that claim it, the first by name does. */
    boolean isTrialWinner(String instance) {
        return claims.containsKey(instance)
                && claims.keySet().stream().allMatch(other -> instance.compareTo(other) <= 0);
    }
}
