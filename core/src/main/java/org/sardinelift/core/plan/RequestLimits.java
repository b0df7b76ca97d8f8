package org.sardinelift.core.plan;

import java.time.Duration;

/**
 * Limits on the requests of callers.
 *
 * @param maxHeaderBytes maximum size of the headers
 * @param maxBodyBytes maximum size of the body
 * @param headerTimeout maximum time until a request has arrived completely
 * @param idleTimeout maximum time without a request on a connection
 */
public record RequestLimits(
        int maxHeaderBytes, int maxBodyBytes, Duration headerTimeout, Duration idleTimeout) {}
