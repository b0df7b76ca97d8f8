package org.sardinelift.entry;

import java.time.Duration;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.sardinelift.core.outcome.Problem;
import org.sardinelift.core.outcome.ProblemKind;

/** Determines whether this entry accepts new work, and what it reports to the load balancer. */
final class Readiness {
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    private final BooleanSupplier isConfigured;
    private final BooleanSupplier hasLimits;
    private final BooleanSupplier isIsolated;
    private volatile boolean isDraining;
    private volatile boolean isRefusingWork;

    private Readiness(
            BooleanSupplier isConfigured, BooleanSupplier hasLimits, BooleanSupplier isIsolated) {
        this.isConfigured = isConfigured;
        this.hasLimits = hasLimits;
        this.isIsolated = isIsolated;
    }

    static Readiness of(
            BooleanSupplier isConfigured, BooleanSupplier hasLimits, BooleanSupplier isIsolated) {
        return new Readiness(isConfigured, hasLimits, isIsolated);
    }

    /** Reports not ready, so that the load balancer sends requests elsewhere; accepts new work. */
    void announceDrain() {
        isDraining = true;
    }

    /** Refuses new work from now on. */
    void stopAcceptingWork() {
        isRefusingWork = true;
    }

    boolean isDraining() {
        return isDraining;
    }

    boolean isAccepting() {
        return notReadyReason().isEmpty();
    }

    /** Returns why the load balancer should not send requests here, or empty. */
    Optional<String> notReadyReason() {
        if (isDraining) {
            return Optional.of("draining");
        }
        return refusal().map(Problem::detail);
    }

    /** Returns why a new request is refused, or empty. */
    Optional<Problem> refusal() {
        if (isRefusingWork) {
            return refuse(ProblemKind.DRAINING, "this instance is shutting down");
        }
        if (!isConfigured.getAsBoolean()) {
            return refuse(ProblemKind.ISOLATED, "this instance has no configuration yet");
        }
        if (!hasLimits.getAsBoolean()) {
            return refuse(
                    ProblemKind.ISOLATED,
                    "this instance holds no share of the limits"
                            + " and reaches no entry to borrow from");
        }
        if (isIsolated.getAsBoolean()) {
            return refuse(ProblemKind.ISOLATED, "this instance can't tell whether keys still hold");
        }
        return Optional.empty();
    }

    private static Optional<Problem> refuse(ProblemKind kind, String detail) {
        return Optional.of(Problem.notRun(kind, detail, RETRY_AFTER));
    }
}
