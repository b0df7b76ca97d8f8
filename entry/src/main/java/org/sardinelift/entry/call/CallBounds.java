package org.sardinelift.entry.call;

import java.time.Duration;
import org.sardinelift.core.outcome.RetryPolicy;
import org.sardinelift.settings.SettingsNode;

/**
 * Settings of retries, routing and ejection for calls to targets.
 *
 * @param retryPolicy which failed attempts are retried, and when
 * @param retryShare retry tokens that a team gains with each first attempt, 0 to 1
 * @param retryBurst capacity of a team's retry budget
 * @param reattachTimeout longest wait for a lost connection to a companion to be replaced
 * @param targetWait time after its start for which a call that lost its target may wait for another
 *     to become usable
 * @param loadBound load from which a target is passed over despite affinity, as a multiple of the
 *     mean load
 * @param spillPressure mean load per slot from which calls may leave the availability zone
 * @param subsetSize targets of one service that this entry uses at most in each zone
 * @param failuresToEject consecutive failures after which a target is ejected
 * @param firstEjection duration of a target's first ejection
 * @param longestEjection longest ejection of a target
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
     * Reads the settings.
     *
     * @param node the settings object
     * @return the settings, with defaults for absent fields
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
