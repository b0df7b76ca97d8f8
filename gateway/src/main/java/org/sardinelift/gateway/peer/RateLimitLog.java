package org.sardinelift.gateway.peer;

import java.util.OptionalDouble;
import org.jspecify.annotations.Nullable;
import org.sardinelift.core.quota.TargetRateLimits;
import org.sardinelift.runtime.log.LogEvent;

/** Log lines on the rate limits of targets. */
public final class RateLimitLog {
    private RateLimitLog() {}

    /**
     * Logs that a target's limit has changed.
     *
     * @param target incarnation of the target
     * @param change the change
     * @param source where it was learned: a response or a peer
     * @param requests requests that this instance has sent to the target, -1 if unknown
     */
    public static void logChange(
            String target, TargetRateLimits.Change change, String source, long requests) {
        LogEvent.of("target.rate_limit")
                .with("target", target)
                .with("per_second", text(change.after()))
                .with("before", text(change.before()))
                .with("source", source)
                .with("requests", requests)
                .info();
    }

    private static @Nullable String text(OptionalDouble perSecond) {
        return perSecond.isPresent() ? Double.toString(perSecond.getAsDouble()) : null;
    }
}
