package org.sardinelift.gateway.peer;

import java.time.Duration;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.sardinelift.core.peer.Peer;
import org.sardinelift.core.poison.CrashCauseLedger;
import org.sardinelift.core.poison.CrashJudgement;
import org.sardinelift.core.poison.RefusedTrait;
import org.sardinelift.core.poison.RequestTraits;
import org.sardinelift.protocol.generated.PeerReport;
import org.sardinelift.protocol.generated.TargetDeath;
import org.sardinelift.runtime.log.LogEvent;

/**
 * What this instance knows of requests that crash targets, kept equal with the other instances by
 * reports: deaths, cleared traits and claims of trials as they happen, refused traits in full
 * reports, so that an instance that has just started knows them too. On the event loop.
 */
public final class CrashReports implements ReportSection {
    /** Time for which reports repeat a change, for instances that missed one. */
    private static final Duration REPEAT_PERIOD = ReportBuilder.CHANGE_REPEAT_PERIOD;

    private static final int MAX_TRAITS = 10_000;
    private static final String OWN = "own";
    private static final String STORE = "store";

    private final String instance;
    private final Runnable onChange;
    private final CrashCauseLedger ledger;
    private final Set<Long> refusedTraits = new HashSet<>();
    private RefusalListener refusalListener = new RefusalListener() {};
    private final Map<TargetDeath, Long> deaths = new LinkedHashMap<>();
    private final Map<Long, Long> soundTraits = new LinkedHashMap<>();
    private final Map<Long, Long> claimedTrials = new LinkedHashMap<>();

    /** Is notified of traits whose requests are refused, on the event loop. */
    public interface RefusalListener {
        /**
         * A death that this instance saw is the one after which a trait is refused.
         *
         * @param trait the trait
         */
        default void onRefused(RefusedTrait trait) {}

        /**
         * An answer that this instance received has cleared a refused trait.
         *
         * @param trait hash of the trait
         */
        default void onCleared(long trait) {}
    }

    /**
     * Creates the state of an instance without evidence.
     *
     * @param instance name of this instance
     * @param onChange sends a report soon
     */
    CrashReports(String instance, Runnable onChange) {
        this.instance = instance;
        this.onChange = onChange;
        this.ledger = CrashCauseLedger.create(instance, MAX_TRAITS);
    }

    /**
     * Sets the listener that is notified of refused traits.
     *
     * @param listener the listener
     */
    public void setRefusalListener(RefusalListener listener) {
        refusalListener = listener;
    }

    /**
     * Takes over a refused trait that was kept in the store.
     *
     * @param trait the trait
     */
    public void onStoredTrait(RefusedTrait trait) {
        learn(trait, STORE, System.nanoTime());
    }

    /**
     * Decides whether a request may be sent to targets.
     *
     * @param traits its traits
     * @return the decision
     */
    public CrashJudgement judge(RequestTraits traits) {
        return ledger.judge(traits, System.nanoTime());
    }

    /**
     * Whether targets died with a request that has one of these traits.
     *
     * @param traits traits of a request
     * @return whether there is evidence against any of them
     */
    public boolean isSuspected(RequestTraits traits) {
        return ledger.isSuspected(traits);
    }

    /**
     * A target died while it ran a request of this instance.
     *
     * @param traits traits of the request
     * @param target incarnation of the target
     */
    public void onTargetDeath(RequestTraits traits, String target) {
        List<Long> suspected = recordDeath(traits, target, OWN);
        TargetDeath death = new TargetDeath(traits.request(), target);
        death.setParts(traits.parts().stream().filter(suspected::contains).toList());
        deaths.put(death, System.nanoTime());
        onChange.run();
        newlyRefused().forEach(refusalListener::onRefused);
    }

    /** Returns the traits that are refused now and were not the last time. */
    private List<RefusedTrait> newlyRefused() {
        return ledger.refusedTraits(System.nanoTime()).stream()
                .filter(trait -> refusedTraits.add(trait.trait()))
                .toList();
    }

    private List<Long> recordDeath(RequestTraits traits, String target, String source) {
        List<Long> suspected = ledger.onTargetDeath(traits, target, System.nanoTime());
        if (!suspected.isEmpty()) {
            LogEvent.of("target.died")
                    .with("target", target)
                    .with("request_hash", Long.toHexString(traits.request()))
                    .with("part_hashes", traits.partsText())
                    .with("source", source)
                    .info();
        }
        return suspected;
    }

