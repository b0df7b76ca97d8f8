package org.sardinelift.core.order;

import java.util.Optional;

/**
 * What every target of a service is to hold.
 *
 * @param action {@link OrderAction#LOAD} or {@link OrderAction#ROLE}
 * @param model model or adapter, empty for a role
 * @param wanted version of the model, or the role
 */
public record RolloutGoal(OrderAction action, String model, String wanted) {

    /**
     * A version of a model.
     *
     * @param model model or adapter
     * @param version version wanted
     * @return the goal
     */
    public static RolloutGoal version(String model, String version) {
        return new RolloutGoal(OrderAction.LOAD, model, version);
    }

    /**
     * A role.
     *
     * @param role role wanted
     * @return the goal
     */
    public static RolloutGoal role(String role) {
        return new RolloutGoal(OrderAction.ROLE, "", role);
    }

    /**
     * What a target holds of what this goal is about.
     *
     * @param target the target
     * @return version or role, an empty text where the model is not loaded, nothing where the
     *     target does not tell
     */
    public Optional<String> currentValue(TargetView target) {
        if (action == OrderAction.ROLE) {
            return target.role().isEmpty() ? Optional.empty() : Optional.of(target.role());
        }
        return Optional.ofNullable(target.versions().get(model))
                .or(() -> target.models().contains(model) ? Optional.empty() : Optional.of(""));
    }

    /**
     * Whether a target takes the calls that this goal is about.
     *
     * @param target the target
     * @return true where new calls may go there
     */
    public boolean isServing(TargetView target) {
        return target.isUsable()
                && (action == OrderAction.ROLE
                        ? !target.models().isEmpty()
                        : target.models().contains(model));
    }

    /**
     * The order that makes a target hold a value.
     *
     * @param target name of the companion
     * @param value version or role; empty for no version at all
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
