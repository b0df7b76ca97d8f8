package org.sardinelift.gateway.call;

import java.time.Duration;
import java.util.OptionalLong;
import org.sardinelift.core.plan.RoutePlan;

/**
 * A call that was admitted.
 *
 * @param id name of this attempt of the caller, empty where it gave none
 * @param route its route
 * @param team team that it runs for, empty on an open route
 * @param service service that runs it
 * @param planVersion version of the configuration that it is handled by
 * @param timeout how long the caller may be kept waiting
 * @param earlierWait how long the caller has waited in earlier attempts
 * @param lastEvent event after which the caller wants a stream to go on
 * @param fingerprint hash of team, method, path and body
 */
record AdmittedCall(
        String id,
        RoutePlan route,
        String team,
        String service,
        long planVersion,
        Duration timeout,
        Duration earlierWait,
        OptionalLong lastEventId,
        long fingerprint) {}
