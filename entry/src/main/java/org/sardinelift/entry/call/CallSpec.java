package org.sardinelift.entry.call;

import java.time.Duration;
import java.util.Map;
import org.sardinelift.core.catalog.ServiceSpec;
import org.sardinelift.core.catalog.TeamPlan;

/**
 * A call for a target.
 *
 * @param requestId unique over the fleet
 * @param team team that the call runs for
 * @param batch whether it gives way to online calls
 * @param service service whose targets can run it
 * @param model model or adapter, empty for a plain service
 * @param method HTTP method
 * @param path path and query at the target, without any key
 * @param headers headers for the target, without any key
 * @param body body bytes
 * @param deadline time left for the whole call
 * @param isIdempotent whether running it twice does no harm
 * @param fingerprint hash of team, route and body
 * @param prefixKey equal for calls whose prompts share a prefix, empty for none
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
