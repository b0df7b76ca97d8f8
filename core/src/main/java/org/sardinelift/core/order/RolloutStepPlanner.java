package org.sardinelift.core.order;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/** Selects the targets to change next, so that enough others keep serving. */
final class RolloutStepPlanner {
    private final Map<String, TargetView> targets;
    private final Set<String> busy;
    private final OrderBounds bounds;

    /**
     * Creates a planner for the targets of a service; busy ones have an order of another roll-out.
     */
    RolloutStepPlanner(Map<String, TargetView> targets, Set<String> busy, OrderBounds bounds) {
        this.targets = targets;
        this.busy = busy;
        this.bounds = bounds;
    }

    RolloutState advance(RolloutState from) {
        if (targets.isEmpty()) {
            return from;
        }
        if (targets.size() > bounds.maxTargets()) {
            return from.rollBack(
                    "the service has %d targets, a roll-out takes at most %d; split the service"
                            .formatted(targets.size(), bounds.maxTargets()));
        }
        List<String> remaining =
                targets.keySet().stream().filter(name -> needsChange(from, name)).toList();
        if (remaining.isEmpty()) {
            return from.activeTargets().isEmpty() ? from.withPhase(RolloutPhase.COMPLETED) : from;
        }
        if (from.steps().isEmpty()
                && remaining.stream().allMatch(name -> mustKeepServing(from, name))) {
            return rollBack(
                    from.rollBack(
                            "leastServing %s of %d targets leaves none to move; set it lower"
                                    .formatted(from.spec().minServingFraction(), targets.size())));
        }
        RolloutState next = from;
        for (String name : inOrder(from, remaining)) {
            if (mayMove(next, name) && currentValue(next, name) != null) {
                RolloutStep step = next.steps().get(name);
                String previousValue =
                        step == null ? currentValue(next, name) : step.previousValue();
                next = next.withStep(name, new RolloutStep(previousValue, StepState.ORDERED));
            }
        }
        return next;
    }

    RolloutState rollBack(RolloutState from) {
        if (from.phase() == RolloutPhase.RUNNING) {
            return from;
        }
        List<String> remaining =
                from.steps().entrySet().stream()
                        .filter(step -> step.getValue().state() != StepState.RETURNED)
                        .map(Map.Entry::getKey)
                        .toList();
        if (remaining.isEmpty()) {
            return from.withPhase(RolloutPhase.ROLLED_BACK);
        }
        RolloutState next = from;
        for (String name : inOrder(from, remaining)) {
            RolloutStep step = next.steps().get(name);
            if (!step.state().isActive() && targets.containsKey(name) && mayMove(next, name)) {
                next = next.withStep(name, step.withState(StepState.RETURNING));
            }
        }
        return next;
    }

    /** Whether a target without an order under way is not known to have the value wanted. */
    private boolean needsChange(RolloutState from, String name) {
        RolloutStep step = from.steps().get(name);
        if (step != null && step.state().isActive()) {
            return false;
        }
        return step != null && step.state() == StepState.DOUBTFUL
                || !from.spec().goal().wanted().equals(currentValue(from, name));
    }

    private @Nullable String currentValue(RolloutState from, String name) {
        return from.spec().goal().currentValue(targets.get(name)).orElse(null);
    }

    /** Whether changing a serving target would leave too few serving, even if all others serve. */
    private boolean mustKeepServing(RolloutState from, String name) {
        return isServing(from, name) && from.spec().minServing(targets.size()) > targets.size() - 1;
    }

    private boolean mayMove(RolloutState from, String name) {
        if (busy.contains(name)
                || !targets.get(name).isUsable()
                || from.activeTargets().size() + busy.size() >= bounds.maxLoadsInFlight()) {
            return false;
        }
        return !isServing(from, name)
                || servingCount(from) - 1 >= from.spec().minServing(targets.size());
    }

    private long servingCount(RolloutState from) {
        return targets.keySet().stream().filter(name -> isServing(from, name)).count();
    }

    private boolean isServing(RolloutState from, String name) {
        return from.mayServe(name)
                && !busy.contains(name)
                && from.spec().goal().isServing(targets.get(name));
    }

    /** Sorts the targets, those that are not serving first. */
    private List<String> inOrder(RolloutState from, List<String> names) {
        return names.stream()
                .sorted(
                        Comparator.comparing(
                                        (String name) ->
                                                targets.containsKey(name) && isServing(from, name))
                                .thenComparing(Comparator.naturalOrder()))
                .toList();
    }
}
