package org.sardinelift.core.order;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * Plans all roll-outs under one lease. They share the rate limit of the weight store, and no target
 * is changed by two of them at once.
 */
public final class RolloutPlanner {
    private final long fence;
    private final OrderBounds bounds;
    private final LoadPacer pacer;
    private final Map<String, Rollout> rollouts = new TreeMap<>();

    private RolloutPlanner(long fence, OrderBounds bounds, long nowNanos) {
        this.fence = fence;
        this.bounds = bounds;
        this.pacer = LoadPacer.of(bounds.loadsPerMinute(), nowNanos);
    }

    /**
     * Creates the planner of a lease.
     *
     * @param fence fence of the lease
     * @param bounds bounds of orders
     * @param states states read from the platform, which may be old
     * @param nowNanos current time, monotonic
     * @return the planner
     */
    public static RolloutPlanner of(
            long fence, OrderBounds bounds, Collection<RolloutState> states, long nowNanos) {
        RolloutPlanner planner = new RolloutPlanner(fence, bounds, nowNanos);
        states.forEach(
                state ->
                        planner.rollouts.put(
                                state.spec().name(),
                                Rollout.resume(state, fence, bounds, planner.pacer)));
        return planner;
    }

    /**
     * Returns the fence of the lease.
     *
     * @return the fence
     */
    public long fence() {
        return fence;
    }

    /**
     * Decides on the next state of each roll-out. Afterwards every dirty state is to be written.
     *
     * @param specs roll-outs that operators want
     * @param fleet targets as last reported
     * @param nowNanos current time, monotonic
     */
    public void plan(Collection<RolloutSpec> specs, List<TargetView> fleet, long nowNanos) {
        Map<String, RolloutSpec> wanted =
                specs.stream().collect(Collectors.toMap(RolloutSpec::name, spec -> spec));
        wanted.forEach(
                (name, spec) ->
                        rollouts.computeIfAbsent(
                                name, absent -> Rollout.begin(spec, fence, bounds, pacer)));
        rollouts.forEach(
                (name, rollout) ->
                        rollout.plan(
                                Optional.ofNullable(wanted.get(name)),
                                fleet,
                                targetsOfOthers(name),
                                fence,
                                nowNanos));
    }

    /**
     * Returns the roll-outs.
     *
     * @return roll-outs by name
     */
    public Map<String, Rollout> rollouts() {
        return Map.copyOf(rollouts);
    }

    private Set<String> targetsOfOthers(String name) {
        return rollouts.entrySet().stream()
                .filter(other -> !other.getKey().equals(name))
                .flatMap(other -> other.getValue().state().activeTargets().stream())
                .collect(Collectors.toSet());
    }
}
