package org.sardinelift.protocol;

import java.time.Duration;

/**
 * Intervals and timeouts of a connection between two processes.
 *
 * @param heartbeatInterval time between heartbeats, sent by the end that opened the connection
 * @param silenceTimeout time without a byte after which a connection is closed
 * @param minReconnectDelay minimum backoff before a reconnect
 * @param maxReconnectDelay maximum backoff before a reconnect
 */
public record ConnectionTimings(
        Duration heartbeatInterval,
        Duration silenceTimeout,
        Duration minReconnectDelay,
        Duration maxReconnectDelay) {
    private static final int DEFAULT_HEARTBEAT_MS = 750;
    private static final int DEFAULT_SILENCE_MS = 2_000;
    private static final int DEFAULT_RECONNECT_MIN_MS = 50;
    private static final int DEFAULT_RECONNECT_MAX_MS = 2_000;

    /**
     * Defaults for connections within one region.
     *
     * @return the default values
     */
    public static ConnectionTimings defaults() {
        return new ConnectionTimings(
                Duration.ofMillis(DEFAULT_HEARTBEAT_MS),
                Duration.ofMillis(DEFAULT_SILENCE_MS),
                Duration.ofMillis(DEFAULT_RECONNECT_MIN_MS),
                Duration.ofMillis(DEFAULT_RECONNECT_MAX_MS));
    }
}
