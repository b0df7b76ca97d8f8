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
 * Evidence of target deaths by the fingerprints of the requests in flight. One death makes a
 * request a suspect. Suspects run one at a time on a target, and one copy of each at a time, so
 * that a second death settles which of them is to blame. Evidence of one death comes from several
 * entries, so nothing is concluded and no suspect is run before it has settled. Not safe for use by
 * several threads at once.
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
     * An empty ledger.
     *
     * @param bounds times and sizes
     * @return the ledger
     */
    public static CrashLedger of(CrashBounds bounds) {
        return new CrashLedger(bounds);
    }

    /**
     * What is known of a request.
     *
     * @param fingerprint hash of the request
     * @param nowMs time, milliseconds
     * @return its standing
     */
    public CrashVerdict verdict(String fingerprint, long nowMs) {
        Long until = refusedUntilMs.get(fingerprint);
        if (until != null && until > nowMs) {
            return CrashVerdict.REFUSED;
        }
        refusedUntilMs.remove(fingerprint);
        Suspect suspect = suspects.get(fingerprint);
        if (suspect == null || suspect.lastMs + bounds.suspectForMs() <= nowMs) {
            suspects.remove(fingerprint);
            return CrashVerdict.CLEAR;
        }
        if (!settled(suspect, nowMs)) {
            return CrashVerdict.SUSPECT;
        }
        if (killedAlone(fingerprint, suspect)) {
            refuse(fingerprint, nowMs + bounds.refuseForMs());
        } else if (isOnlyCommon(fingerprint, suspect)) {
            refuse(fingerprint, nowMs + bounds.suspectForMs());
        }
        return refusedUntilMs.containsKey(fingerprint)
                ? CrashVerdict.REFUSED
                : CrashVerdict.SUSPECT;
    }

    /**
     * A target died with a request in flight.
     *
     * @param fingerprint hash of the request
     * @param targetIncarnation the life of the target that ended
     * @param alone whether the request was run there as the single suspect
     * @param nowMs time, milliseconds
     */
    public void onTargetDeath(
            String fingerprint, String targetIncarnation, boolean alone, long nowMs) {
        Death death = deaths.computeIfAbsent(targetIncarnation, key -> new Death());
        Suspect suspect = suspects.computeIfAbsent(fingerprint, key -> new Suspect());
        if (suspect.deaths.add(targetIncarnation)) {
            suspect.lastMs = nowMs;
            death.inFlight.add(fingerprint);
            if (alone) {
                death.alone.add(fingerprint);
            }
        }
        dropOldest(deaths);
        dropOldest(suspects);
    }

    /**
     * Another instance has settled that a request is to be refused.
     *
     * @param fingerprint hash of the request
     * @param untilMs time until which it is refused, milliseconds
     */
    public void onRefused(String fingerprint, long untilMs) {
        refuse(fingerprint, untilMs);
    }

    /**
     * A request was run to its end by a target that lives on.
     *
     * @param fingerprint hash of the request
     */
    public void onCompleted(String fingerprint) {
        suspects.remove(fingerprint);
    }

    /**
     * Time until which a request is refused.
     *
     * @param fingerprint hash of the request
     * @return milliseconds, 0 where it is not refused
     */
    public long refusedUntilMs(String fingerprint) {
        return refusedUntilMs.getOrDefault(fingerprint, 0L);
    }

    /**
     * Takes the place of the single suspect on a target.
     *
     * @param fingerprint hash of the request
     * @param target name of the target
     * @param waitMs time past the settling for which the trial is left to others, milliseconds
     * @param nowMs time, milliseconds
     * @return false where another suspect is there, another copy of this one is on trial, the
     *     evidence has not settled, or it has settled against the request
     */
    public boolean tryStartTrial(String fingerprint, String target, long waitMs, long nowMs) {
        if (verdict(fingerprint, nowMs) == CrashVerdict.REFUSED) {
            return false;
        }
        Suspect suspect = suspects.get(fingerprint);
        if (trialByTarget.containsKey(target)
                || trialByTarget.containsValue(fingerprint)
                || suspect != null && !settled(suspect, nowMs - waitMs)) {
            return false;
        }
        trialByTarget.put(target, fingerprint);
        return true;
    }

    /**
     * A suspect has left its target, whatever came of it.
     *
     * @param fingerprint hash of the request
     * @param target name of the target
     */
    public void endTrial(String fingerprint, String target) {
        trialByTarget.remove(target, fingerprint);
    }

    private boolean settled(Suspect suspect, long nowMs) {
        return nowMs >= suspect.lastMs + bounds.settleMs();
    }

    /** Whether a target died with the request as its only suspect: no other died before. */
    private boolean killedAlone(String fingerprint, Suspect suspect) {
        return deathsOf(suspect)
                .filter(death -> death.alone.contains(fingerprint))
                .anyMatch(
                        death ->
                                death.inFlight.stream()
                                        .filter(other -> !other.equals(fingerprint))
                                        .noneMatch(this::diedTwice));
    }

    private boolean diedTwice(String fingerprint) {
        Suspect suspect = suspects.get(fingerprint);
        return suspect != null && suspect.deaths.size() > 1;
    }

    /** Whether two targets died with no other request in flight on both. */
    private boolean isOnlyCommon(String fingerprint, Suspect suspect) {
        List<Death> known = deathsOf(suspect).toList();
        return IntStream.range(1, known.size())
                .anyMatch(
                        later ->
                                known.subList(0, later).stream()
                                        .anyMatch(
                                                earlier ->
                                                        onlyCommon(
                                                                fingerprint,
                                                                earlier,
                                                                known.get(later))));
    }

    private static boolean onlyCommon(String fingerprint, Death first, Death second) {
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
        // These deaths are explained and speak against no other request.
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
        private long lastMs;
    }

    /** The end of one life of a target. */
    private static final class Death {
        private final Set<String> inFlight = new HashSet<>();
        private final Set<String> alone = new HashSet<>();
    }
}
