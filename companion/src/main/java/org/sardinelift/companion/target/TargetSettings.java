package org.sardinelift.companion.target;

import java.time.Duration;
import java.util.List;
import org.sardinelift.settings.SettingsNode;

/**
 * Settings of the target that a companion serves.
 *
 * @param name unique name of the target
 * @param host IP address
 * @param port HTTP port
 * @param service service that the target is a replica of
 * @param isModelEngine whether it is a model engine rather than a plain service
 * @param slots calls that it runs concurrently
 * @param models models and adapters that are loaded at start
 * @param connectTimeout maximum time to connect
 * @param silenceTimeout maximum time without any byte of a response
 * @param probeInterval time between probes
 * @param probeTimeout time after which a probe counts as failed
 * @param probePath path that a probe requests; any response shows that the target is alive
 * @param probeFailureThreshold consecutive failed probes after which the target is down
 * @param orderTimeout maximum time without any byte while the target executes an order
 * @param canResume whether the target can resume an interrupted call
 */
public record TargetSettings(
        String name,
        String host,
        int port,
        String service,
        boolean isModelEngine,
        int slots,
        List<String> models,
        Duration connectTimeout,
        Duration silenceTimeout,
        Duration probeInterval,
        Duration probeTimeout,
        String probePath,
        int probeFailureThreshold,
        Duration orderTimeout,
        boolean canResume) {
    private static final int MAX_PORT = 65_535;
    private static final int DEFAULT_SLOTS = 16;
    private static final int DEFAULT_CONNECT_TIMEOUT_MS = 500;
    private static final int DEFAULT_SILENCE_TIMEOUT_MS = 600_000;
    private static final int DEFAULT_PROBE_INTERVAL_MS = 200;
    private static final int DEFAULT_PROBE_TIMEOUT_MS = 1_000;
    private static final String DEFAULT_PROBE_PATH = "/load";
    private static final int DEFAULT_PROBE_FAILURE_THRESHOLD = 3;
    private static final int DEFAULT_ORDER_TIMEOUT_MS = 120_000;

    /**
     * Reads and validates the settings of a target.
     *
     * @param node the {@code target} object of the settings file
     * @return the settings; errors are recorded on the node
     */
    public static TargetSettings read(SettingsNode node) {
        return new TargetSettings(
                node.text("name"),
                node.text("host", "127.0.0.1"),
                node.integer("port", 1, MAX_PORT),
                node.text("service"),
                node.flag("engine", true),
                node.integer("slots", DEFAULT_SLOTS, 1, Integer.MAX_VALUE),
                node.texts("models"),
                node.millis("connectTimeoutMs", DEFAULT_CONNECT_TIMEOUT_MS),
                node.millis("silenceMs", DEFAULT_SILENCE_TIMEOUT_MS),
                node.millis("probeIntervalMs", DEFAULT_PROBE_INTERVAL_MS),
                node.millis("probeTimeoutMs", DEFAULT_PROBE_TIMEOUT_MS),
                node.text("probePath", DEFAULT_PROBE_PATH),
                node.integer(
                        "probeFailures", DEFAULT_PROBE_FAILURE_THRESHOLD, 1, Integer.MAX_VALUE),
                node.millis("orderTimeoutMs", DEFAULT_ORDER_TIMEOUT_MS),
                node.flag("resume", false));
    }
}
