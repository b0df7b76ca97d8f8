package org.sardinelift.core.route;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Chooses the target of a call: targets in the same availability zone first, and of these the less
 * loaded of the first two in the call's rendezvous order whose load is within a bound of the mean.
 */
public final class Router {
    /**
     * Calls that the first target may have more than the second and still be chosen, which keeps
     * calls of one affinity key together.
     */
    private static final int MAX_EXTRA_CALLS = 2;

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
     * Creates a router.
     *
     * @param zone availability zone of this entry
     * @param instance name of this entry, which determines its stable subset of targets
     * @param loadBound load from which a target is passed over despite affinity, as a multiple of
     *     the mean load
     * @param spillPressure mean load per slot from which calls may leave the zone
     * @param subsetSize maximum number of targets of one service that this entry uses in each zone
     * @return the router
     */
    public static Router of(
            String zone, String instance, double loadBound, double spillPressure, int subsetSize) {
        return new Router(zone, instance, loadBound, spillPressure, subsetSize);
    }

    /**
     * Chooses a target.
     *
     * @param candidates all targets in their current state
     * @param request the call
     * @return the target, or empty if none can run the call
     */
    public Optional<Candidate> choose(List<Candidate> candidates, RouteRequest request) {
        List<Candidate> eligible =
                candidates.stream()
                        .filter(Candidate::isUsable)
                        .filter(target -> target.service().equals(request.service()))
                        .filter(target -> target.canServe(request.model()))
                        .filter(target -> target.admission() != Ejection.Admission.OUT)
                        .toList();
        List<Candidate> untried =
                matching(eligible, target -> !request.failedTargets().contains(target.name()));
        List<Candidate> pool = untried.isEmpty() ? eligible : untried;
        if (request.isPinned()) {
            return ranked(pool, request).stream().findFirst();
        }
        Optional<Candidate> probe =
                ranked(pool, request).stream()
                        .filter(target -> target.admission() == Ejection.Admission.PROBE)
                        .filter(target -> request.failedTargets().isEmpty())
                        .filter(target -> target.zone().equals(zone) || mayLeaveZone(pool))
                        .findFirst();
        if (probe.isPresent()) {
            return probe;
        }
        List<Candidate> admitted =
                matching(pool, target -> target.admission() == Ejection.Admission.IN);
        return admitted.isEmpty()
                ? ranked(pool, request).stream().findFirst()
                : chooseByZone(admitted, request);
    }

    /** Whether the zone has no target that takes calls, or only overloaded ones. */
    private boolean mayLeaveZone(List<Candidate> pool) {
        List<Candidate> local =
                subset(
                        matching(
                                pool,
                                target ->
                                        target.zone().equals(zone)
                                                && target.admission() == Ejection.Admission.IN));
        return local.isEmpty() || meanUtilization(local) >= spillPressure;
    }

    private Optional<Candidate> chooseByZone(List<Candidate> pool, RouteRequest request) {
        List<Candidate> local = subset(matching(pool, target -> target.zone().equals(zone)));
        if (!local.isEmpty() && meanUtilization(local) < spillPressure) {
            return chooseByLoad(local, request);
        }
        List<Candidate> remote = subset(matching(pool, target -> !target.zone().equals(zone)));
        if (local.isEmpty() || remote.isEmpty()) {
            return chooseByLoad(local.isEmpty() ? remote : local, request);
        }
        return meanUtilization(remote) < meanUtilization(local)
                ? chooseByLoad(remote, request)
                : chooseByLoad(local, request);
    }

    private Optional<Candidate> chooseByLoad(List<Candidate> pool, RouteRequest request) {
        double mean = pool.stream().mapToInt(Candidate::load).average().orElse(0);
        double bound = Math.max(1, Math.ceil(loadBound * (mean + 1.0 / pool.size())));
        List<Candidate> withinBound = matching(pool, target -> target.load() < bound);
        List<Candidate> firstTwo =
                ranked(withinBound.isEmpty() ? pool : withinBound, request).stream()
                        .limit(2)
                        .toList();
        return firstTwo.stream()
                .reduce((one, two) -> two.load() + MAX_EXTRA_CALLS < one.load() ? two : one);
    }

    private List<Candidate> subset(List<Candidate> pool) {
        return pool.size() <= subsetSize
                ? pool
                : rankedBy(pool, instance).stream().limit(subsetSize).toList();
    }

    private static List<Candidate> ranked(List<Candidate> pool, RouteRequest request) {
        return rankedBy(pool, request.affinityKey());
    }

    private static List<Candidate> rankedBy(List<Candidate> pool, String key) {
        return pool.stream()
                .sorted(
                        Comparator.<Candidate>comparingLong(
                                        target -> Rendezvous.weight(key, target.name()))
                                .reversed()
                                .thenComparing(Candidate::name))
                .toList();
    }

    private static double meanUtilization(List<Candidate> pool) {
        return pool.stream()
                .mapToDouble(Candidate::slotUtilization)
                .average()
                .orElse(Double.MAX_VALUE);
    }

    private static List<Candidate> matching(List<Candidate> pool, Predicate<Candidate> predicate) {
        return pool.stream().filter(predicate).toList();
    }
}
