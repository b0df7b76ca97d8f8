package org.sardinelift.gateway.call;

import java.time.Duration;
import java.util.List;
import java.util.OptionalDouble;
import org.sardinelift.core.load.RateLimitedTargetSample;
import org.sardinelift.core.load.TargetLoad;
import org.sardinelift.gateway.peer.RateLimitReports;

/**
 * Offers each rate-limited target to a sample of the calls only, so that instances don't all use
 * the same one. A call that was sent before may choose all.
 */
final class RateLimitedTargetFilter implements CandidateFilter {
    /** Longer than any caller waits, for targets that the call isn't offered. */
    private static final long NOT_OFFERED_DELAY_NANOS = Duration.ofMinutes(1).toNanos();

    private final TargetTable targets;
    private final RateLimitReports rateLimits;

    RateLimitedTargetFilter(TargetTable targets, RateLimitReports rateLimits) {
        this.targets = targets;
        this.rateLimits = rateLimits;
    }

    @Override
    public List<TargetLoad> filter(ForwardedCall call, List<TargetLoad> loads, long now) {
        return rateLimits.limits().isEmpty()
                ? loads
                : loads.stream()
                        .map(
                                load ->
                                        isOffered(call, load)
                                                ? load
                                                : load.withRateLimit(NOT_OFFERED_DELAY_NANOS))
                        .toList();
    }

    /**
     * Returns when capacity for a refused call is expected. Targets that the call was not offered
     * appear to be full for longer than any caller waits; one that returns may be offered a cold
     * target as soon as its limit allows a request.
     *
     * @param refused time that was found without those targets
     * @param loads loads of all targets that may run the call
     * @param targets the targets
     * @return the time from now
     */
    static Duration untilCapacity(Duration refused, List<TargetLoad> loads, TargetTable targets) {
        return loads.stream()
                .filter(load -> targets.find(load.id()).filter(targets::isCold).isPresent())
                .map(load -> Duration.ofNanos(load.expectedFirstEventNanos()))
                .reduce(refused, (a, b) -> a.compareTo(b) < 0 ? a : b);
    }

    private boolean isOffered(ForwardedCall call, TargetLoad load) {
        TargetTable.Target target = targets.find(load.id()).orElseThrow();
        OptionalDouble limit = targets.rateLimit(target);
        long draw = call.call().id().hashCode() ^ call.arrivedAt();
        if (limit.isPresent() && targets.isCold(target)) {
            // Many calls are resent at the same moment, such as when a zone is lost.
            return RateLimitedTargetSample.includesCold(
                    load.id(), limit.getAsDouble(), rateLimits.fleetCallsPerSecond(), draw);
        }
        return call.sends() > 0
                || limit.isEmpty()
                || RateLimitedTargetSample.includes(
                        load.id(), limit.getAsDouble(), rateLimits.fleetCallsPerSecond(), draw);
    }
}
