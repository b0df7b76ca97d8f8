package org.sardinelift.core.admission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;

/**
 * Demand that the other gateways reported for a service, and the level of shares that follows.
 * Times are nanoseconds of a monotonic clock. Not thread-safe.
 */
final class FleetDemand {
    private final long expiryNanos;
    private final Map<String, Report> reports = new HashMap<>();
    private Map<String, Double> namedSlots = Map.of();
    private double unnamedSlots;
    private double level = Double.POSITIVE_INFINITY;
    private long oldestReportAt;

    private record Report(ReportedDemand demand, long at) {}

    FleetDemand(Duration expiry) {
        this.expiryNanos = expiry.toNanos();
    }

    void onReport(String gateway, ReportedDemand demand, long now) {
        reports.put(gateway, new Report(demand, now));
    }

    void onPeerRemoved(String gateway) {
        reports.remove(gateway);
    }

    void clear() {
        reports.clear();
        namedSlots = Map.of();
        unnamedSlots = 0;
        level = Double.POSITIVE_INFINITY;
    }

    /** Gateways whose report is used. */
    int reporters() {
        return reports.size();
    }

    /** Slots per unit of weight, infinite if all demands fit. */
    double level() {
        return level;
    }

    /** Demand for a team at the other gateways. */
    double slotsElsewhere(String team) {
        return unnamedSlots + namedSlots.getOrDefault(team, 0.0);
    }

    Duration age(long now) {
        return Duration.ofNanos(reports.isEmpty() ? 0 : now - oldestReportAt);
    }

    /** Removes expired reports and sums up the others. */
    void sumUp(long now) {
        reports.values().removeIf(report -> now - report.at() >= expiryNanos);
        oldestReportAt = reports.values().stream().mapToLong(Report::at).min().orElse(now);
        // What cut reports leave out is estimated by its mean; a team that is named gets the rest.
        unnamedSlots =
                reports.values().stream().mapToDouble(each -> each.demand().meanOfUnnamed()).sum();
        Map<String, Double> sums = new HashMap<>();
        reports.values()
                .forEach(
                        report -> {
                            double mean = report.demand().meanOfUnnamed();
                            report.demand()
                                    .slotsByTeam()
                                    .forEach(
                                            (team, slots) ->
                                                    sums.merge(team, slots - mean, Double::sum));
                        });
        namedSlots = sums;
    }

    /** Computes the level from the reports, that of this gateway included. */
    void updateLevel(ReportedDemand own, ToDoubleFunction<String> weights, double capacity) {
        List<ReportedDemand> all = new ArrayList<>();
        all.add(own);
        reports.values().forEach(report -> all.add(report.demand()));
        Map<String, Double> named = new HashMap<>();
        all.forEach(
                each ->
                        each.slotsByTeam()
                                .forEach((team, slots) -> named.merge(team, slots, Double::sum)));
        List<MaxMinShare.Demand> demands = new ArrayList<>();
        named.forEach(
                (team, slots) ->
                        demands.add(new MaxMinShare.Demand(slots, weights.applyAsDouble(team))));
        List<ReportedDemand> cut = all.stream().filter(ReportedDemand::isCut).toList();
        // Teams that a cut report doesn't name are mostly the same at all gateways.
        int cutTeams = cut.stream().mapToInt(ReportedDemand::otherTeams).max().orElse(0);
        if (cutTeams > 0) {
            demands.add(new MaxMinShare.Demand(otherSlots(cut), cutTeams));
        }
        // Other reports leave out only teams well below their share, which get all they demand.
        List<ReportedDemand> whole = all.stream().filter(each -> !each.isCut()).toList();
        level = MaxMinShare.level(demands, capacity - otherSlots(whole));
    }

    private static double otherSlots(Collection<ReportedDemand> demands) {
        return demands.stream().mapToDouble(ReportedDemand::otherSlots).sum();
    }
}
