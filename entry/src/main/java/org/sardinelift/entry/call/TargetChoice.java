package org.sardinelift.entry.call;

import java.time.Duration;

/** Where an attempt goes. */
sealed interface TargetChoice {

    /**
     * To a companion, which counts the call from now on.
     *
     * @param companion the companion
     */
    record Chosen(CompanionLink companion) implements TargetChoice {}

    /**
     * Nowhere yet: another suspect is on the target, or what became of other copies is not known.
     *
     * @param delay time after which to ask again
     */
    record Deferred(Duration delay) implements TargetChoice {}

    /** Nowhere: no target can take the call. */
    record NoTarget() implements TargetChoice {}
}
