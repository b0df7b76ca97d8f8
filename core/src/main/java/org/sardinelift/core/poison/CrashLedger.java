package org.sardinelift.core.poison;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/**
 * Records which requests, by fingerprint, were in flight when targets died. One death makes a
 * request a suspect. Suspects run one at a time on a target, and one copy of each at a time, so
 * that a second death shows which of them is the cause. Evidence of one death arrives from several
 * entries, so nothing is concluded and no suspect is run before the time for its arrival has
 * passed. Not safe for use by several threads at once.
 */
public final class CrashLedger {
    private final CrashBounds bounds;
    private final Map<String, Suspect> suspects = new LinkedHashMap<>();
    private final Map<String, Long> refusedUntilMs = new LinkedHashMap<>();
    private final Map<String, Death> deaths = new LinkedHashMap<>();
    private final Map<String, String> trialByTarget = new HashMap<>();

    private CrashLedger(CrashBounds bounds) {
        this.bounds = bounds;
    }

    /**
     * Creates an empty ledger.
     *
     * @param bounds time and size limits
     * @return the ledger
     */
    public static CrashLedger of(CrashBounds bounds) {
        return new CrashLedger(bounds);
    }

    /**
     * Returns the verdict on a request.
     *
     * @param fingerprint hash of the request
     * @param nowMs time, milliseconds
     * @return the verdict
     */
    public CrashVerdict verdict(String fingerprint, long nowMs) {
        Long refusedUntil = refusedUntilMs.get(fingerprint);
        if (refusedUntil != null && refusedUntil > nowMs) {
            return CrashVerdict.REFUSED;
        }
        refusedUntilMs.remove(fingerprint);
        Suspect suspect = suspects.get(fingerprint);
        if (suspect == null || suspect.lastDeathMs + bounds.suspectForMs() <= nowMs) {
            suspects.remove(fingerprint);
            return CrashVerdict.CLEAR;
        }
        if (!isSettled(suspect, nowMs)) {
            return CrashVerdict.SUSPECT;
        }
        if (hasKilledAsOnlySuspect(fingerprint, suspect)) {
            refuse(fingerprint, nowMs + bounds.refuseForMs());
        } else if (isOnlyCommon(fingerprint, suspect)) {
            refuse(fingerprint, nowMs + bounds.suspectForMs());
        }
        return refusedUntilMs.containsKey(fingerprint)
                ? CrashVerdict.REFUSED
                : CrashVerdict.SUSPECT;
    }

    /**
     * Records that a target died with a request in flight.
     *
     * @param fingerprint hash of the request
     * @param targetIncarnation the incarnation of the target that died
     * @param isSingleSuspect whether the request ran there as the only suspect
     * @param nowMs time, milliseconds
     */
    public void onTargetDeath(
            String fingerprint, String targetIncarnation, boolean isSingleSuspect, long nowMs) {
        Death death = deaths.computeIfAbsent(targetIncarnation, key -> new Death());
        Suspect suspect = suspects.computeIfAbsent(fingerprint, key -> new Suspect());
        if (suspect.deaths.add(targetIncarnation)) {
            suspect.lastDeathMs = nowMs;
            death.inFlight.add(fingerprint);
            if (isSingleSuspect) {
                death.singleSuspects.add(fingerprint);
            }
        }
        dropOldest(deaths);
        dropOldest(suspects);
    }

    /**
     * Records that another instance has decided to refuse a request.
     *
     * @param fingerprint hash of the request
     * @param untilMs time until which it is refused, milliseconds
     */
    public void onRefused(String fingerprint, long untilMs) {
        refuse(fingerprint, untilMs);
    }

    /**
     * Clears a request that was completed by a target that is still alive.
     *
     * @param fingerprint hash of the request
     */
    public void onCompleted(String fingerprint) {
        suspects.remove(fingerprint);
    }

    /**
     * Returns the time until which a request is refused.
     *
     * @param fingerprint hash of the request
     * @return milliseconds, 0 if it is not refused
     */
    public long refusedUntilMs(String fingerprint) {
        return refusedUntilMs.getOrDefault(fingerprint, 0L);
    }

