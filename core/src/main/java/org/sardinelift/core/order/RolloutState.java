package org.sardinelift.core.order;

import java.util.Collections;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * All that is decided about one roll-out, held as one object of the platform and changed only by
 * conditional update. A target is named here before it gets its first order, so that whoever takes
 * over knows which targets may be changing and what they held before.
 *
 * @param spec what was wanted when it began
 * @param fence number of the lease under which this was written
 * @param phase phase
 * @param rollbackReason why it goes or went back, empty otherwise
 * @param trouble what keeps it from going on, empty for nothing
 * @param steps targets by the name of their companion
 */
public record RolloutState(
        RolloutSpec spec,
        long fence,
        RolloutPhase phase,
        String rollbackReason,
        String problem,
        SortedMap<String, RolloutStep> steps) {
    private static final int LONGEST_TEXT = 500;

    /** Copies the map and bounds the texts. */
    public RolloutState {
        steps = Collections.unmodifiableSortedMap(new TreeMap<>(steps));
        rollbackReason = bounded(rollbackReason);
        problem = bounded(problem);
    }

    /**
     * A roll-out that has changed nothing.
     *
     * @param spec what is wanted
     * @param fence number of the lease
     * @return the first state
     */
    public static RolloutState initial(RolloutSpec spec, long fence) {
        return new RolloutState(spec, fence, RolloutPhase.RUNNING, "", "", new TreeMap<>());
    }

    /**
     * Targets for which an order may be under way.
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
     * Whether a target may be counted on to serve where its report says so.
     *
     * @param target name of its companion
     * @return false while its step is open
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

    RolloutState problem(String text) {
        return new RolloutState(spec, fence, phase, rollbackReason, text, steps);
    }

    RolloutState withPhase(RolloutPhase last) {
        return new RolloutState(spec, fence, last, rollbackReason, problem, steps);
    }

    /** Goes back from here; what was ordered and not confirmed is in doubt. */
    RolloutState rollBack(String why) {
        SortedMap<String, RolloutStep> next = new TreeMap<>(steps);
        next.replaceAll(
                (target, step) ->
                        step.state() == StepState.ORDERED
                                ? step.withState(StepState.DOUBTFUL)
                                : step);
        return new RolloutState(spec, fence, RolloutPhase.ROLLING_BACK, why, problem, next);
    }

    private static String bounded(String text) {
        return text.length() <= LONGEST_TEXT ? text : text.substring(0, LONGEST_TEXT);
    }
}
