package org.sardinelift.gateway.call;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import org.sardinelift.core.plan.CallKind;
import org.sardinelift.core.plan.RoutePlan;
import org.sardinelift.core.poison.RequestTraits;

/**
 * A call that was admitted.
 *
 * @param id the caller's id of this attempt, empty if it sent none
 * @param route its route
 * @param team team that it runs for, empty on a public route
 * @param service service that runs it
 * @param planVersion version of the configuration that applies to it
 * @param timeout longest time that the caller waits for the response
 * @param earlierWait time that the caller spent on earlier attempts
 * @param lastEventId event after which the caller resumes a stream
 * @param resumedCallId id of the caller's attempt that began the stream, empty if it names none
 * @param tokens tokens that it may hold in the memory of a target, empty if it states none
 * @param expectedWeights version of the weights that a target must have, empty if any will do
 * @param traits what may make it crash a target
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
        String resumedCallId,
        OptionalLong tokens,
        Optional<String> expectedWeights,
        RequestTraits traits) {
    /** Whether the caller resumes a stream that an earlier attempt began. */
    boolean isResumedStream() {
        return route.kind() == CallKind.STREAM && lastEventId.isPresent();
    }

    /** Hash of team, method, path and body. */
    long fingerprint() {
        return traits.request();
    }
}
