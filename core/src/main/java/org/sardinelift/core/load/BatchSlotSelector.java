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
 * Which free slots a worker gives to batch items.
 *
 * <p>Loads answered: at a peak of online calls a slot is free for some milliseconds between two of
 * them, and an item started there is cut before it has done anything; and several workers see the
 * same free slot. So a slot counts as free only when its target has had one for a while, sooner for
 * the workers of the target's zone than for others, and one worker starts one item at a time on a
 * target. Times are nanoseconds of a monotonic clock. Not safe for use by several threads at once.
 */
public final class BatchSlotSelector {
    private final String zone;
    private final long settleNanos;
    private final long settleFarNanos;
    private final long nextStartNanos;
    private final Map<String, Long> freeSince = new HashMap<>();
    private final Map<String, Long> startedAt = new HashMap<>();

    private BatchSlotSelector(
            String zone, Duration settle, Duration settleFar, Duration nextStart) {
        this.zone = zone;
        this.settleNanos = settle.toNanos();
        this.settleFarNanos = settleFar.toNanos();
        this.nextStartNanos = nextStart.toNanos();
    }

    /**
     * Makes the choice of one worker.
     *
     * @param zone its availability zone
     * @param settle time for which a target of the zone must have had a free slot
     * @param settleFar the same for targets of other zones
     * @param nextStart time between two starts on one target, for the report of the first to spread
     * @return the choice
     */
    public static BatchSlotSelector of(
            String zone, Duration settle, Duration settleFar, Duration nextStart) {
        return new BatchSlotSelector(zone, settle, settleFar, nextStart);
    }

    /**
     * Takes note of the loads; to be called whenever they may have changed.
     *
     * @param loads all usable targets
     * @param now the time
     */
    public void observe(List<TargetLoad> loads, long now) {
        Set<String> free =
                loads.stream()
                        .filter(load -> load.freeSlots() > 0)
                        .map(TargetLoad::id)
                        .collect(Collectors.toCollection(HashSet::new));
        freeSince.keySet().retainAll(free);
        free.forEach(id -> freeSince.putIfAbsent(id, now));
        startedAt.values().removeIf(at -> now - at >= nextStartNanos);
    }

    /**
     * The target on which to start an item now.
     *
     * @param loads targets that may run it
     * @param now the time
     * @return the target with the most free slots, near ones first; empty where none has one
     */
    public Optional<TargetLoad> select(List<TargetLoad> loads, long now) {
        return loads.stream()
                .filter(load -> load.freeSlots() > 0 && hasSettled(load, now))
                .filter(load -> !startedAt.containsKey(load.id()))
                .max(
                        Comparator.comparing((TargetLoad load) -> isNear(load))
                                .thenComparingInt(TargetLoad::freeSlots));
    }

    private boolean hasSettled(TargetLoad load, long now) {
        Long since = freeSince.get(load.id());
        return since != null && now - since >= (isNear(load) ? settleNanos : settleFarNanos);
    }

    private boolean isNear(TargetLoad load) {
        return load.zone().equals(zone);
    }

    /**
     * An item was started.
     *
     * @param target on this target
     * @param now the time
     */
    public void onItemStarted(String target, long now) {
        startedAt.put(target, now);
    }

    /**
     * Whether looking again soon may find a slot.
     *
     * @param loads targets that may run an item
     * @return true where one has a free slot that can't be used yet
     */
    public boolean hasFreeSlot(List<TargetLoad> loads) {
        return loads.stream().anyMatch(load -> load.freeSlots() > 0);
    }
}
