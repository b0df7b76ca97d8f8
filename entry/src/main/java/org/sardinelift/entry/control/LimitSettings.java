package org.sardinelift.entry.control;

import java.time.Duration;
import org.sardinelift.core.limit.LimitBounds;
import org.sardinelift.settings.SettingsNode;

/** Reads the bounds of the fleet-wide limits. */
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
        LimitBounds standard = LimitBounds.defaults();
        LimitBounds bounds =
                new LimitBounds(
                        millis(node, "loanTtlMs", standard.loanTtl()),
                        millis(node, "loanMarginMs", standard.loanMargin()),
                        millis(node, "gatherBoundMs", standard.gatherBound()),
                        millis(node, "gatherPassMs", standard.gatherPass()),
                        node.integer("fanOut", standard.fanOut(), 1, MAX_COUNT),
                        millis(node, "prefetchMs", standard.prefetch()),
                        node.integer("maxWaiting", standard.maxWaiting(), 1, MAX_COUNT),
                        millis(node, "minGatherPauseMs", standard.minGatherPause()),
                        millis(node, "readIntervalMs", standard.readInterval()),
                        millis(node, "callTimeoutMs", standard.callTimeout()),
                        millis(node, "retryMs", standard.retry()),
                        millis(node, "pauseBoundMs", standard.pauseBound()),
                        millis(node, "contactBoundMs", standard.contactBound()),
                        millis(node, "isolationBoundMs", standard.isolationBound()),
                        millis(node, "restartDelayMs", standard.restartDelay()),
                        millis(node, "reclaimDelayMs", standard.reclaimDelay()),
                        millis(node, "balanceIntervalMs", standard.balanceInterval()),
                        node.number("balanceThreshold", standard.balanceThreshold(), 0, 1));
        if (!bounds.isReclaimSafe()) {
            node.addError(
                    "reclaimDelayMs",
                    "more than " + bounds.longestUseAfterContactLoss().toMillis(),
                    String.valueOf(bounds.reclaimDelay().toMillis()),
                    "Raise it, or lower the other bounds.");
        }
        return bounds;
    }

    private static Duration millis(SettingsNode node, String name, Duration standard) {
        return node.millis(name, (int) standard.toMillis());
    }
}
