package org.sardinelift.core.plan;

import java.time.Duration;

/**
 * What callers may send.
 *
 * @param maxHeaderBytes longest headers, bytes
 * @param maxBodyBytes longest body, bytes
 * @param headerTimeout longest time until a request is whole
 * @param idleTimeout longest time without a request on a connection
 */
public record RequestLimits(
        int maxHeaderBytes, int maxBodyBytes, Duration headerTimeout, Duration idleTimeout) {}