    /**
     * A target that is still alive has completed an answer.
     *
     * @param traits traits of the request
     */
    public void onCompleted(RequestTraits traits) {
        List<Long> cleared = ledger.onCompleted(traits, System.nanoTime());
        if (!cleared.isEmpty()) {
            cleared.forEach(trait -> logCleared(trait, OWN));
            cleared.stream().filter(refusedTraits::remove).forEach(refusalListener::onCleared);
            reportSound(cleared);
        }
    }

    private void reportSound(Collection<Long> traits) {
        long now = System.nanoTime();
        traits.forEach(trait -> soundTraits.put(trait, now));
        onChange.run();
    }

    private static void logCleared(long trait, String source) {
        LogEvent.of("crash_cause.cleared")
                .with("trait", Long.toHexString(trait))
                .with("source", source)
                .info();
    }

    /**
     * Claims to run the next request with refused traits. Other instances may claim it as well;
     * {@link #isTrialWinner} tells after the time of a report which one runs it.
     *
     * @param traits hashes of the traits
     */
    public void claimTrial(List<Long> traits) {
        long now = System.nanoTime();
        traits.forEach(
                trait -> {
                    ledger.onTrialClaim(trait, instance, now);
                    claimedTrials.put(trait, now);
                });
        onChange.run();
    }

    /**
     * Whether this instance runs the trial that it has claimed.
     *
     * @param traits hashes of the traits
     * @return false if an instance that goes first claims it too
     */
    public boolean isTrialWinner(List<Long> traits) {
        return ledger.isTrialWinner(traits);
    }

    @Override
    public void addTo(PeerReport report, boolean isFull, long now) {
        dropRepeated(deaths, now);
        dropRepeated(soundTraits, now);
        dropRepeated(claimedTrials, now);
        report.setDeaths(List.copyOf(deaths.keySet()));
        report.setSoundTraits(List.copyOf(soundTraits.keySet()));
        report.setTrialTraits(List.copyOf(claimedTrials.keySet()));
        if (isFull) {
            report.setRefusedTraits(
                    ledger.refusedTraits(now).stream().map(CrashReports::toReport).toList());
        }
    }

    private static void dropRepeated(Map<?, Long> changes, long now) {
        changes.values().removeIf(at -> now - at >= REPEAT_PERIOD.toNanos());
    }

    @Override
    public void onReport(Peer peer, PeerReport report, long now) {
        String source = report.getInstance();
        if (report.isSetDeaths()) {
            report.getDeaths().forEach(death -> onReportedDeath(death, source));
        }
        if (report.isSetSoundTraits()) {
            report.getSoundTraits().stream()
                    .filter(ledger::onSound)
                    .forEach(
                            trait -> {
                                refusedTraits.remove(trait);
                                logCleared(trait, source);
                            });
        }
        if (report.isSetTrialTraits()) {
            report.getTrialTraits().forEach(trait -> ledger.onTrialClaim(trait, source, now));
        }
        if (report.isSetRefusedTraits()) {
            report.getRefusedTraits().forEach(refused -> learn(fromReport(refused), source, now));
        }
    }

    private void onReportedDeath(TargetDeath death, String source) {
        List<Long> parts = death.isSetParts() ? death.getParts() : List.of();
        RequestTraits traits = new RequestTraits(death.getRequest(), parts);
        recordDeath(traits, death.getTarget(), source);
        // The instance that saw the death stores what is refused for it.
        newlyRefused();
        List<Long> sound = ledger.selectSound(traits, System.nanoTime());
        if (!soundTraits.keySet().containsAll(sound)) {
            reportSound(sound);
        }
    }

    private void learn(RefusedTrait refused, String source, long now) {
        if (ledger.onRefusedTrait(refused, now)) {
            refusedTraits.add(refused.trait());
            LogEvent.of("crash_cause.learned")
                    .with("trait", Long.toHexString(refused.trait()))
                    .with("deaths", refused.deaths().size())
                    .with("age_ms", TimeUnit.NANOSECONDS.toMillis(refused.evidenceAgeNanos()))
                    .with("source", source)
                    .info();
        }
    }

    private static org.sardinelift.protocol.generated.RefusedTrait toReport(RefusedTrait trait) {
        return new org.sardinelift.protocol.generated.RefusedTrait(
                trait.trait(),
                trait.isPart(),
                trait.deaths(),
                trait.trials(),
                TimeUnit.NANOSECONDS.toMillis(trait.evidenceAgeNanos()));
    }

    private static RefusedTrait fromReport(org.sardinelift.protocol.generated.RefusedTrait trait) {
        return new RefusedTrait(
                trait.getTrait(),
                trait.isPart(),
                trait.getDeaths(),
                trait.getTrials(),
                TimeUnit.MILLISECONDS.toNanos(trait.getAgeMs()));
    }
}
