package org.sardinelift.core.order;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/** Picks the targets whose turn it is, so that enough others go on serving. */
final class RolloutStepPlanner {
    private final Map<String, TargetView> targets;
    private final Set<String> busy;
    private final OrderBounds bounds;

    /** Takes the service's targets and those that another roll-out has under order. */
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
        List<String> open = targets.keySet().stream().filter(name -> open(from, name)).toList();
        if (open.isEmpty()) {
            return from.activeTargets().isEmpty() ? from.withPhase(RolloutPhase.COMPLETED) : from;
        }
        if (from.steps().isEmpty() && open.stream().allMatch(name -> pinned(from, name))) {
            return rollBack(
                    from.rollBack(
                            "leastServing %s of %d targets leaves none to move; set it lower"
                                    .formatted(from.spec().minServingFraction(), targets.size())));
        }
        RolloutState next = from;
        for (String name : inTurn(from, open)) {
            if (mayMove(next, name) && held(next, name) != null) {
                RolloutStep known = next.steps().get(name);
                String previous = known == null ? held(next, name) : known.previousValue();
                next = next.withStep(name, new RolloutStep(previous, StepState.ORDERED));
            }
        }
        return next;
    }

    RolloutState rollBack(RolloutState from) {
        if (from.phase() == RolloutPhase.RUNNING) {
            return from;
        }
        List<String> open =
                from.steps().entrySet().stream()
                        .filter(step -> step.getValue().state() != StepState.RETURNED)
                        .map(Map.Entry::getKey)
                        .toList();
        if (open.isEmpty()) {
            return from.withPhase(RolloutPhase.ROLLED_BACK);
        }
        RolloutState next = from;
        for (String name : inTurn(from, open)) {
            RolloutStep step = next.steps().get(name);
            if (!step.state().isActive() && targets.containsKey(name) && mayMove(next, name)) {
                next = next.withStep(name, step.withState(StepState.RETURNING));
            }
        }
        return next;
    }

    /** Whether a target is not known to hold what is wanted. */
    private boolean open(RolloutState from, String name) {
        RolloutStep step = from.steps().get(name);
        if (step != null && step.state().isActive()) {
            return false;
        }
        return step != null && step.state() == StepState.DOUBTFUL
                || !from.spec().goal().wanted().equals(held(from, name));
    }

    private @Nullable String held(RolloutState from, String name) {
        return from.spec().goal().currentValue(targets.get(name)).orElse(null);
    }

    /** Whether taking a serving target off would leave too few even where all serve. */
    private boolean pinned(RolloutState from, String name) {
        return serves(from, name) && from.spec().minServing(targets.size()) > targets.size() - 1;
    }

    private boolean mayMove(RolloutState from, String name) {
        if (busy.contains(name)
                || !targets.get(name).isUsable()
                || from.activeTargets().size() + busy.size() >= bounds.maxLoadsInFlight()) {
            return false;
        }
        return !serves(from, name) || serving(from) - 1 >= from.spec().minServing(targets.size());
    }

    private long serving(RolloutState from) {
        return targets.keySet().stream().filter(name -> serves(from, name)).count();
    }

    private boolean serves(RolloutState from, String name) {
        return from.mayServe(name)
                && !busy.contains(name)
                && from.spec().goal().isServing(targets.get(name));
    }

    /** Targets that serve nobody come first. */
    private List<String> inTurn(RolloutState from, List<String> names) {
        return names.stream()
                .sorted(
                        Comparator.comparing(
                                        (String name) ->
                                                targets.containsKey(name) && serves(from, name))
                                .thenComparing(Comparator.naturalOrder()))
                .toList();
    }
}
