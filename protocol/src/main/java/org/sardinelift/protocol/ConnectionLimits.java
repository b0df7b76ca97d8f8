package org.sardinelift.protocol;

/**
 * Limits of connections between processes.
 *
 * @param maxFrameBytes maximum frame size, bytes; a peer that sends a larger one is disconnected
 * @param maxUnsentBytes bytes that may wait for a peer that reads slowly; beyond it the peer is
 *     disconnected
 * @param maxConnections maximum open connections of a server; further ones are closed at once
 */
public record ConnectionLimits(int maxFrameBytes, int maxUnsentBytes, int maxConnections) {
    private static final int DEFAULT_FRAME_BYTES = 72 * 1024 * 1024;
    private static final int DEFAULT_UNSENT_BYTES = 256 * 1024 * 1024;
    private static final int DEFAULT_CONNECTIONS = 10_000;

    /**
     * Limits that let the largest request of a caller pass.
     *
     * @return the default limits
     */
    public static ConnectionLimits defaults() {
        return new ConnectionLimits(DEFAULT_FRAME_BYTES, DEFAULT_UNSENT_BYTES, DEFAULT_CONNECTIONS);
    }
}
