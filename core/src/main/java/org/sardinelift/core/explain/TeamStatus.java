package org.sardinelift.core.explain;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Stream;
import org.jspecify.annotations.Nullable;
import org.sardinelift.core.catalog.TeamPlan;

/**
 * Traffic of a team at one entry, together with its limits over the fleet.
 *
 * @param team name of the team, empty for callers of open services
 * @param plan limits of the team, or null if it has none
 * @param traffic requests of the team at the entry
 * @param onlineCalls number of its online calls under way at the entry
 * @param batchItems number of its batch items under way at the entry
 */
public record TeamStatus(
        String team,
        @Nullable TeamPlan plan,
        TeamRequestCounter.Traffic traffic,
        long onlineCalls,
        long batchItems) {
    private static final TeamRequestCounter.Traffic IDLE = new TeamRequestCounter.Traffic(0, 0, 0);

    /**
     * Returns the status of the teams that have had requests or have calls under way at the entry.
     *
     * @param plans limits by team
     * @param traffic requests by team
     * @param online online calls under way by team
     * @param batch batch items under way by team
     * @return one status for each team, sorted by name
     */
    public static List<TeamStatus> ofActiveTeams(
            Map<String, TeamPlan> plans,
            Map<String, TeamRequestCounter.Traffic> traffic,
            Map<String, Long> online,
            Map<String, Long> batch) {
        Set<String> active = new TreeSet<>();
        Stream.of(traffic.keySet(), online.keySet(), batch.keySet()).forEach(active::addAll);
        return active.stream()
                .map(
                        team ->
                                new TeamStatus(
                                        team,
                                        plans.get(team),
                                        traffic.getOrDefault(team, IDLE),
                                        online.getOrDefault(team, 0L),
                                        batch.getOrDefault(team, 0L)))
                .toList();
    }
}
