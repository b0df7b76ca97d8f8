package org.sardinelift.companion.target;

import java.util.List;
import java.util.Map;

/**
 * Models and role that a target reports.
 *
 * @param models names of the loaded models and adapters
 * @param versions versions by model name, only for models whose version is reported
 * @param role its role, empty if none is reported
 */
public record LoadedModels(List<String> models, Map<String, String> versions, String role) {

    /**
     * Creates the value for a target that reports no versions and no role.
     *
     * @param models names of the models
     * @return these models, without versions
     */
    public static LoadedModels ofNames(List<String> models) {
        return new LoadedModels(models, Map.of(), "");
    }

    /**
     * Copy without the models that must not be called now.
     *
     * @param hidden selects the models to leave out
     * @return the remaining models, with all versions
     */
    LoadedModels excluding(java.util.function.Predicate<String> hidden) {
        return new LoadedModels(models.stream().filter(hidden.negate()).toList(), versions, role);
    }
}
