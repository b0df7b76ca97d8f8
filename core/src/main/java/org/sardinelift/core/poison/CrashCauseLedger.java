package org.sardinelift.core.poison;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * Finds out which trait of requests crashes targets, and refuses requests with it.
 *
 * <p>Several requests are in flight when a target dies, and most of them are sound. Evidence is
 * kept by trait (a request as a whole, or a part that prompts share) and counts the incarnations of
 * targets that died, however many requests and instances report each. A trait that answers were
 * lately completed with is no cause, and a completed answer clears a trait. A trait is refused
 * after {@value #DEATHS_TO_REFUSE} deaths unless another one explains these and more; of traits
 * with the same deaths only requests with all of them are refused, since parts of sound requests
 * also occur in those that crash targets. While requests are refused, one at a time over the fleet
 * is tried, at growing intervals, so that a trait that was refused by mistake is cleared.
 *
 * <p>The load that this answers: different requests with one trait in common, at any instance, each
 * of which crashes its target. Until all instances know of the third death, requests with the trait
 * go on; their number depends on the rate of such requests and not on the number of instances. The
 * cost of a judgement is a look-up for each trait, and for traits with three deaths a comparison
 * with each other such trait.
 *
 * <p>Times are nanoseconds of a monotonic clock. Not thread-safe.
 */
public final class CrashCauseLedger {
    static final int DEATHS_TO_REFUSE = 3;

    /** An answer that was completed this long before a death still speaks for its parts. */
    private static final Duration SOUND_PERIOD = Duration.ofSeconds(10);

    private static final Duration SUSPICION_RETENTION = Duration.ofMinutes(10);

    /** Longer, since to learn of a cause again costs targets. */
    private static final Duration REFUSAL_RETENTION = Duration.ofHours(1);

    private static final Duration EXPIRY_INTERVAL = Duration.ofSeconds(10);

    private static final int MAX_REPORTED_DEATHS = 6;
    private static final int MAX_REPORTED_TRAITS = 16;

    private final String instance;
    private final int maxTraits;
    private final Map<Long, CrashCause> causes = new HashMap<>();
    private final Map<Long, CrashCause> causesWithEnoughDeaths = new LinkedHashMap<>();
    private final Map<Long, Long> soundAt = new LinkedHashMap<>(16, 0.75f, true);
    private long expiredAt;

    private CrashCauseLedger(String instance, int maxTraits) {
        this.instance = instance;
        this.maxTraits = maxTraits;
    }

    /**
     * Creates an empty ledger.
     *
     * @param instance name of this instance, for claims of trials
     * @param maxTraits maximum number of suspected traits, and of sound ones, that are kept
     * @return the ledger
     */
    public static CrashCauseLedger create(String instance, int maxTraits) {
        return new CrashCauseLedger(instance, maxTraits);
    }

    /**
     * Records that a target died while it ran a request.
     *
     * @param traits traits of the request
     * @param target incarnation of the target
     * @param now current time
     * @return traits that this death is new evidence against
     */
    public List<Long> onTargetDeath(RequestTraits traits, String target, long now) {
        List<Long> suspected = traits.all().boxed().filter(trait -> !isSound(trait, now)).toList();
        List<Long> added =
                suspected.stream()
                        .filter(trait -> addDeath(cause(trait, traits, now), target, now))
                        .toList();
        evict(now);
        return added;
    }

    /**
     * Selects the traits that answers were lately completed with, so that instances which don't
     * know of these answers can be told.
     *
     * @param traits traits that another instance suspects
     * @param now current time
     * @return those that are no cause
     */
    public List<Long> selectSound(RequestTraits traits, long now) {
        return traits.parts().stream().filter(trait -> isSound(trait, now)).toList();
    }

    private boolean isSound(long trait, long now) {
        Long completedAt = soundAt.get(trait);
        return completedAt != null && now - completedAt < SOUND_PERIOD.toNanos();
    }

    private boolean addDeath(CrashCause cause, String target, long now) {
        boolean isNew = cause.addDeath(target, now);
        if (hasEnoughDeaths(cause)) {
            causesWithEnoughDeaths.put(cause.trait(), cause);
        }
        return isNew;
    }

    private CrashCause cause(long trait, RequestTraits traits, long now) {
        boolean isPart = traits.parts().contains(trait);
        return causes.computeIfAbsent(trait, key -> new CrashCause(key, isPart, now));
    }

    /**
     * A target that is still alive has completed an answer.
     *
     * @param traits traits of the request
     * @param now current time
     * @return traits that were suspected and are cleared by it
     */
    public List<Long> onCompleted(RequestTraits traits, long now) {
        traits.parts().forEach(trait -> soundAt.put(trait, now));
        dropOldest(soundAt);
        return traits.all().boxed().filter(this::clear).toList();
    }

    /**
     * Another instance states that a trait is no cause.
     *
     * @param trait hash of the trait
     * @return whether it was suspected
     */
    public boolean onSound(long trait) {
        return clear(trait);
    }

    private boolean clear(long trait) {
        CrashCause cause = causes.get(trait);
        boolean wasSuspected = cause != null && !cause.deaths().isEmpty();
        if (wasSuspected) {
            cause.clear();
            causesWithEnoughDeaths.remove(trait);
        }
        return wasSuspected;
    }

    /**
     * Whether targets died with a request that has one of these traits.
     *
     * @param traits traits of a request
     * @return whether there is evidence against any of them
     */
    public boolean isSuspected(RequestTraits traits) {
        return causesOf(traits).anyMatch(cause -> !cause.deaths().isEmpty());
    }

    /**
     * Decides whether a request may be sent to targets.
     *
     * @param traits traits of the request
     * @param now current time
     * @return the decision
     */
    public CrashJudgement judge(RequestTraits traits, long now) {
        List<CrashCause> refused =
                causesOf(traits).filter(cause -> isRefused(cause, traits)).toList();
        refused.forEach(cause -> cause.onRequest(now));
        Optional<CrashCause> lastDue =
                refused.stream().max(Comparator.comparingLong(cause -> cause.nanosUntilTrial(now)));
        if (lastDue.isEmpty()) {
            return new CrashJudgement.Allowed();
        }
        CrashJudgement.Refused refusal = refusal(lastDue.get(), now);
        return refusal.untilTrial().isZero()
                ? new CrashJudgement.Trial(
                        refusal, refused.stream().map(CrashCause::trait).toList())
                : refusal;
    }

    private static CrashJudgement.Refused refusal(CrashCause cause, long now) {
        return new CrashJudgement.Refused(
                cause.trait(),
                cause.isPart(),
                cause.deaths().size(),
                Duration.ofNanos(now - cause.lastEvidenceAt()),
                Duration.ofNanos(Math.max(0, cause.nanosUntilTrial(now))));
    }

    private Stream<CrashCause> causesOf(RequestTraits traits) {
        return traits.all().mapToObj(causes::get).filter(Objects::nonNull);
    }

    private boolean isRefused(CrashCause cause, RequestTraits traits) {
        return hasEnoughDeaths(cause)
                && causesWithEnoughDeaths.values().stream()
                        .filter(other -> other != cause)
                        .noneMatch(
                                other ->
                                        explainsMore(other, cause)
                                                || isIndistinguishable(other, cause)
                                                        && !traits.parts().contains(other.trait()));
    }

    private static boolean hasEnoughDeaths(CrashCause cause) {
        return cause.deaths().size() >= DEATHS_TO_REFUSE;
    }

    /**
     * Whether a cause explains all deaths of another one and more; a part also explains as many.
     */
    private static boolean explainsMore(CrashCause cause, CrashCause other) {
        boolean suffices =
                cause.deaths().size() > other.deaths().size() || cause.isPart() && !other.isPart();
        return suffices && cause.deaths().containsAll(other.deaths());
    }

    private static boolean isIndistinguishable(CrashCause one, CrashCause other) {
        return one.isPart() && other.isPart() && one.deaths().equals(other.deaths());
    }

    /**
     * An instance, this one included, claims the next trial of a trait.
     *
     * @param trait hash of the trait
     * @param claimant name of the instance
     * @param now current time
     */
    public void onTrialClaim(long trait, String claimant, long now) {
        CrashCause cause = causes.get(trait);
        if (cause != null) {
            cause.onTrialClaim(claimant, now);
        }
    }

    /**
     * Whether this instance runs the trial that it has claimed; asked once the claims of others had
     * time to arrive.
     *
     * @param traits hashes of the traits on trial
     * @return false if an instance that goes first by name claims one of them too
     */
    public boolean isTrialWinner(List<Long> traits) {
        return traits.stream()
                .map(causes::get)
                .filter(Objects::nonNull)
                .allMatch(cause -> cause.isTrialWinner(instance));
    }

    /**
     * Lists the refused traits, for instances that have none of the evidence.
     *
     * @param now current time
     * @return the traits with the latest evidence
     */
    public List<RefusedTrait> refusedTraits(long now) {
        return causesWithEnoughDeaths.values().stream()
                .sorted(Comparator.comparingLong(CrashCause::lastEvidenceAt).reversed())
                .limit(MAX_REPORTED_TRAITS)
                .map(
                        cause ->
                                new RefusedTrait(
                                        cause.trait(),
                                        cause.isPart(),
                                        cause.latestDeaths(MAX_REPORTED_DEATHS),
                                        cause.trials(),
                                        now - cause.lastEvidenceAt()))
                .toList();
    }

    /**
     * Takes over a trait that another instance refuses.
     *
     * @param refused the trait and the evidence against it
     * @param now current time
     * @return whether it is refused from now on and was not before
     */
    public boolean onRefusedTrait(RefusedTrait refused, long now) {
        if (isSound(refused.trait(), now)) {
            return false;
        }
        CrashCause cause =
                causes.computeIfAbsent(
                        refused.trait(), key -> new CrashCause(key, refused.isPart(), now));
        boolean wasRefusable = hasEnoughDeaths(cause);
        long evidenceAt = now - refused.evidenceAgeNanos();
        boolean isNew =
                refused.deaths().stream()
                        .map(target -> addDeath(cause, target, cause.lastEvidenceAt()))
                        .reduce(false, Boolean::logicalOr);
        if (isNew || wasRefusable) {
            cause.mergeTrials(refused.trials(), evidenceAt);
        }
        evict(now);
        return !wasRefusable && hasEnoughDeaths(cause);
    }

    /** Drops evidence that is too old, and beyond the bound a tenth of the traits at once. */
    private void evict(long now) {
        if (now - expiredAt >= EXPIRY_INTERVAL.toNanos()) {
            expiredAt = now;
            causes.values().stream()
                    .filter(cause -> isExpired(cause, now))
                    .map(CrashCause::trait)
                    .toList()
                    .forEach(this::remove);
        }
        if (causes.size() > maxTraits) {
            causes.values().stream()
                    .sorted(
                            Comparator.comparing(CrashCauseLedger::hasEnoughDeaths)
                                    .thenComparingLong(CrashCause::lastSeenAt))
                    .limit(1 + maxTraits / 10)
                    .map(CrashCause::trait)
                    .toList()
                    .forEach(this::remove);
        }
    }

    private void remove(long trait) {
        causes.remove(trait);
        causesWithEnoughDeaths.remove(trait);
    }

    private static boolean isExpired(CrashCause cause, long now) {
        Duration retention = hasEnoughDeaths(cause) ? REFUSAL_RETENTION : SUSPICION_RETENTION;
        return now - cause.lastSeenAt() >= retention.toNanos();
    }

    private void dropOldest(Map<Long, Long> map) {
        if (map.size() > maxTraits) {
            map.remove(map.keySet().iterator().next());
        }
    }
}
