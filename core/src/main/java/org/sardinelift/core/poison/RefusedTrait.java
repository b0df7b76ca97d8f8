package org.sardinelift.core.poison;

import java.util.List;

/**
 * A trait whose requests are refused, as instances tell each other.
 *
 * @param trait hash of the trait
 * @param isPart whether it is a part of prompts, else a request as a whole
 * @param deaths incarnations of targets that died, the latest ones
 * @param trials number of trials since the first death
 * @param evidenceAgeNanos time since the last death or trial
 */
public record RefusedTrait(
        long trait, boolean isPart, List<String> deaths, int trials, long evidenceAgeNanos) {
    /** Copies the list. */
    public RefusedTrait {
        deaths = List.copyOf(deaths);
    }
}
