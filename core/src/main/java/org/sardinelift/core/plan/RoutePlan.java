package org.sardinelift.core.plan;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * A route: which calls it matches and how they are run.
 *
 * @param name name of the route
 * @param host host name in the request, in lower case
 * @param pathPrefix prefix of the path, with a slash at both ends
 * @param kind whether its calls may run more than once
 * @param isResumable whether targets can resume a stream after an event
 * @param isPublic whether its calls need no key
 * @param services services that run its calls
 * @param timeout maximum time until the caller has the complete answer
 * @param latencyObjective longest time to the first event, or to the whole answer, for the answer
 *     to have its full value
 * @param eventGapObjective longest gap between two events for the answer to have its full value
 * @param maxAttempts maximum number of targets that one call may be sent to
 * @param priority rank, 0 is the most urgent
 * @param completionObjective time in which a batch job should complete
 * @param retention time after which an item of a batch job may be given up
 * @param maxWaitingTokens maximum tokens of one team's batch items that wait, over all instances; 0
 *     for no limit
 */
public record RoutePlan(
        String name,
        String host,
        String pathPrefix,
        CallKind kind,
        boolean isResumable,
        boolean isPublic,
        List<WeightedService> services,
        Duration timeout,
        Duration latencyObjective,
        Duration eventGapObjective,
        int maxAttempts,
        int priority,
        Duration completionObjective,
        Duration retention,
        long maxWaitingTokens) {

    /**
     * A service that runs a fraction of a route's calls.
     *
     * @param service name of the service
     * @param weight its weight relative to the other services
     */
    public record WeightedService(String service, int weight) {}

    /**
     * Returns whether a call that may have run may be sent again.
     *
     * @return true if a second run does no harm
     */
    public boolean mayRepeat() {
        return kind.mayRepeat(isResumable);
    }

    /**
     * Selects the service that runs a call.
     *
     * @param draw number distributed evenly over the calls
     * @return name of the service, empty if the route has none
     */
    public Optional<String> selectService(long draw) {
        int totalWeight = services.stream().mapToInt(WeightedService::weight).sum();
        if (totalWeight <= 0) {
            return services.stream().findFirst().map(WeightedService::service);
        }
        long remainder = Math.floorMod(draw, totalWeight);
        for (WeightedService service : services) {
            remainder -= service.weight();
            if (remainder < 0) {
                return Optional.of(service.service());
            }
        }
        return Optional.empty();
    }
}
