package org.sardinelift.core.evacuation;

import java.util.Set;

/**
 * The evacuated availability zones at one revision of the store.
 *
 * @param zones names of the zones
 * @param revision revision of the store at which they were listed
 * @param listedAt when the list was requested, nanoseconds of this process
 */
public record EvacuationList(Set<String> zones, long revision, long listedAt) {

    /** Copies the zones. */
    public EvacuationList {
        zones = Set.copyOf(zones);
    }
}
