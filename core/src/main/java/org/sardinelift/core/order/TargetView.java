package org.sardinelift.core.order;

import java.util.Map;
import java.util.Set;

/**
 * A target as its last report shows it.
 *
 * @param name name of the companion beside it
 * @param service service that it is a replica of
 * @param isUsable whether it is connected, healthy and not leaving
 * @param models models that it takes calls for now
 * @param versions version of each model that it tells of, also while an order runs
 * @param role its role, empty where it tells none
 */
public record TargetView(
        String name,
        String service,
        boolean isUsable,
        Set<String> models,
        Map<String, String> versions,
        String role) {}
