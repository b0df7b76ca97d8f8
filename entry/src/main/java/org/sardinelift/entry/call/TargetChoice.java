package org.sardinelift.entry.call;

import java.time.Duration;

/** Result of choosing a target for an attempt. */
sealed interface TargetChoice {

    /**
     * A companion was chosen, and the call reserved on it.
     *
     * @param companion the companion
     */
    record Chosen(CompanionLink companion) implements TargetChoice {}

    /**
     * The choice must be repeated: another suspect is on the target, or the outcome of duplicates
     * in flight is not known yet.
     *
     * @param delay time after which to choose again
     */
    record Deferred(Duration delay) implements TargetChoice {}

    /** No target can run the call. */
    record NoTarget() implements TargetChoice {}
}
