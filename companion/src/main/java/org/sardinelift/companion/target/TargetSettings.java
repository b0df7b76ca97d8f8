package org.sardinelift.companion.target;

import java.time.Duration;
import java.util.List;
import org.sardinelift.settings.SettingsNode;

/**
 * The target beside a companion.
 *
 * @param name unique name of the target
 * @param host IP address
 * @param port HTTP port
 * @param service service that it is a replica of
 * @param engine whether it is a model engine, not a plain service
 * @param slots calls that it runs at once
 * @param models models and adapters that it has loaded at start
 * @param connectTimeout longest time to connect
 * @param silence longest time without any byte of an answer
 * @param probeInterval time between two probes
 * @param probeTimeout time after which a probe counts as not answered
 * @param probePath path that a probe asks for; any answer shows that the target lives
 * @param probeFailureThreshold failed probes in a row after which the target is down
 * @param orderTimeout longest silence while the target carries out an order
 * @param resume whether it goes on with calls that were cut
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
        Duration silence,
        Duration probeInterval,
        Duration probeTimeout,
        String probePath,
        int probeFailureThreshold,
        Duration orderTimeout,
        boolean resume) {
    private static final int MAX_PORT = 65_535;
    private static final int DEFAULT_SLOTS = 16;
    private static final int DEFAULT_CONNECT_TIMEOUT_MS = 500;
    private static final int DEFAULT_SILENCE_MS = 600_000;
    private static final int DEFAULT_PROBE_INTERVAL_MS = 200;
    private static final int DEFAULT_PROBE_TIMEOUT_MS = 1_000;
    private static final String DEFAULT_PROBE_PATH = "/load";
    private static final int DEFAULT_PROBE_FAILURES = 3;
    private static final int DEFAULT_ORDER_TIMEOUT_MS = 120_000;

    /**
     * Reads and checks the settings of a target.
     *
     * @param node the {@code target} object of the settings file
     * @return the settings; errors are recorded at the node
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
                node.millis("silenceMs", DEFAULT_SILENCE_MS),
                node.millis("probeIntervalMs", DEFAULT_PROBE_INTERVAL_MS),
                node.millis("probeTimeoutMs", DEFAULT_PROBE_TIMEOUT_MS),
                node.text("probePath", DEFAULT_PROBE_PATH),
                node.integer("probeFailures", DEFAULT_PROBE_FAILURES, 1, Integer.MAX_VALUE),
                node.millis("orderTimeoutMs", DEFAULT_ORDER_TIMEOUT_MS),
                node.flag("resume", false));
    }
}
