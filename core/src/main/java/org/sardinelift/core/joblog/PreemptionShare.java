package org.sardinelift.core.joblog;

import java.util.Map;
import java.util.TreeMap;

/**
 * Number of batch items that a worker preempts on a target with more calls than slots. All workers
 * compute it from the same reports in the same order, so that together, not each, they preempt as
 * many items as needed.
 */
public final class PreemptionShare {
    private PreemptionShare() {}

    /**
     * Computes the number of items that one worker preempts.
     *
     * @param self name of the worker
     * @param own number of its items on the target
     * @param others number of items on the target, by other worker
     * @param excess calls on the target beyond its slots
     * @return number of items, at most its own
     */
    public static int itemsToPreempt(
            String self, int own, Map<String, Integer> others, int excess) {
        TreeMap<String, Integer> items = new TreeMap<>(others);
        items.put(self, own);
        int remaining = excess;
        for (Map.Entry<String, Integer> each : items.headMap(self).entrySet()) {
            remaining -= each.getValue();
        }
        return Math.max(0, Math.min(own, remaining));
    }
}
