package org.sardinelift.core.fleet;

import java.util.List;

/**
 * The instances that this instance considers to be members of the fleet. Immutable.
 *
 * @param entries entries, this one included, by name
 * @param companions companions, by name
 */
public record FleetView(List<InstanceInfo> entries, List<InstanceInfo> companions) {

    /**
     * Creates the view before the platform's list was read.
     *
     * @return an empty view
     */
    public static FleetView empty() {
        return new FleetView(List.of(), List.of());
    }
}