    /**
     * Starts a trial of a request as the only suspect on a target.
     *
     * @param fingerprint hash of the request
     * @param target name of the target
     * @param waitMs additional time, after the evidence has settled, for which the trial is left to
     *     others, milliseconds
     * @param nowMs time, milliseconds
     * @return false if another suspect runs there, another copy of this one is on trial, the
     *     evidence has not settled, or the request is refused
     */
    public boolean tryStartTrial(String fingerprint, String target, long waitMs, long nowMs) {
        if (verdict(fingerprint, nowMs) == CrashVerdict.REFUSED) {
            return false;
        }
        Suspect suspect = suspects.get(fingerprint);
        if (trialByTarget.containsKey(target)
                || trialByTarget.containsValue(fingerprint)
                || suspect != null && !isSettled(suspect, nowMs - waitMs)) {
            return false;
        }
        trialByTarget.put(target, fingerprint);
        return true;
    }

    /**
     * Ends the trial of a suspect on a target, with whatever outcome.
     *
     * @param fingerprint hash of the request
     * @param target name of the target
     */
    public void endTrial(String fingerprint, String target) {
        trialByTarget.remove(target, fingerprint);
    }

    private boolean isSettled(Suspect suspect, long nowMs) {
        return nowMs >= suspect.lastDeathMs + bounds.settleMs();
    }

    /**
     * Whether a target died with the request as its only suspect: no other request in flight was at
     * another death.
     */
    private boolean hasKilledAsOnlySuspect(String fingerprint, Suspect suspect) {
        return deathsOf(suspect)
                .filter(death -> death.singleSuspects.contains(fingerprint))
                .anyMatch(
                        death ->
                                death.inFlight.stream()
                                        .filter(other -> !other.equals(fingerprint))
                                        .noneMatch(this::wasAtSeveralDeaths));
    }

    private boolean wasAtSeveralDeaths(String fingerprint) {
        Suspect suspect = suspects.get(fingerprint);
        return suspect != null && suspect.deaths.size() > 1;
    }

    /** Whether two targets died and no other request was in flight on both. */
    private boolean isOnlyCommon(String fingerprint, Suspect suspect) {
        List<Death> knownDeaths = deathsOf(suspect).toList();
        return IntStream.range(1, knownDeaths.size())
                .anyMatch(
                        later ->
                                knownDeaths.subList(0, later).stream()
                                        .anyMatch(
                                                earlier ->
                                                        isOnlyOneInBoth(
                                                                fingerprint,
                                                                earlier,
                                                                knownDeaths.get(later))));
    }

    private static boolean isOnlyOneInBoth(String fingerprint, Death first, Death second) {
        return first.inFlight.stream()
                .filter(second.inFlight::contains)
                .allMatch(fingerprint::equals);
    }

    private Stream<Death> deathsOf(Suspect suspect) {
        return suspect.deaths.stream().map(deaths::get).filter(Objects::nonNull);
    }

    private void refuse(String fingerprint, long untilMs) {
        refusedUntilMs.merge(fingerprint, untilMs, Math::max);
        suspects.remove(fingerprint);
        // The cause of these deaths is known, so they are no evidence against other requests.
        deaths.values().removeIf(death -> death.inFlight.contains(fingerprint));
        dropOldest(refusedUntilMs);
    }

    private void dropOldest(Map<String, ?> map) {
        Iterator<String> oldest = map.keySet().iterator();
        while (map.size() > bounds.maxEntries()) {
            oldest.next();
            oldest.remove();
        }
    }

    /** A request that was in flight when targets died. */
    private static final class Suspect {
        private final Set<String> deaths = new LinkedHashSet<>();
        private long lastDeathMs;
    }

    /** The death of one incarnation of a target. */
    private static final class Death {
        private final Set<String> inFlight = new HashSet<>();
        private final Set<String> singleSuspects = new HashSet<>();
    }
}
