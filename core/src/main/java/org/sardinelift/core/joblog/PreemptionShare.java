package org.sardinelift.core.joblog;

import java.util.Map;
import java.util.TreeMap;

/**
 * How many of its batch items on a target a worker takes away where there are more calls than
 * slots. All workers reckon from the same reports in the same order, so that together they take
 * away as many as are needed and not each all of them.
 */
public final class PreemptionShare {
    private PreemptionShare() {}

    /**
     * The items that one worker takes away.
     *
     * @param self name of the worker
     * @param own its items on the target
     * @param others items of other workers on the target, by worker
     * @param excess calls beyond the slots
     * @return its part, at most its own items
     */
    public static int itemsToPreempt(
            String self, int own, Map<String, Integer> others, int excess) {
        TreeMap<String, Integer> items = new TreeMap<>(others);
        items.put(self, own);
        int left = excess;
        for (Map.Entry<String, Integer> each : items.headMap(self).entrySet()) {
            left -= each.getValue();
        }
        return Math.max(0, Math.min(own, left));
    }
}
