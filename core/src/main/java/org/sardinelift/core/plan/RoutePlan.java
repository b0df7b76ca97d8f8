package org.sardinelift.core.plan;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * A route: which calls it takes and how they are run.
 *
 * @param name name of the route
 * @param host host that the caller names, in lower case
 * @param pathPrefix beginning of the path, with a slash at both ends
 * @param kind what may be done with its calls
 * @param resumable whether targets can go on with a stream after an event
 * @param open whether its calls need no key
 * @param services services that run its calls
 * @param timeout longest time that a caller is kept waiting for the whole answer
 * @param objective time to the first event, or to the whole answer, for full value
 * @param gapObjective longest pause between two events for full value
 * @param maxAttempts targets that one call may be sent to
 * @param priority rank, 0 is the most urgent
 * @param completionTarget time in which a batch job is to be done
 * @param retention time after which an item of a batch job may be given up
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
        Duration retention) {

    /**
     * A service that runs a part of a route's calls.
     *
     * @param service name of the service
     * @param weight its part, relative to the other services
     */
    public record WeightedService(String service, int weight) {}

    /**
     * Whether a call that may have run may be sent again.
     *
     * @return true where a second run does no harm
     */
    public boolean mayRepeat() {
        return kind.mayRepeat(isResumable);
    }

    /**
     * Picks the service that runs a call.
     *
     * @param draw number that is spread evenly over the calls
     * @return the service, empty where the route has none
     */
    public Optional<String> selectService(long draw) {
        int total = services.stream().mapToInt(WeightedService::weight).sum();
        if (total <= 0) {
            return services.stream().findFirst().map(WeightedService::service);
        }
        long place = Math.floorMod(draw, total);
        for (WeightedService each : services) {
            place -= each.weight();
            if (place < 0) {
                return Optional.of(each.service());
            }
        }
        return Optional.empty();
    }
}
