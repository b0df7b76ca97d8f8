package org.sardinelift.core.order;

import java.util.Map;
import java.util.Set;

/**
 * A target according to its last report.
 *
 * @param name name of its companion
 * @param service service that it is a replica of
 * @param isUsable whether it is connected, healthy and not leaving
 * @param models models that it serves now
 * @param versions version of each model that it reports, even while an order runs
 * @param role its role, empty if it reports none
 */
public record TargetView(
        String name,
        String service,
        boolean isUsable,
        Set<String> models,
        Map<String, String> versions,
        String role) {}
