package org.sardinelift.entry.control;

import java.time.Duration;
import org.sardinelift.core.limit.LimitBounds;
import org.sardinelift.settings.SettingsNode;

/** Reads the bounds of the fleet-wide limits from the settings. */
public final class LimitSettings {
    private static final int MAX_COUNT = 1_000_000;

    private LimitSettings() {}

    /**
     * Reads the bounds; errors are recorded at the node.
     *
     * @param node the object that holds them
     * @return the bounds, defaults where fields are absent
     */
    public static LimitBounds read(SettingsNode node) {
        LimitBounds defaults = LimitBounds.defaults();
        LimitBounds bounds =
                new LimitBounds(
                        millis(node, "loanTtlMs", defaults.loanTtl()),
                        millis(node, "loanMarginMs", defaults.loanMargin()),
                        millis(node, "gatherBoundMs", defaults.gatherBound()),
                        millis(node, "gatherPassMs", defaults.gatherPass()),
                        node.integer("fanOut", defaults.fanOut(), 1, MAX_COUNT),
                        millis(node, "prefetchMs", defaults.prefetch()),
                        node.integer("maxWaiting", defaults.maxWaiting(), 1, MAX_COUNT),
                        millis(node, "minGatherPauseMs", defaults.minGatherPause()),
                        millis(node, "readIntervalMs", defaults.readInterval()),
                        millis(node, "callTimeoutMs", defaults.callTimeout()),
                        millis(node, "retryMs", defaults.retry()),
                        millis(node, "pauseBoundMs", defaults.pauseBound()),
                        millis(node, "contactBoundMs", defaults.contactBound()),
                        millis(node, "isolationBoundMs", defaults.isolationBound()),
                        millis(node, "restartDelayMs", defaults.restartDelay()),
                        millis(node, "reclaimDelayMs", defaults.reclaimDelay()),
                        millis(node, "balanceIntervalMs", defaults.balanceInterval()),
                        node.number("balanceThreshold", defaults.balanceThreshold(), 0, 1));
        if (!bounds.isReclaimSafe()) {
            node.addError(
                    "reclaimDelayMs",
                    "more than " + bounds.longestUseAfterContactLoss().toMillis(),
                    String.valueOf(bounds.reclaimDelay().toMillis()),
                    "Raise it, or lower the other bounds.");
        }
        return bounds;
    }

    private static Duration millis(SettingsNode node, String name, Duration defaultValue) {
        return node.millis(name, (int) defaultValue.toMillis());
    }
}
