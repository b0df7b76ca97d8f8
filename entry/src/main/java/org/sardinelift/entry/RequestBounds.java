package org.sardinelift.entry;

import java.time.Duration;
import org.sardinelift.http.HttpLimits;
import org.sardinelift.settings.SettingsNode;

/**
 * Bounds of callers' requests.
 *
 * @param httpLimits bounds of the callers' port
 * @param defaultDeadline deadline of a call whose caller sets none
 * @param maxDeadline longest deadline that a caller may set
 * @param maxUnsentBytes maximum bytes of a response that wait for a slow caller
 * @param prefixChars leading characters of a prompt by which calls are taken to share a prefix
 * @param openRatePerSecond requests per second, on open services, of all callers without a key
 * @param openBurst burst of requests, on open services, of all callers without a key
 */
public record RequestBounds(
        HttpLimits httpLimits,
        Duration defaultDeadline,
        Duration maxDeadline,
        int maxUnsentBytes,
        int prefixChars,
        double openRatePerSecond,
        double openBurst) {
    private static final int MAX_BYTES = 1 << 30;

    static RequestBounds read(SettingsNode node) {
        HttpLimits defaults = HttpLimits.defaults();
        HttpLimits http =
                new HttpLimits(
                        node.integer("maxLineBytes", defaults.maxLineBytes(), 128, MAX_BYTES),
                        node.integer("maxHeaderBytes", defaults.maxHeaderBytes(), 128, MAX_BYTES),
                        node.integer("maxBodyBytes", defaults.maxBodyBytes(), 1, MAX_BYTES),
                        node.integer("maxConnections", defaults.maxConnections(), 1, MAX_BYTES),
                        node.millis("headTimeoutMs", (int) defaults.headTimeout().toMillis()),
                        node.millis("idleTimeoutMs", (int) defaults.idleTimeout().toMillis()));
        return new RequestBounds(
                http,
                node.millis("deadlineMs", 120_000),
                node.millis("longestDeadlineMs", 3_600_000),
                node.integer("maxUnsentBytes", 4 << 20, 1, MAX_BYTES),
                node.integer("prefixChars", 1_024, 0, MAX_BYTES),
                node.number("openRatePerSecond", 50, 0, 1e9),
                node.number("openBurst", 50, 0, 1e9));
    }
}
