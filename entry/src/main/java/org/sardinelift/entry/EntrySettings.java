package org.sardinelift.entry;

import java.nio.file.Path;
import java.time.Duration;
import java.util.Optional;
import org.sardinelift.core.catalog.ConfigTimings;
import org.sardinelift.core.fleet.MembershipTimings;
import org.sardinelift.core.limit.LimitBounds;
import org.sardinelift.core.order.OrderBounds;
import org.sardinelift.entry.batch.BatchSettings;
import org.sardinelift.entry.call.CallBounds;
import org.sardinelift.entry.call.PoisonBounds;
import org.sardinelift.entry.control.LimitSettings;
import org.sardinelift.entry.filter.IdempotencyBounds;
import org.sardinelift.entry.order.OrderSettings;
import org.sardinelift.objects.CallBudget;
import org.sardinelift.protocol.ConnectionTimings;
import org.sardinelift.runtime.tls.PlaintextCheck;
import org.sardinelift.runtime.tls.ServerTlsSettings;
import org.sardinelift.runtime.tls.TlsSettings;
import org.sardinelift.settings.SettingsNode;

/**
 * Settings of an entry.
 *
 * @param instance name of this instance, unique over the fleet
 * @param zone availability zone
 * @param platform address of the platform's object API
 * @param platformTimeout timeout of one platform call
 * @param platformBudget limit of this instance's platform calls
 * @param caller address of the callers' port
 * @param callerTls certificate of the callers' port, or empty for plaintext
 * @param requests bounds of callers' requests
 * @param operators address of the operators' port
 * @param peer address of the port for other entries
 * @param peerTls certificates for links to entries and companions, or empty for plaintext
 * @param keyPepper secret of the keyed hash of callers' keys, the same on every instance
 * @param config intervals and timeouts of reading the configuration
 * @param membership intervals and timeouts of membership
 * @param limits bounds of the fleet-wide limits
 * @param links intervals and timeouts of connections between processes
 * @param calls bounds of calls to targets
 * @param poison bounds for requests that crash targets
 * @param idempotency bounds for requests with an Idempotency-Key
 * @param batch settings of batch work
 * @param orders bounds of orders to targets
 * @param drainDelay time between reporting not ready and refusing new work
 * @param drainTimeout longest time to wait for running calls to end
 * @param maxDecisions maximum number of decisions kept in memory
 * @param traceFile file to which each span is written as one JSON line
 * @param otlpEndpoint URL of an OTLP collector
 * @param traceRatio fraction of new traces that are recorded, 0 to 1
 * @param eventLoops number of event-loop threads
 * @param seed seed of this instance's random numbers, 0 for a random one
 */
public record EntrySettings(
        String instance,
        String zone,
        Endpoint platform,
        Duration platformTimeout,
        CallBudget platformBudget,
        Endpoint caller,
        Optional<ServerTlsSettings> callerTls,
        RequestBounds requests,
        Endpoint operators,
        Endpoint peer,
        Optional<TlsSettings> peerTls,
        String keyPepper,
        ConfigTimings config,
        MembershipTimings membership,
        LimitBounds limits,
        ConnectionTimings links,
        CallBounds calls,
        PoisonBounds poison,
        IdempotencyBounds idempotency,
        BatchSettings batch,
        OrderBounds orders,
        Duration drainDelay,
        Duration drainTimeout,
        int maxDecisions,
        Optional<Path> traceFile,
        Optional<String> otlpEndpoint,
        double traceRatio,
        int eventLoops,
        int seed) {
    private static final int MAX_CALLS = 1_000_000;

    /**
     * Reads the settings of an entry; errors are recorded at the node.
     *
     * @param node the root object
     * @return the settings, defaults where fields are absent
     */
    public static EntrySettings read(SettingsNode node) {
        SettingsNode platform = node.object("platform");
        SettingsNode caller = node.object("caller");
        SettingsNode peer = node.object("peer");
        SettingsNode drain = node.object("drain");
        SettingsNode traces = node.object("traces");
        EntrySettings settings =
                new EntrySettings(
                        node.text("instance"),
                        node.text("zone"),
                        Endpoint.read(platform),
                        platform.millis("timeoutMs", 2_000),
                        readCallBudget(platform),
                        Endpoint.read(caller),
                        caller.optionalObject("tls", ServerTlsSettings::read),
                        RequestBounds.read(caller.object("bounds")),
                        Endpoint.read(node.object("operators")),
                        Endpoint.read(peer),
                        peer.optionalObject("tls", TlsSettings::read),
                        node.text("keyPepper"),
                        readConfigTimings(node.object("config")),
                        readMembershipTimings(node.object("membership")),
                        LimitSettings.read(node.object("limits")),
                        readLinkTimings(node.object("links")),
                        CallBounds.read(node.object("calls")),
                        PoisonBounds.read(node.object("poison")),
                        IdempotencyBounds.read(node.object("idempotency")),
                        BatchSettings.read(node.object("batch")),
                        OrderSettings.read(node.object("orders")),
                        drain.millis("delayMs", 2_000),
                        drain.millis("timeoutMs", 600_000),
                        node.object("explain").integer("entries", 10_000, 1, 10_000_000),
                        traces.optionalText("file").map(Path::of),
                        traces.optionalText("otlpEndpoint"),
                        traces.number("sampleRatio", 0.01, 0, 1),
                        node.integer("eventLoops", 2, 1, 256),
                        node.integer("seed", 0, 0, Integer.MAX_VALUE));
        PlaintextCheck.check(caller, settings.caller.host(), settings.callerTls.isPresent());
        PlaintextCheck.check(peer, settings.peer.host(), settings.peerTls.isPresent());
        return settings;
    }

    private static CallBudget readCallBudget(SettingsNode node) {
        CallBudget defaults = CallBudget.defaults();
        return new CallBudget(
                node.number("callsPerSecond", defaults.callsPerSecond(), 1, MAX_CALLS),
                node.integer("burst", defaults.burst(), 1, MAX_CALLS),
                node.integer("maxQueued", defaults.maxQueued(), 1, MAX_CALLS));
    }

    private static ConfigTimings readConfigTimings(SettingsNode node) {
        ConfigTimings defaults = ConfigTimings.defaults();
        return new ConfigTimings(
                millis(node, "watchWaitMs", defaults.watchWait()),
                millis(node, "callTimeoutMs", defaults.callTimeout()),
                millis(node, "retryMs", defaults.retryPause()),
                millis(node, "watchPauseMs", defaults.watchPause()),
                millis(node, "gossipMs", defaults.gossipInterval()),
                millis(node, "behindBoundMs", defaults.relistDelay()),
                millis(node, "isolationMs", defaults.isolationTimeout()));
    }

    private static MembershipTimings readMembershipTimings(SettingsNode node) {
        MembershipTimings defaults = MembershipTimings.defaults();
        return new MembershipTimings(
                millis(node, "pollMs", defaults.pollInterval()),
                millis(node, "goneAfterMs", defaults.goneAfter()));
    }

    private static ConnectionTimings readLinkTimings(SettingsNode node) {
        ConnectionTimings defaults = ConnectionTimings.defaults();
        return new ConnectionTimings(
                millis(node, "heartbeatMs", defaults.heartbeatInterval()),
                millis(node, "silenceMs", defaults.silenceTimeout()),
                millis(node, "reconnectMinMs", defaults.minReconnectDelay()),
                millis(node, "reconnectMaxMs", defaults.maxReconnectDelay()));
    }

    private static Duration millis(SettingsNode node, String name, Duration defaultValue) {
        return node.millis(name, (int) defaultValue.toMillis());
    }
}
