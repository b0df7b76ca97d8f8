package org.sardinelift.entry.filter;

import java.time.Duration;
import org.sardinelift.settings.SettingsNode;

/**
 * Limits of calls with an Idempotency-Key.
 *
 * @param maxRecordedBytes largest body of an answer that is stored for replay
 * @param grace time after a call's deadline after which it is given up; covers clock differences
 *     between instances
 * @param storeAttempts attempts of each operation on the platform
 * @param storePause pause between attempts
 */
public record IdempotencyBounds(
        int maxRecordedBytes, Duration grace, int storeAttempts, Duration storePause) {
    private static final int MAX_RECORDED_BYTES_LIMIT = 600_000;

    /**
     * Reads the settings.
     *
     * @param node the settings object
     * @return the settings, with defaults for absent fields
     */
    public static IdempotencyBounds read(SettingsNode node) {
        return new IdempotencyBounds(
                node.integer("maxRecordedBytes", 65_536, 0, MAX_RECORDED_BYTES_LIMIT),
                node.millis("graceMs", 5_000),
                node.integer("storeAttempts", 4, 1, 100),
                node.millis("storePauseMs", 200));
    }
}
