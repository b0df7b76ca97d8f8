package org.sardinelift.core.catalog;

import java.util.Map;
import java.util.Optional;

/**
 * Immutable snapshot of the configuration that is in effect on this instance.
 *
 * @param revision store revision up to which it is complete, 0 if none was read yet
 * @param teams teams by name
 * @param keys keys by identifier
 * @param services services by name
 */
public record Catalog(
        long revision,
        Map<String, TeamPlan> teams,
        Map<String, KeyEntry> keys,
        Map<String, ServiceSpec> services) {

    /**
     * Creates a catalog for the time before any configuration was read.
     *
     * @return an empty catalog
     */
    public static Catalog empty() {
        return new Catalog(0, Map.of(), Map.of(), Map.of());
    }

    /**
     * Finds the service that serves a model.
     *
     * @param model model or adapter name
     * @return the service, or empty if none serves it
     */
    public Optional<ServiceSpec> serviceOfModel(String model) {
        return services.values().stream()
                .filter(service -> service.models().contains(model))
                .findFirst();
    }
}
