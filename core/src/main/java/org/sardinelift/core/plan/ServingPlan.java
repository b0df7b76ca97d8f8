package org.sardinelift.core.plan;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Function;
import java.util.stream.Collectors;

/** One version of the configuration that a gateway applies to its calls. Immutable. */
public final class ServingPlan {
    private final long version;
    private final Map<String, List<RoutePlan>> routesByHost;
    private final Map<String, RateLimit> rateLimits;
    private final Map<String, String> teamByKey;
    private final RequestLimits requestLimits;
    private final Map<String, ServicePlan> services;

    private ServingPlan(
            long version,
            Map<String, List<RoutePlan>> routesByHost,
            Map<String, RateLimit> teams,
            Map<String, String> teamByKey,
            RequestLimits requestLimits,
            Map<String, ServicePlan> services) {
        this.version = version;
        this.routesByHost = routesByHost;
        this.rateLimits = teams;
        this.teamByKey = teamByKey;
        this.requestLimits = requestLimits;
        this.services = services;
    }

    /**
     * Creates a plan.
     *
     * @param version version of the configuration, which grows with each change
     * @param routes all routes
     * @param teams rate limits of all teams
     * @param teamByKey names of the teams by their keys
     * @param requestLimits limits on the requests of callers
     * @return the plan
     */
    public static ServingPlan of(
            long version,
            List<RoutePlan> routes,
            List<RateLimit> teams,
            Map<String, String> teamByKey,
            RequestLimits requestLimits) {
        Map<String, List<RoutePlan>> byHost =
                routes.stream()
                        .sorted(
                                Comparator.comparingInt(
                                        (RoutePlan route) -> -route.pathPrefix().length()))
                        .collect(Collectors.groupingBy(RoutePlan::host));
        Map<String, RateLimit> byName = new HashMap<>();
        teams.forEach(team -> byName.put(team.name(), team));
        return new ServingPlan(
                version, byHost, byName, Map.copyOf(teamByKey), requestLimits, Map.of());
    }

    /**
     * Returns the plan with what it says of the targets of services.
     *
     * @param plans plans of the services
     * @return a copy with these plans
     */
    public ServingPlan withServices(List<ServicePlan> plans) {
        Map<String, ServicePlan> byName =
                plans.stream()
                        .collect(
                                Collectors.toMap(
                                        ServicePlan::name,
                                        Function.identity(),
                                        (first, second) -> second));
        return new ServingPlan(version, routesByHost, rateLimits, teamByKey, requestLimits, byName);
    }

    /**
     * Returns the plan without the memory of targets, where calls are not bounded by it.
     *
     * @return a copy without it
     */
    public ServingPlan withoutMemoryLimits() {
        return withServices(
                services.values().stream()
                        .map(
                                service ->
                                        new ServicePlan(
                                                service.name(),
                                                service.coldRequestsPerSecond(),
                                                service.coldTime(),
                                                OptionalLong.empty()))
                        .toList());
    }

    /**
     * Returns what the configuration says of the targets of a service.
     *
     * @param name name of the service
     * @return its plan, or empty if there is none
     */
    public Optional<ServicePlan> service(String name) {
        return Optional.ofNullable(services.get(name));
    }

    /**
     * Returns whether the memory of the targets of any service is limited.
     *
     * @return true if one of the plans says so
     */
    public boolean hasMemoryLimits() {
        return services.values().stream().anyMatch(each -> each.memoryTokens().isPresent());
    }

    /**
     * Returns the version of the configuration.
     *
     * @return a number that grows with each change
     */
    public long version() {
        return version;
    }

    /**
     * Returns the route of a call: the one of its host with the longest matching path prefix.
     *
     * @param host host in the request, with or without a port
     * @param path path without a query
     * @return the route, or empty if none matches
     */
    public Optional<RoutePlan> route(String host, String path) {
        return routesByHost.getOrDefault(hostName(host), List.of()).stream()
                .filter(route -> path.startsWith(route.pathPrefix()))
                .findFirst();
    }

    /**
     * Returns the routes of a host.
     *
     * @param host host in the request, with or without a port
     * @return its routes, longest prefix first
     */
    public List<RoutePlan> routes(String host) {
        return routesByHost.getOrDefault(hostName(host), List.of());
    }

    /**
     * Returns the longest time that a route allows for an online call.
     *
     * @return the time, zero if there is no such route
     */
    public Duration longestTimeout() {
        return routesByHost.values().stream()
                .flatMap(List::stream)
                .filter(route -> route.kind() != CallKind.BATCH)
                .map(RoutePlan::timeout)
                .max(Comparator.naturalOrder())
                .orElse(Duration.ZERO);
    }

    private static String hostName(String host) {
        int port = host.indexOf(':');
        return (port < 0 ? host : host.substring(0, port)).toLowerCase(Locale.ROOT);
    }

    /**
     * Returns the team that a key belongs to.
     *
     * @param key the key as the caller sent it
     * @return name of the team, or empty if the key is unknown
     */
    public Optional<String> teamOfKey(String key) {
        return Optional.ofNullable(teamByKey.get(key));
    }

    /**
     * Returns the rate limit of a team.
     *
     * @param name name of the team
     * @return its limit, or empty if there is no such team
     */
    public Optional<RateLimit> rateLimit(String name) {
        return Optional.ofNullable(rateLimits.get(name));
    }

    /**
     * Returns the rate limits of all teams.
     *
     * @return limits by name of the team
     */
    public Map<String, RateLimit> rateLimits() {
        return rateLimits;
    }

    /**
     * Returns the limits on the requests of callers.
     *
     * @return the limits
     */
    public RequestLimits requestLimits() {
        return requestLimits;
    }
}
