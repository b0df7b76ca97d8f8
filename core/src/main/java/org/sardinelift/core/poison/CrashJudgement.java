package org.sardinelift.core.poison;

import java.time.Duration;
import java.util.List;

/** Decision on a request by what is known of requests that crash targets. */
public sealed interface CrashJudgement {
    /** The request may be sent to targets. */
    record Allowed() implements CrashJudgement {}

    /**
     * The request is refused: targets died with others that have the same trait.
     *
     * @param trait hash of the trait
     * @param isPart whether the trait is a part of the prompt, else the request as a whole
     * @param deaths number of targets that died
     * @param evidenceAge time since the last death or trial
     * @param untilTrial time until a request with the trait may be tried again
     */
    record Refused(
            long trait, boolean isPart, int deaths, Duration evidenceAge, Duration untilTrial)
            implements CrashJudgement {}

    /**
     * The request may be sent to one target, as the only one of the fleet, to find out whether
     * requests with its traits still crash targets.
     *
     * @param refusal applies if another instance runs the trial
     * @param traits hashes of the traits on trial
     */
    record Trial(Refused refusal, List<Long> traits) implements CrashJudgement {}
}
