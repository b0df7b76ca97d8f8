package org.sardinelift.entry.call;

import java.time.Duration;
import java.util.Map;
import org.sardinelift.core.catalog.ServiceSpec;
import org.sardinelift.core.catalog.TeamPlan;

/**
 * A call to be sent to a target.
 *
 * @param requestId unique over the fleet
 * @param team team for which the call runs
 * @param isBatch whether the call may be preempted by online calls
 * @param service service whose targets can run the call
 * @param model model or adapter, empty for a plain service
 * @param method HTTP method
 * @param path path and query at the target, without any key
 * @param headers headers for the target, without any key
 * @param body body bytes
 * @param deadline time left for the whole call
 * @param isIdempotent whether the call may be run more than once
 * @param fingerprint hash of team, route and body
 * @param prefixKey key equal for calls whose prompts have a common prefix, empty for none
 * @param traceparent W3C trace context of the parent span
 */
public record CallSpec(
        String requestId,
        TeamPlan team,
        boolean isBatch,
        ServiceSpec service,
        String model,
        String method,
        String path,
        Map<String, String> headers,
        byte[] body,
        Duration deadline,
        boolean isIdempotent,
        String fingerprint,
        String prefixKey,
        String traceparent) {}
