package org.sardinelift.gateway;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.sardinelift.settings.SettingsNode;

/**
 * Settings that gateways and workers share.
 *
 * @param instance name of this instance, kept across restarts
 * @param zone availability zone
 * @param internalAddress address for reports (UDP) and internal calls (TCP), the same port on all
 *     instances
 * @param seedHosts hosts of some other instances, used while the store is unavailable
 * @param storeAddress address of the platform's store
 * @param storeTimeout longest silence of the store before a call fails
 * @param storeCallsPerSecond limit on this instance's calls to the store
 * @param gracePeriod time between the request to stop and the kill
 * @param maxInstances largest number of instances that the deployment may have
 * @param isFirstStart whether the whole deployment starts for the first time, so that no stream can
 *     have begun before
 * @param boundsTargetMemory whether calls and items are bounded by the memory of targets
 * @param evacuationTime time within which an evacuation of a zone must take effect; empty if
 *     evacuations are not read
 */
public record NodeSettings(
        String instance,
        String zone,
        Endpoint internalAddress,
        List<String> seedHosts,
        Endpoint storeAddress,
        Duration storeTimeout,
        int storeCallsPerSecond,
        Duration gracePeriod,
        int maxInstances,
        boolean isFirstStart,
        boolean boundsTargetMemory,
        Optional<Duration> evacuationTime) {

    /**
     * Reads the settings.
     *
     * @param node root of the settings file
     * @return the settings
     */
    public static NodeSettings read(SettingsNode node) {
        SettingsNode store = node.object("store");
        return new NodeSettings(
                node.text("instance"),
                node.text("zone"),
                Endpoint.read(node, "internal"),
                node.texts("seeds").stream().map(NodeSettings::host).toList(),
                Endpoint.read(store, "address"),
                // Over twice the response time of a store that is sixty times slower than usual.
                store.millis("timeoutMs", 800),
                // A tenth of a small store's reads; a dozen instances together stay within them.
                store.integer("callsPerSecond", 60, 1, 100_000),
                node.millis("graceMs", 8_000),
                node.object("fleet").integer("maxInstances", 40, 1, 100_000),
                node.flag("firstStart", false),
                node.flag("boundTargetMemory", false),
                evacuationTime(node));
    }

    private static Optional<Duration> evacuationTime(SettingsNode node) {
        Duration time = node.object("evacuation").millis("applyMs", 0);
        return time.isZero() ? Optional.empty() : Optional.of(time);
    }

    private static String host(String address) {
        int colon = address.lastIndexOf(':');
        return colon < 0 ? address : address.substring(0, colon);
    }
}
