package org.sardinelift.standins.platform;

import java.time.Duration;

/**
 * Settings of the platform stand-in.
 *
 * @param host address to bind
 * @param port port to bind, 0 for any free port
 * @param writesPerSecond limit of writes and deletes per second, 0 for none
 * @param readsPerSecond limit of reads, lists and watches per second, 0 for none
 * @param listLag time until the list of instances shows a change
 * @param historyLength changes kept for watches; older ones are compacted
 */
public record PlatformOptions(
        String host,
        int port,
        int writesPerSecond,
        int readsPerSecond,
        Duration listLag,
        int historyLength) {

    private static final int DEFAULT_HISTORY_LENGTH = 10_000;

    /**
     * Returns the defaults: any free port on loopback, no limits, no lag.
     *
     * @return the default options
     */
    public static PlatformOptions defaults() {
        return new PlatformOptions("127.0.0.1", 0, 0, 0, Duration.ZERO, DEFAULT_HISTORY_LENGTH);
    }

    /**
     * Sets the rate limits.
     *
     * @param writes limit of writes and deletes per second, 0 for none
     * @param reads limit of reads, lists and watches per second, 0 for none
     * @return the changed options
     */
    public PlatformOptions withRates(int writes, int reads) {
        return new PlatformOptions(host, port, writes, reads, listLag, historyLength);
    }

    /**
     * Sets the lag of the list of instances.
     *
     * @param lag time until the list shows a change
     * @return the changed options
     */
    public PlatformOptions withListLag(Duration lag) {
        return new PlatformOptions(host, port, writesPerSecond, readsPerSecond, lag, historyLength);
    }

    /**
     * Sets how many changes are kept for watches.
     *
     * @param length number of changes
     * @return the changed options
     */
    public PlatformOptions withHistory(int length) {
        return new PlatformOptions(host, port, writesPerSecond, readsPerSecond, listLag, length);
    }
}
