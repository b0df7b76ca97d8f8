package org.sardinelift.protocol;

/**
 * Bounds of a connection between two processes.
 *
 * @param maxFrameBytes largest frame, bytes; a peer that sends a larger one is disconnected
 * @param maxUnsentBytes bytes that may wait for a peer that reads slowly; past that it is
 *     disconnected
 * @param maxConnections connections that a server holds at once; one more is closed at once
 */
public record ConnectionLimits(int maxFrameBytes, int maxUnsentBytes, int maxConnections) {
    private static final int DEFAULT_FRAME_BYTES = 72 * 1024 * 1024;
    private static final int DEFAULT_UNSENT_BYTES = 256 * 1024 * 1024;
    private static final int DEFAULT_CONNECTIONS = 10_000;

    /**
     * Bounds that let the largest request of a caller pass.
     *
     * @return the default bounds
     */
    public static ConnectionLimits defaults() {
        return new ConnectionLimits(DEFAULT_FRAME_BYTES, DEFAULT_UNSENT_BYTES, DEFAULT_CONNECTIONS);
    }
}
