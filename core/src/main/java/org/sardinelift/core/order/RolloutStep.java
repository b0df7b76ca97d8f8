package org.sardinelift.core.order;

/**
 * State of one target in a roll-out.
 *
 * @param previousValue version or role before the roll-out, empty for none
 * @param state state of the target
 */
public record RolloutStep(String previousValue, StepState state) {

    /**
     * Returns the step with another state.
     *
     * @param next the state
     * @return the step
     */
    public RolloutStep withState(StepState next) {
        return new RolloutStep(previousValue, next);
    }
}
