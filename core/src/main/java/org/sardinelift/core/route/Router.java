package org.sardinelift.core.route;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Chooses the target of a call: same availability zone first, then the less loaded of the first two
 * targets in the call's rendezvous order whose load is within a bound of the mean.
 */
public final class Router {
    /** Calls by which the favourite may be ahead of the next target and still be chosen. */
    private static final int AFFINITY_MARGIN = 2;

    private final String zone;
    private final String instance;
    private final double loadBound;
    private final double spillPressure;
    private final int subsetSize;

    private Router(
            String zone, String instance, double loadBound, double spillPressure, int subsetSize) {
        this.zone = zone;
        this.instance = instance;
        this.loadBound = loadBound;
        this.spillPressure = spillPressure;
        this.subsetSize = subsetSize;
    }

    /**
     * Makes a router.
     *
     * @param zone availability zone of this entry
     * @param instance name of this entry; picks its stable subset
     * @param loadBound load above which affinity gives way, as a multiple of the mean load
     * @param spillPressure load for each slot above which calls leave the zone
     * @param subsetSize targets of one service that this entry uses at most in each zone
     * @return the router
     */
    public static Router of(
            String zone, String instance, double loadBound, double spillPressure, int subsetSize) {
        return new Router(zone, instance, loadBound, spillPressure, subsetSize);
    }

    /**
     * Chooses a target.
     *
     * @param candidates all targets as they are now
     * @param request the call
     * @return the target, or empty where none can take the call
     */
    public Optional<Candidate> choose(List<Candidate> candidates, RouteRequest request) {
        List<Candidate> able =
                candidates.stream()
                        .filter(Candidate::isUsable)
                        .filter(target -> target.service().equals(request.service()))
                        .filter(target -> target.canServe(request.model()))
                        .filter(target -> target.admission() != Ejection.Admission.OUT)
                        .toList();
        List<Candidate> fresh =
                only(able, target -> !request.failedTargets().contains(target.name()));
        List<Candidate> pool = fresh.isEmpty() ? able : fresh;
        if (request.isPinned()) {
            return order(pool, request).stream().findFirst();
        }
        Optional<Candidate> probe =
                order(pool, request).stream()
                        .filter(target -> target.admission() == Ejection.Admission.PROBE)
                        .filter(target -> request.failedTargets().isEmpty())
                        .findFirst();
        if (probe.isPresent()) {
            return probe;
        }
        List<Candidate> in = only(pool, target -> target.admission() == Ejection.Admission.IN);
        return in.isEmpty() ? order(pool, request).stream().findFirst() : chooseIn(in, request);
    }

    private Optional<Candidate> chooseIn(List<Candidate> pool, RouteRequest request) {
        List<Candidate> local = subset(only(pool, target -> target.zone().equals(zone)));
        if (!local.isEmpty() && meanPressure(local) < spillPressure) {
            return bounded(local, request);
        }
        List<Candidate> remote = subset(only(pool, target -> !target.zone().equals(zone)));
        if (local.isEmpty() || remote.isEmpty()) {
            return bounded(local.isEmpty() ? remote : local, request);
        }
        return meanPressure(remote) < meanPressure(local)
                ? bounded(remote, request)
                : bounded(local, request);
    }

    private Optional<Candidate> bounded(List<Candidate> pool, RouteRequest request) {
        double mean = pool.stream().mapToInt(Candidate::load).average().orElse(0);
        double bound = Math.max(1, Math.ceil(loadBound * (mean + 1.0 / pool.size())));
        List<Candidate> within = only(pool, target -> target.load() < bound);
        List<Candidate> first =
                order(within.isEmpty() ? pool : within, request).stream().limit(2).toList();
        return first.stream()
                .reduce((one, two) -> two.load() + AFFINITY_MARGIN < one.load() ? two : one);
    }

    private List<Candidate> subset(List<Candidate> pool) {
        return pool.size() <= subsetSize
                ? pool
                : sorted(pool, instance).stream().limit(subsetSize).toList();
    }

    private static List<Candidate> order(List<Candidate> pool, RouteRequest request) {
        return sorted(pool, request.affinityKey());
    }

    private static List<Candidate> sorted(List<Candidate> pool, String key) {
        return pool.stream()
                .sorted(
                        Comparator.<Candidate>comparingLong(
                                        target -> Rendezvous.weight(key, target.name()))
                                .reversed()
                                .thenComparing(Candidate::name))
                .toList();
    }

    private static double meanPressure(List<Candidate> pool) {
        return pool.stream()
                .mapToDouble(Candidate::slotUtilization)
                .average()
                .orElse(Double.MAX_VALUE);
    }

    private static List<Candidate> only(List<Candidate> pool, Predicate<Candidate> test) {
        return pool.stream().filter(test).toList();
    }
}
