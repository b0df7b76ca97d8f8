package org.sardinelift.core.order;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;

/** All roll-outs under one lease; they share the weight store's rate and no target twice. */
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
     * Begins under a lease.
     *
     * @param fence number of the lease
     * @param bounds bounds
     * @param states what the platform holds, which may be old
     * @param nowNanos time
     * @return the board
     */
    public static RolloutPlanner of(
            long fence, OrderBounds bounds, Collection<RolloutState> states, long nowNanos) {
        RolloutPlanner board = new RolloutPlanner(fence, bounds, nowNanos);
        states.forEach(
                state ->
                        board.rollouts.put(
                                state.spec().name(),
                                Rollout.resume(state, fence, bounds, board.pacer)));
        return board;
    }

    /**
     * Number of the lease.
     *
     * @return the fence
     */
    public long fence() {
        return fence;
    }

    /**
     * Decides what is next. Afterwards every dirty state is to be written.
     *
     * @param specs what operators want
     * @param fleet targets as they are reported
     * @param nowNanos time
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
                                busyFor(name),
                                fence,
                                nowNanos));
    }

    /**
     * The roll-outs.
     *
     * @return by name
     */
    public Map<String, Rollout> rollouts() {
        return Map.copyOf(rollouts);
    }

    private Set<String> busyFor(String name) {
        return rollouts.entrySet().stream()
                .filter(other -> !other.getKey().equals(name))
                .flatMap(other -> other.getValue().state().activeTargets().stream())
                .collect(Collectors.toSet());
    }
}
