package org.sardinelift.http;

import java.time.Duration;

/**
 * Limits of a server, so that one caller's requests can't affect another's.
 *
 * @param maxLineBytes maximum length of the request line, bytes
 * @param maxHeaderBytes maximum total length of the request headers, bytes
 * @param maxBodyBytes maximum length of a request body, bytes
 * @param maxConnections maximum open connections; further ones are closed at once
 * @param headTimeout time within which a request must arrive completely, body included
 * @param idleTimeout time after which a connection without a request is closed
 */
public record HttpLimits(
        int maxLineBytes,
        int maxHeaderBytes,
        int maxBodyBytes,
        int maxConnections,
        Duration headTimeout,
        Duration idleTimeout) {

    private static final int DEFAULT_MAX_LINE_BYTES = 8 * 1024;
    private static final int DEFAULT_MAX_HEADER_BYTES = 32 * 1024;
    private static final int DEFAULT_MAX_BODY_BYTES = 64 * 1024 * 1024;
    private static final int DEFAULT_MAX_CONNECTIONS = 20_000;
    private static final int DEFAULT_HEAD_TIMEOUT_SECONDS = 20;
    private static final int DEFAULT_IDLE_TIMEOUT_SECONDS = 120;

    /**
     * Limits that suit a public port.
     *
     * @return the default limits
     */
    public static HttpLimits defaults() {
        return new HttpLimits(
                DEFAULT_MAX_LINE_BYTES,
                DEFAULT_MAX_HEADER_BYTES,
                DEFAULT_MAX_BODY_BYTES,
                DEFAULT_MAX_CONNECTIONS,
                Duration.ofSeconds(DEFAULT_HEAD_TIMEOUT_SECONDS),
                Duration.ofSeconds(DEFAULT_IDLE_TIMEOUT_SECONDS));
    }
}
