package org.sardinelift.companion;

import java.nio.file.Path;
import java.time.Duration;
import java.util.Optional;
import org.sardinelift.companion.call.CallSettings;
import org.sardinelift.companion.target.TargetSettings;
import org.sardinelift.protocol.ConnectionLimits;
import org.sardinelift.protocol.ConnectionTimings;
import org.sardinelift.runtime.tls.PlaintextCheck;
import org.sardinelift.runtime.tls.TlsSettings;
import org.sardinelift.settings.SettingsNode;

/**
 * Settings of a companion.
 *
 * @param instance unique name of this instance
 * @param zone availability zone
 * @param peer address that entries connect to
 * @param peerTls certificates for entries' connections, or empty for plaintext
 * @param operators address of the operators' HTTP interface
 * @param target the target that this instance serves
 * @param platform address of the platform's object API, or empty if no orders are accepted
 * @param platformTimeout maximum time without any byte from the platform
 * @param modelsPollInterval time between polls of the loaded models
 * @param maxWaitingOrders maximum number of waiting orders
 * @param orderTries attempts to store a fencing number before an order is refused
 * @param timings heartbeat interval and silence timeout of connections
 * @param limits limits of connections
 * @param calls limits of calls
 * @param reportInterval minimum time between load reports while calls arrive and end
 * @param reportRefresh time after which an unchanged load is reported again
 * @param drainTimeout maximum time to wait for running calls during a drain
 * @param drainLinger maximum time to wait then for entries to acknowledge the last responses
 * @param maxDecisions maximum number of decisions kept
 * @param traces destinations of spans
 */
public record CompanionSettings(
        String instance,
        String zone,
        Address peer,
        Optional<TlsSettings> peerTls,
        Address operators,
        TargetSettings target,
        Optional<Address> platform,
        Duration platformTimeout,
        Duration modelsPollInterval,
        int maxWaitingOrders,
        int orderTries,
        ConnectionTimings timings,
        ConnectionLimits limits,
        CallSettings calls,
        Duration reportInterval,
        Duration reportRefresh,
        Duration drainTimeout,
        Duration drainLinger,
        int maxDecisions,
        Traces traces) {
    private static final int MAX_PORT = 65_535;
    private static final int DEFAULT_PLATFORM_TIMEOUT_MS = 2_000;
    private static final int DEFAULT_MODELS_POLL_INTERVAL_MS = 1_000;
    private static final int DEFAULT_MAX_WAITING_ORDERS = 16;
    private static final int DEFAULT_ORDER_TRIES = 3;
    private static final int DEFAULT_REPORT_INTERVAL_MS = 200;
    private static final int DEFAULT_REPORT_REFRESH_MS = 1_000;
    private static final int DEFAULT_DRAIN_TIMEOUT_MS = 600_000;
    private static final int DEFAULT_DRAIN_LINGER_MS = 2_000;
    private static final int DEFAULT_MAX_DECISIONS = 10_000;
    private static final int LARGEST_MAX_DECISIONS = 10_000_000;

    /**
     * Reads and validates the settings of a companion.
     *
     * @param node the root object of the settings file
     * @return the settings; errors are recorded on the node
     */
    public static CompanionSettings read(SettingsNode node) {
        node.choice("role", "companion");
        TargetSettings target = TargetSettings.read(node.object("target"));
        SettingsNode peer = node.object("peer");
        SettingsNode links = node.object("links");
        CompanionSettings settings =
                new CompanionSettings(
                        node.text("instance"),
                        node.text("zone"),
                        Address.read(peer),
                        peer.optionalObject("tls", TlsSettings::read),
                        Address.read(node.object("operators")),
                        target,
                        node.optionalObject("platform", Address::readRemote),
                        node.millis("platformTimeoutMs", DEFAULT_PLATFORM_TIMEOUT_MS),
                        node.millis("modelsIntervalMs", DEFAULT_MODELS_POLL_INTERVAL_MS),
                        node.integer("maxOrders", DEFAULT_MAX_WAITING_ORDERS, 1, Integer.MAX_VALUE),
                        node.integer("orderTries", DEFAULT_ORDER_TRIES, 1, Integer.MAX_VALUE),
                        readTimings(links),
                        readLimits(links),
                        CallSettings.read(node.object("calls"), target.slots()),
                        node.millis("reportIntervalMs", DEFAULT_REPORT_INTERVAL_MS),
                        node.millis("reportRefreshMs", DEFAULT_REPORT_REFRESH_MS),
                        node.millis("drainTimeoutMs", DEFAULT_DRAIN_TIMEOUT_MS),
                        node.millis("drainLingerMs", DEFAULT_DRAIN_LINGER_MS),
                        node.object("explain")
                                .integer(
                                        "entries", DEFAULT_MAX_DECISIONS, 1, LARGEST_MAX_DECISIONS),
                        Traces.read(node.object("traces")));
        PlaintextCheck.check(peer, settings.peer.host(), settings.peerTls.isPresent());
        return settings;
    }

    /** Companions open no connections to other processes, so they have no backoff settings. */
    private static ConnectionTimings readTimings(SettingsNode node) {
        ConnectionTimings defaults = ConnectionTimings.defaults();
        return new ConnectionTimings(
                node.millis("heartbeatMs", (int) defaults.heartbeatInterval().toMillis()),
                node.millis("silenceMs", (int) defaults.silenceTimeout().toMillis()),
                defaults.minReconnectDelay(),
                defaults.maxReconnectDelay());
    }

    private static ConnectionLimits readLimits(SettingsNode node) {
        ConnectionLimits defaults = ConnectionLimits.defaults();
        return new ConnectionLimits(
                node.integer("maxFrameBytes", defaults.maxFrameBytes(), 1024, Integer.MAX_VALUE),
                node.integer("maxUnsentBytes", defaults.maxUnsentBytes(), 1024, Integer.MAX_VALUE),
                node.integer("maxConnections", defaults.maxConnections(), 1, Integer.MAX_VALUE));
    }

    /**
     * An address to bind or to connect to.
     *
     * @param host IP address
     * @param port port, 0 to bind a free one
     */
    public record Address(String host, int port) {
        static Address read(SettingsNode node) {
            return new Address(
                    node.text("host", "127.0.0.1"), node.integer("port", 0, 0, MAX_PORT));
        }

        /** Reads an address to connect to, whose port has no default. */
        static Address readRemote(SettingsNode node) {
            return new Address(node.text("host", "127.0.0.1"), node.integer("port", 1, MAX_PORT));
        }
    }

    /**
     * Destinations of spans.
     *
     * @param file file that gets one JSON line for each span, or empty for none
     * @param otlpEndpoint URL of an OTLP collector, or empty for none
     * @param sampleRatio fraction of new traces that are recorded, 0 to 1
     */
    public record Traces(Optional<Path> file, Optional<String> otlpEndpoint, double sampleRatio) {
        static Traces read(SettingsNode node) {
            return new Traces(
                    node.optionalText("file").map(Path::of),
                    node.optionalText("otlpEndpoint"),
                    node.number("sampleRatio", 0.01, 0, 1));
        }
    }
}
