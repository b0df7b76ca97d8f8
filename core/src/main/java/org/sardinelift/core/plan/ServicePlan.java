package org.sardinelift.core.plan;

import java.time.Duration;
import java.util.OptionalDouble;
import java.util.OptionalLong;

/**
 * What the configuration says of the targets of a service.
 *
 * @param name name of the service
 * @param coldRequestsPerSecond requests per second that a target tolerates while it is cold, from
 *     all instances together; empty if targets of the service are never cold
 * @param coldTime time for which a target is cold after its start
 * @param memoryTokens tokens that the requests on a target may hold together; empty if that is not
 *     limited
 */
public record ServicePlan(
        String name,
        OptionalDouble coldRequestsPerSecond,
        Duration coldTime,
        OptionalLong memoryTokens) {}
