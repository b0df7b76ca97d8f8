package org.sardinelift.core.admission;

import java.time.Duration;
import java.util.Locale;

/** Decision on a call of a team. */
public sealed interface ShareDecision {
    /** The call is placed like any call. */
    enum Admitted implements ShareDecision {
        /** The slots are not short. */
        NO_SHORTAGE,
        /** The team is within its share. */
        WITHIN_SHARE
    }

    /**
     * The team has used its share: the call may only use a slot that is free now.
     *
     * @param share slots that are due to the team
     * @param demand slots that its calls demand over the fleet
     * @param gateways gateways that have reported demands, this one included
     * @param figuresAge age of the oldest report used
     * @param retryAfter when the caller is to return if no slot is free
     */
    record AboveShare(
            double share, double demand, int gateways, Duration figuresAge, Duration retryAfter)
            implements ShareDecision {

        /**
         * Describes the figures, for logs and callers.
         *
         * @return the text
         */
        public String describe() {
            return String.format(
                    Locale.ROOT,
                    "share %.2f slots, demand %.2f slots, %d gateways, figures %d ms old",
                    share,
                    demand,
                    gateways,
                    figuresAge.toMillis());
        }
    }
}
