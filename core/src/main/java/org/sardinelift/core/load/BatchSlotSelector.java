package org.sardinelift.core.load;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Selects the free slots on which a worker starts batch items.
 *
 * <p>At a peak of online calls a slot is free for a few milliseconds between two of them, and an
 * item started there is preempted before it has done any work; several workers also see the same
 * free slot. A slot is therefore used only when its target has had a free one for a while, which is
 * shorter for workers in the target's zone than for others, and a worker starts one item at a time
 * on a target. Targets that limit the rate of their requests are preferred: an item uses one
 * request for a run of seconds, and few online calls come there to preempt it. So are slow targets,
 * which online calls choose last. Times are nanoseconds of a monotonic clock. Not thread-safe.
 */
public final class BatchSlotSelector {
    private final String zone;
    private final long settleNanos;
    private final long remoteSettleNanos;
    private final long startIntervalNanos;
    private final Map<String, Long> freeSince = new HashMap<>();
    private final Map<String, Long> startedAt = new HashMap<>();

    private BatchSlotSelector(
            String zone, Duration settle, Duration remoteSettle, Duration startInterval) {
        this.zone = zone;
        this.settleNanos = settle.toNanos();
        this.remoteSettleNanos = remoteSettle.toNanos();
        this.startIntervalNanos = startInterval.toNanos();
    }

    /**
     * Creates the selector of one worker.
     *
     * @param zone availability zone of the worker
     * @param settle time for which a target in the zone must have had a free slot
     * @param remoteSettle the same for targets in other zones
     * @param startInterval time between two starts on one target, in which the report of the first
     *     reaches the other workers
     * @return the selector
     */
    public static BatchSlotSelector of(
            String zone, Duration settle, Duration remoteSettle, Duration startInterval) {
        return new BatchSlotSelector(zone, settle, remoteSettle, startInterval);
    }

    /**
     * Records the loads. Must be called whenever they may have changed.
     *
     * @param loads loads of all usable targets
     * @param now the time
     */
    public void observe(List<TargetLoad> loads, long now) {
        Set<String> free =
                loads.stream()
                        .filter(TargetLoad::isFree)
                        .map(TargetLoad::id)
                        .collect(Collectors.toCollection(HashSet::new));
        freeSince.keySet().retainAll(free);
        free.forEach(id -> freeSince.putIfAbsent(id, now));
        startedAt.values().removeIf(at -> now - at >= startIntervalNanos);
    }

    /**
     * Selects the target on which to start an item now.
     *
     * @param loads loads of the targets that may run the item
     * @param now the time
     * @return the target with the most free slots, preferably one that limits its rate, then one in
     *     the worker's zone, then a slow one; empty if no target has a usable slot
     */
    public Optional<TargetLoad> select(List<TargetLoad> loads, long now) {
        return loads.stream()
                .filter(load -> load.isFree() && hasSettled(load, now))
                .filter(load -> !startedAt.containsKey(load.id()))
                .max(
                        Comparator.comparing(TargetLoad::isRateLimited)
                                .thenComparing(this::isInZone)
                                .thenComparingDouble(TargetLoad::workTime)
                                .thenComparingInt(TargetLoad::freeSlots));
    }

    private boolean hasSettled(TargetLoad load, long now) {
        Long since = freeSince.get(load.id());
        return since != null && now - since >= (isInZone(load) ? settleNanos : remoteSettleNanos);
    }

    private boolean isInZone(TargetLoad load) {
        return load.zone().equals(zone);
    }

    /**
     * An item was started.
     *
     * @param target name of the target that runs it
     * @param now the time
     */
    public void onItemStarted(String target, long now) {
        startedAt.put(target, now);
    }

    /**
     * Returns whether a slot is free. {@link #select} may return it later even if it does not now.
     *
     * @param loads loads of the targets that may run an item
     * @return true if one of them has a free slot
     */
    public boolean hasFreeSlot(List<TargetLoad> loads) {
        return loads.stream().anyMatch(TargetLoad::isFree);
    }
}
