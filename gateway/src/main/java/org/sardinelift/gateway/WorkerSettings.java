package org.sardinelift.gateway;

import java.time.Duration;
import org.jspecify.annotations.Nullable;
import org.sardinelift.settings.SettingsNode;

/**
 * Settings of a worker.
 *
 * @param node settings shared with gateways
 * @param jobRetention time after its submission for which a closed job is kept
 * @param connectionIdleTimeout longest idle time of a connection to a target that is reused
 * @param spool settings of the spool for jobs that the store can't accept yet; null without a disk
 */
public record WorkerSettings(
        NodeSettings node,
        Duration jobRetention,
        Duration connectionIdleTimeout,
        @Nullable SpoolSettings spool) {

    /**
     * Reads the settings.
     *
     * @param node root of the settings file
     * @return the settings
     */
    public static WorkerSettings read(SettingsNode node) {
        return new WorkerSettings(
                NodeSettings.read(node),
                // Callers may read results for two minutes after the submission; clocks differ.
                node.millis("keepJobsMs", 180_000),
                // Well under the idle time after which targets close connections.
                node.millis("connectionIdleMs", 2_000),
                node.has("spool") ? SpoolSettings.read(node.object("spool")) : null);
    }
}
