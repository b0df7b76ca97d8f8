package org.sardinelift.entry.order;

import java.time.Duration;
import org.sardinelift.core.order.OrderBounds;
import org.sardinelift.settings.SettingsNode;

/** Reads the bounds of orders and roll-outs from the settings. */
public final class OrderSettings {
    private static final int MAX_LOADS = 100_000;
    private static final int MAX_TARGETS = 5_000;

    private OrderSettings() {}

    /**
     * Reads the bounds; errors are recorded at the node.
     *
     * @param node the object that holds them
     * @return the bounds, defaults where fields are absent
     */
    public static OrderBounds read(SettingsNode node) {
        OrderBounds defaults = OrderBounds.defaults();
        OrderBounds bounds =
                new OrderBounds(
                        millis(node, "periodMs", defaults.pollInterval()),
                        millis(node, "leaseValidMs", defaults.leaseValid()),
                        millis(node, "leaseTimeoutMs", defaults.leaseTimeout()),
                        node.integer("loadsInFlight", defaults.maxLoadsInFlight(), 1, MAX_LOADS),
                        node.integer("loadsPerMinute", defaults.loadsPerMinute(), 1, MAX_LOADS),
                        millis(node, "loadBoundMs", defaults.loadTimeout()),
                        millis(node, "retryPauseMs", defaults.retryPause()),
                        millis(node, "goneAfterMs", defaults.goneTimeout()),
                        node.integer("maxTargets", defaults.maxTargets(), 1, MAX_TARGETS));
        if (bounds.leaseValid().compareTo(bounds.leaseTimeout()) >= 0) {
            node.addError(
                    "leaseValidMs",
                    "less than leaseTimeoutMs, " + bounds.leaseTimeout().toMillis(),
                    String.valueOf(bounds.leaseValid().toMillis()),
                    "Lower it, or raise leaseTimeoutMs.");
        }
        if (bounds.pollInterval().isZero()) {
            node.addError("periodMs", "at least 1", "0", "Set a positive time.");
        }
        return bounds;
    }

    private static Duration millis(SettingsNode node, String name, Duration defaultValue) {
        return node.millis(name, (int) defaultValue.toMillis());
    }
}
