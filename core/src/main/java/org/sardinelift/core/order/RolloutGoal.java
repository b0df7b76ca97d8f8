package org.sardinelift.core.order;

import java.util.Optional;

/**
 * Goal of a roll-out: the model version or the role that every target of a service is to have.
 *
 * @param action {@link OrderAction#LOAD} or {@link OrderAction#ROLE}
 * @param model model or adapter, empty for a role
 * @param wanted version of the model, or the role, that is wanted
 */
public record RolloutGoal(OrderAction action, String model, String wanted) {

    /**
     * Creates the goal of a version of a model.
     *
     * @param model model or adapter
     * @param version version wanted
     * @return the goal
     */
    public static RolloutGoal version(String model, String version) {
        return new RolloutGoal(OrderAction.LOAD, model, version);
    }

    /**
     * Creates the goal of a role.
     *
     * @param role role wanted
     * @return the goal
     */
    public static RolloutGoal role(String role) {
        return new RolloutGoal(OrderAction.ROLE, "", role);
    }

    /**
     * Returns the value that a target has now.
     *
     * @param target the target
     * @return version or role, an empty text if the model is not loaded, empty if the target does
     *     not report it
     */
    public Optional<String> currentValue(TargetView target) {
        if (action == OrderAction.ROLE) {
            return target.role().isEmpty() ? Optional.empty() : Optional.of(target.role());
        }
        return Optional.ofNullable(target.versions().get(model))
                .or(() -> target.models().contains(model) ? Optional.empty() : Optional.of(""));
    }

    /**
     * Whether a target serves the calls that this goal concerns.
     *
     * @param target the target
     * @return true if new calls may be sent to it
     */
    public boolean isServing(TargetView target) {
        return target.isUsable()
                && (action == OrderAction.ROLE
                        ? !target.models().isEmpty()
                        : target.models().contains(model));
    }

    /**
     * Creates the order that gives a target a value.
     *
     * @param target name of the companion
     * @param value version or role; empty to unload the model
     * @return the order
     */
    public TargetOrder orderFor(String target, String value) {
        if (action == OrderAction.ROLE) {
            return new TargetOrder(target, action, value, "");
        }
        return value.isEmpty()
                ? new TargetOrder(target, OrderAction.UNLOAD, model, "")
                : new TargetOrder(target, action, model, value);
    }
}
