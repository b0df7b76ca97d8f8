package org.sardinelift.gateway.peer;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import org.sardinelift.core.plan.RegisteredTarget;
import org.sardinelift.core.plan.ServingPlan;
import org.sardinelift.core.quota.ColdTargets;
import org.sardinelift.core.quota.TargetRateLimits;
import org.sardinelift.runtime.log.LogEvent;

/** Logs and counts what {@link ColdTargets} decides on the targets; on the event loop. */
public final class ColdTargetLimits {
    private final ColdTargets targets;
    private Runnable evidenceListener = () -> {};

    ColdTargetLimits(TargetRateLimits limits) {
        this.targets = ColdTargets.of(limits);
    }

    /** Sets what sends a report soon, as the other instances need to know of a cold target. */
    void setEvidenceListener(Runnable listener) {
        evidenceListener = listener;
    }

    /**
     * A configuration is in force.
     *
     * @param plan the configuration
     */
    public void onPlan(ServingPlan plan) {
        record(targets.onPlan(plan::service, System.nanoTime()), "configuration");
    }

    /**
     * The targets were listed, whether or not they have changed.
     *
     * @param entries all targets
     * @param listedAt when the list was requested, nanoseconds
     */
    public void onListed(Collection<RegisteredTarget> entries, long listedAt) {
        record(targets.onListed(entries, listedAt, System.nanoTime()), "list");
    }

    /**
     * A target does not answer, or does so after it did not or after it broke a connection.
     *
     * @param target the incarnation
     * @param answers whether it answers
     */
    public void onAnswerChanged(String target, boolean answers) {
        long now = System.nanoTime();
        Optional<ColdTargets.Change> change =
                answers ? targets.onAnswer(target, now) : targets.onSilent(target, now);
        record(change.stream().toList(), "request");
        if (targets.reason(target).isPresent()) {
            evidenceListener.run();
        }
    }

    /**
     * The evacuation of a zone has ended.
     *
     * @param zone name of the zone
     */
    public void onEvacuationEnded(String zone) {
        record(targets.onEvacuationEnded(zone, System.nanoTime()), "evacuation");
    }

    void onPeerReport(String peer, String target, long remainingColdMs, long now) {
        record(
                targets.onPeerReport(target, remainingColdMs, now).stream().toList(),
                "peer " + peer);
    }

    void tick(long now) {
        record(targets.tick(now), "time");
    }

    /**
     * Why a target is limited as a cold one.
     *
     * @param target the incarnation
     * @return the reason, empty if it is not; also while its limit is being raised
     */
    public Optional<ColdTargets.Reason> reason(String target) {
        return targets.reason(target);
    }

    /**
     * Number of targets that are cold.
     *
     * @return the number
     */
    public long count() {
        return targets.coldCount();
    }

    private static void record(List<ColdTargets.Change> changes, String source) {
        changes.forEach(
                change -> {
                    PeerMetrics.countCold(change.isCold() ? change.reason().label() : "ended");
                    LogEvent.of(change.isCold() ? "target.cold" : "target.cold_ended")
                            .with("target", change.target())
                            .with("reason", change.reason().label())
                            .with("source", source)
                            .with("age_ms", change.age().toMillis())
                            .with("cold_ms", change.coldFor().toMillis())
                            .info();
                });
    }
}
