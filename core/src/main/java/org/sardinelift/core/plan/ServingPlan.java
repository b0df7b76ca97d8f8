package org.sardinelift.core.plan;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

/** One version of the configuration that a gateway serves by; immutable. */
public final class ServingPlan {
    private final long version;
    private final Map<String, List<RoutePlan>> routesByHost;
    private final Map<String, TeamRateLimit> rateLimits;
    private final Map<String, String> teamByKey;
    private final RequestLimits requestLimits;

    private ServingPlan(
            long version,
            Map<String, List<RoutePlan>> routesByHost,
            Map<String, TeamRateLimit> teams,
            Map<String, String> teamByKey,
            RequestLimits bounds) {
        this.version = version;
        this.routesByHost = routesByHost;
        this.rateLimits = teams;
        this.teamByKey = teamByKey;
        this.requestLimits = bounds;
    }

    /**
     * Makes a plan.
     *
     * @param version grows with each change of the configuration
     * @param routes all routes
     * @param teams all teams
     * @param teamByKey name of the team that holds a key
     * @param bounds what callers may send
     * @return the plan
     */
    public static ServingPlan of(
            long version,
            List<RoutePlan> routes,
            List<TeamRateLimit> teams,
            Map<String, String> teamByKey,
            RequestLimits bounds) {
        Map<String, List<RoutePlan>> byHost =
                routes.stream()
                        .sorted(
                                Comparator.comparingInt(
                                        (RoutePlan route) -> -route.pathPrefix().length()))
                        .collect(Collectors.groupingBy(RoutePlan::host));
        Map<String, TeamRateLimit> byName = new HashMap<>();
        teams.forEach(team -> byName.put(team.name(), team));
        return new ServingPlan(version, byHost, byName, Map.copyOf(teamByKey), bounds);
    }

    /**
     * Version of the configuration.
     *
     * @return a number that grows with each change
     */
    public long version() {
        return version;
    }

    /**
     * The route of a call: of those of its host, the one with the longest prefix of the path.
     *
     * @param host the host that the caller names, with or without a port
     * @param path the path, without a query
     * @return the route, or empty
     */
    public Optional<RoutePlan> route(String host, String path) {
        return routesByHost.getOrDefault(hostName(host), List.of()).stream()
                .filter(route -> path.startsWith(route.pathPrefix()))
                .findFirst();
    }

    /**
     * The routes of a host.
     *
     * @param host the host that the caller names, with or without a port
     * @return its routes, longest prefix first
     */
    public List<RoutePlan> routes(String host) {
        return routesByHost.getOrDefault(hostName(host), List.of());
    }

    private static String hostName(String host) {
        int port = host.indexOf(':');
        return (port < 0 ? host : host.substring(0, port)).toLowerCase(Locale.ROOT);
    }

    /**
     * The team that holds a key.
     *
     * @param key the key as the caller sent it
     * @return the team's name, or empty where nobody holds it
     */
    public Optional<String> teamOfKey(String key) {
        return Optional.ofNullable(teamByKey.get(key));
    }

    /**
     * What a team may send.
     *
     * @param name name of the team
     * @return its allowance, or empty where there is no such team
     */
    public Optional<TeamRateLimit> rateLimit(String name) {
        return Optional.ofNullable(rateLimits.get(name));
    }

    /**
     * All teams.
     *
     * @return teams by name
     */
    public Map<String, TeamRateLimit> rateLimits() {
        return rateLimits;
    }

    /**
     * What callers may send.
     *
     * @return the bounds
     */
    public RequestLimits requestLimits() {
        return requestLimits;
    }
}
