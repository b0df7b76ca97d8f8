package org.sardinelift.core.order;

/**
 * One target of a roll-out.
 *
 * @param previousValue what it held before, empty for none
 * @param state how far it is
 */
public record RolloutStep(String previousValue, StepState state) {

    /**
     * The same target in another state.
     *
     * @param next the state
     * @return the step
     */
    public RolloutStep withState(StepState next) {
        return new RolloutStep(previousValue, next);
    }
}
