package org.sardinelift.core.catalog;

import java.util.Set;

/**
 * Default values for the teams that name this template.
 *
 * @param name template name
 * @param ratePerSecond online requests a second over the whole fleet
 * @param burst burst of online requests over the whole fleet
 * @param models models that a team may use
 * @param services plain services that a team may use
 * @param onlineWeight weight of a team's online work, relative to other teams
 * @param batchWeight weight of a team's batch work, relative to other teams
 */
public record TeamTemplate(
        String name,
        double ratePerSecond,
        double burst,
        Set<String> models,
        Set<String> services,
        int onlineWeight,
        int batchWeight)
        implements ConfigItem {}
