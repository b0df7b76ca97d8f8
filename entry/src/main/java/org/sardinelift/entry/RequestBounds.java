package org.sardinelift.entry;

import java.time.Duration;
import org.sardinelift.http.HttpLimits;
import org.sardinelift.settings.SettingsNode;

/**
 * Bounds of callers' requests.
 *
 * @param httpLimits bounds of the callers' port
 * @param deadline time for a call whose caller names none
 * @param longestDeadline longest time that a caller may name
 * @param maxUnsentBytes bytes of answer that may wait for a slow caller
 * @param prefixChars characters of a prompt by which calls are taken to share a prefix
 * @param openRatePerSecond requests a second of callers without a key, on open services
 * @param openBurst requests at once of callers without a key, on open services
 */
public record RequestBounds(
        HttpLimits httpLimits,
        Duration deadline,
        Duration maxDeadline,
        int maxUnsentBytes,
        int prefixChars,
        double openRatePerSecond,
        double openBurst) {
    private static final int MAX_BYTES = 1 << 30;

    static RequestBounds read(SettingsNode node) {
        HttpLimits standard = HttpLimits.defaults();
        HttpLimits http =
                new HttpLimits(
                        node.integer("maxLineBytes", standard.maxLineBytes(), 128, MAX_BYTES),
                        node.integer("maxHeaderBytes", standard.maxHeaderBytes(), 128, MAX_BYTES),
                        node.integer("maxBodyBytes", standard.maxBodyBytes(), 1, MAX_BYTES),
                        node.integer("maxConnections", standard.maxConnections(), 1, MAX_BYTES),
                        node.millis("headTimeoutMs", (int) standard.headTimeout().toMillis()),
                        node.millis("idleTimeoutMs", (int) standard.idleTimeout().toMillis()));
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
