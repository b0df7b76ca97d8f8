package org.sardinelift.core.order;

import java.util.Collections;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * State of one roll-out, stored as one object of the platform and changed only by conditional
 * update. A target is added here before it gets its first order, so that an entry that takes over
 * knows which targets may be changing and what their previous values are.
 *
 * @param spec the roll-out as it was requested at its start
 * @param fence fence of the lease under which this was written
 * @param phase phase of the roll-out
 * @param rollbackReason why it is or was rolled back, empty otherwise
 * @param problem what keeps it from making progress, empty if nothing
 * @param steps targets by the name of their companion
 */
public record RolloutState(
        RolloutSpec spec,
        long fence,
        RolloutPhase phase,
        String rollbackReason,
        String problem,
        SortedMap<String, RolloutStep> steps) {
    private static final int MAX_TEXT_CHARS = 500;

    /** Copies the map and truncates the texts. */
    public RolloutState {
        steps = Collections.unmodifiableSortedMap(new TreeMap<>(steps));
        rollbackReason = truncated(rollbackReason);
        problem = truncated(problem);
    }

    /**
     * Creates the state of a roll-out that has changed no target.
     *
     * @param spec the roll-out wanted
     * @param fence fence of the lease
     * @return the initial state
     */
    public static RolloutState initial(RolloutSpec spec, long fence) {
        return new RolloutState(spec, fence, RolloutPhase.RUNNING, "", "", new TreeMap<>());
    }

    /**
     * Returns the targets for which an order may be under way.
     *
     * @return names of their companions
     */
    public Set<String> activeTargets() {
        return steps.entrySet().stream()
                .filter(step -> step.getValue().state().isActive())
                .map(java.util.Map.Entry::getKey)
                .collect(Collectors.toSet());
    }

    /**
     * Whether a target that reports to serve can be relied on to do so.
     *
     * @param target name of its companion
     * @return false while its value is unknown or changing
     */
    public boolean mayServe(String target) {
        RolloutStep step = steps.get(target);
        return step == null || step.state().mayServe();
    }

    RolloutState withFence(long newFence) {
        return new RolloutState(spec, newFence, phase, rollbackReason, problem, steps);
    }

    RolloutState withStep(String target, RolloutStep step) {
        SortedMap<String, RolloutStep> next = new TreeMap<>(steps);
        next.put(target, step);
        return new RolloutState(spec, fence, phase, rollbackReason, problem, next);
    }

    RolloutState withoutTarget(String target) {
        SortedMap<String, RolloutStep> next = new TreeMap<>(steps);
        next.remove(target);
        return new RolloutState(spec, fence, phase, rollbackReason, problem, next);
    }

    RolloutState withProblem(String text) {
        return new RolloutState(spec, fence, phase, rollbackReason, text, steps);
    }

    RolloutState withPhase(RolloutPhase last) {
        return new RolloutState(spec, fence, last, rollbackReason, problem, steps);
    }

    /** Starts the rollback; targets with an order not confirmed become doubtful. */
    RolloutState rollBack(String reason) {
        SortedMap<String, RolloutStep> next = new TreeMap<>(steps);
        next.replaceAll(
                (target, step) ->
                        step.state() == StepState.ORDERED
                                ? step.withState(StepState.DOUBTFUL)
                                : step);
        return new RolloutState(spec, fence, RolloutPhase.ROLLING_BACK, reason, problem, next);
    }

    private static String truncated(String text) {
        return text.length() <= MAX_TEXT_CHARS ? text : text.substring(0, MAX_TEXT_CHARS);
    }
}
