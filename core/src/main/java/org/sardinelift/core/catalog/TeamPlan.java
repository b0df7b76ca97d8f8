package org.sardinelift.core.catalog;

import java.util.Set;

/**
 * Effective limits, permissions and weights of a team: the values of its template, overridden by
 * the team's own.
 *
 * @param name team name
 * @param ratePerSecond online requests a second over the whole fleet
 * @param burst burst of online requests over the whole fleet
 * @param models models that the team may use
 * @param services plain services that the team may use
 * @param onlineWeight weight of the team's online work, relative to other teams
 * @param batchWeight weight of the team's batch work, relative to other teams
 */
public record TeamPlan(
        String name,
        double ratePerSecond,
        double burst,
        Set<String> models,
        Set<String> services,
        int onlineWeight,
        int batchWeight) {}
