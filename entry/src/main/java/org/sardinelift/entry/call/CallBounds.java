package org.sardinelift.entry.call;

import java.time.Duration;
import org.sardinelift.core.outcome.RetryPolicy;
import org.sardinelift.settings.SettingsNode;

/**
 * Bounds of calls to targets.
 *
 * @param retryPolicy which failed attempts are followed by another
 * @param retryShare retries that each first attempt earns its team, 0 to 1
 * @param retryBurst retries that a team can save up
 * @param reattachTimeout longest time to wait for a new connection to a companion
 * @param targetWait longest time since its start for which a call that lost its target waits for
 *     another to come up
 * @param loadBound load above which affinity gives way, as a multiple of the mean load
 * @param spillPressure load for each slot above which calls leave the availability zone
 * @param subsetSize targets of one service that this entry uses at most in each zone
 * @param failuresToEject failures in a row that keep a target out
 * @param firstEjection first pause of a failing target
 * @param longestEjection longest pause of a failing target
 */
public record CallBounds(
        RetryPolicy retryPolicy,
        double retryShare,
        double retryBurst,
        Duration reattachTimeout,
        Duration targetWait,
        double loadBound,
        double spillPressure,
        int subsetSize,
        int failuresToEject,
        Duration firstEjection,
        Duration longestEjection) {

    /**
     * Reads the bounds.
     *
     * @param node the settings object
     * @return the bounds, defaults where fields are absent
     */
    public static CallBounds read(SettingsNode node) {
        return new CallBounds(
                new RetryPolicy(
                        node.integer("maxAttempts", 3, 1, 20),
                        node.millis("firstBackoffMs", 20),
                        node.millis("longestBackoffMs", 1_000)),
                node.number("retryShare", 0.1, 0, 1),
                node.number("retryBurst", 10, 0, 10_000),
                node.millis("reattachTimeoutMs", 10_000),
                node.millis("targetWaitMs", 3_000),
                node.number("loadBound", 1.25, 1, 100),
                node.number("spillPressure", 1.5, 0.01, 1_000),
                node.integer("subsetSize", 24, 1, 100_000),
                node.integer("failuresToEject", 3, 1, 1_000),
                node.millis("firstEjectionMs", 500),
                node.millis("longestEjectionMs", 30_000));
    }
}
