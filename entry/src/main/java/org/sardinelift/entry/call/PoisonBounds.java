package org.sardinelift.entry.call;

import java.time.Duration;
import org.sardinelift.settings.SettingsNode;

/**
 * Time and size limits of the detection of requests that crash targets.
 *
 * @param suspectFor time after its last death after which a suspect is clear again
 * @param refuseFor time for which a request that crashes targets is refused
 * @param maxEntries largest number of requests remembered
 * @param settle time for evidence of a death to arrive from every entry
 * @param turn time for which an entry leaves a suspect's trial to the entry before it
 * @param trialPause time after which a call that must wait for a trial tries again
 * @param refresh interval at which the quarantine is read from the platform
 */
public record PoisonBounds(
        Duration suspectFor,
        Duration refuseFor,
        int maxEntries,
        Duration settle,
        Duration turn,
        Duration trialPause,
        Duration refresh) {

    /**
     * Reads the settings.
     *
     * @param node the settings object
     * @return the settings, with defaults for absent fields
     */
    public static PoisonBounds read(SettingsNode node) {
        return new PoisonBounds(
                node.millis("suspectForMs", 600_000),
                node.millis("refuseForMs", 86_400_000),
                node.integer("maxEntries", 10_000, 1, 10_000_000),
                node.millis("settleMs", 500),
                node.millis("turnMs", 500),
                node.millis("trialPauseMs", 20),
                node.millis("refreshMs", 10_000));
    }
}
