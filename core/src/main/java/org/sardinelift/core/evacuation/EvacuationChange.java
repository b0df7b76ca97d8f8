package org.sardinelift.core.evacuation;

/**
 * The start or the end of the evacuation of a zone, as an instance learned of it.
 *
 * @param zone name of the zone
 * @param isEvacuated whether the evacuation has started, else it has ended
 * @param revision revision of the list that shows it
 * @param source where the list comes from
 * @param ageNanos age of the list
 */
public record EvacuationChange(
        String zone, boolean isEvacuated, long revision, String source, long ageNanos) {}
