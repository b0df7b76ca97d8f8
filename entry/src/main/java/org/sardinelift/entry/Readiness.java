package org.sardinelift.entry;

import java.time.Duration;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.sardinelift.core.outcome.Problem;
import org.sardinelift.core.outcome.ProblemKind;

/** Whether this entry takes new work, and what the balancer hears of it. */
final class Readiness {
    private static final Duration COME_BACK = Duration.ofSeconds(1);

    private final BooleanSupplier configured;
    private final BooleanSupplier limited;
    private final BooleanSupplier isolated;
    private volatile boolean draining;
    private volatile boolean closedToWork;

    private Readiness(
            BooleanSupplier configured, BooleanSupplier limited, BooleanSupplier isolated) {
        this.configured = configured;
        this.limited = limited;
        this.isolated = isolated;
    }

    static Readiness of(
            BooleanSupplier configured, BooleanSupplier limited, BooleanSupplier isolated) {
        return new Readiness(configured, limited, isolated);
    }

    /** Turns readiness, so that the balancer moves on; new work is still taken. */
    void announceDrain() {
        draining = true;
    }

    /** Refuses new work from now on. */
    void closeToWork() {
        closedToWork = true;
    }

    boolean draining() {
        return draining;
    }

    boolean isAccepting() {
        return notReady().isEmpty();
    }

    /** Why the balancer should not send requests here, or empty. */
    Optional<String> notReady() {
        if (draining) {
            return Optional.of("draining");
        }
        return refusal().map(Problem::detail);
    }

    /** Why a new request is refused, or empty. */
    Optional<Problem> refusal() {
        if (closedToWork) {
            return refuse(ProblemKind.DRAINING, "this instance is shutting down");
        }
        if (!configured.getAsBoolean()) {
            return refuse(ProblemKind.ISOLATED, "this instance has no configuration yet");
        }
        if (!limited.getAsBoolean()) {
            return refuse(
                    ProblemKind.ISOLATED,
                    "this instance holds no share of the limits"
                            + " and reaches no entry to borrow from");
        }
        if (isolated.getAsBoolean()) {
            return refuse(ProblemKind.ISOLATED, "this instance can't tell whether keys still hold");
        }
        return Optional.empty();
    }

    private static Optional<Problem> refuse(ProblemKind kind, String detail) {
        return Optional.of(Problem.notRun(kind, detail, COME_BACK));
    }
}
