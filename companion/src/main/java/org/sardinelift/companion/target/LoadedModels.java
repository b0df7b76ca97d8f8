package org.sardinelift.companion.target;

import java.util.List;
import java.util.Map;

/**
 * What a target says of itself.
 *
 * @param models names of the models and adapters loaded
 * @param versions version of each model, for those that the target tells
 * @param role its role, empty where it tells none
 */
public record LoadedModels(List<String> models, Map<String, String> versions, String role) {

    /**
     * What is known of a target that does not tell.
     *
     * @param models names of the settings
     * @return these models, without versions
     */
    public static LoadedModels ofNames(List<String> models) {
        return new LoadedModels(models, Map.of(), "");
    }

    /**
     * The same without models that are not to be called now.
     *
     * @param hidden whether a model is left out
     * @return the rest, all versions kept
     */
    LoadedModels excluding(java.util.function.Predicate<String> hidden) {
        return new LoadedModels(models.stream().filter(hidden.negate()).toList(), versions, role);
    }
}
