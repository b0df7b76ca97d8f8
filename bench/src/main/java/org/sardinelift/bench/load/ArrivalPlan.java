package org.sardinelift.bench.load;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;

/** Plans Poisson arrivals of several teams from a fixed seed. */
public final class ArrivalPlan {
    private static final double NANOS_PER_SECOND = 1e9;

    private ArrivalPlan() {}

    /**
     * Plans the arrivals of a run.
     *
     * @param seed seed of the arrivals
     * @param teams teams that send requests
     * @param duration length of the run
     * @return the arrivals in order of time
     */
    public static List<Arrival> poisson(long seed, List<TeamLoad> teams, Duration duration) {
        SplittableRandom random = new SplittableRandom(seed);
        List<Arrival> arrivals = new ArrayList<>();
        teams.forEach(team -> arrivals.addAll(planTeam(random.split(), team, duration.toNanos())));
        arrivals.sort(Comparator.comparingLong(Arrival::atNanos));
        List<Arrival> numbered = new ArrayList<>(arrivals.size());
        for (Arrival each : arrivals) {
            numbered.add(
                    new Arrival(each.atNanos(), each.team(), each.isWithinRate(), numbered.size()));
        }
        return List.copyOf(numbered);
    }

    private static List<Arrival> planTeam(SplittableRandom random, TeamLoad team, long endNanos) {
        double ratePerNano = team.ratePerSecond() * team.offeredLoad() / NANOS_PER_SECOND;
        List<Arrival> arrivals = new ArrayList<>();
        if (ratePerNano <= 0) {
            return arrivals;
        }
        double tokens = team.burst();
        double lastNanos = 0;
        double atNanos = interArrivalNanos(random, ratePerNano);
        while (atNanos < endNanos) {
            double refill = (atNanos - lastNanos) / NANOS_PER_SECOND * team.ratePerSecond();
            tokens = Math.min(team.burst(), tokens + refill);
            boolean isWithinRate = tokens >= 1;
            tokens -= isWithinRate ? 1 : 0;
            arrivals.add(new Arrival((long) atNanos, team, isWithinRate, 0));
            lastNanos = atNanos;
            atNanos += interArrivalNanos(random, ratePerNano);
        }
        return arrivals;
    }

    private static double interArrivalNanos(SplittableRandom random, double ratePerNano) {
        return -Math.log(1 - random.nextDouble()) / ratePerNano;
    }
}
