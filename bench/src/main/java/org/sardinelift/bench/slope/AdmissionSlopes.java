package org.sardinelift.bench.slope;

import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.IntToDoubleFunction;
import java.util.stream.IntStream;
import org.sardinelift.core.catalog.TeamPlan;
import org.sardinelift.core.limit.FleetLimit;
import org.sardinelift.core.limit.LimitActions;
import org.sardinelift.objects.kinds.SharesCodec;

/** Admission against teams and against entries. */
final class AdmissionSlopes {
    private static final int[] TEAMS = {64, 512, 2048, 4100};
    private static final int[] ENTRIES = {2, 6, 12, 24};
    private static final int USUAL_TEAMS = 512;
    private static final double AMPLE_RATE = 1e9;
    private static final LimitActions IGNORED = new IgnoredActions();

    private AdmissionSlopes() {}

    static List<Slope> measure() {
        return List.of(
                teams("admission from own tokens", "ns", teams -> ownTime(1, teams)),
                teams("limits: tick", "ns", AdmissionSlopes::tickTime),
                teams(
                        "limits: accounts",
                        "bytes",
                        teams -> Gauge.heapBytes(() -> opened(1, plans(teams)))),
                entries(
                        "admission from own tokens",
                        "ns",
                        entries -> ownTime(entries, USUAL_TEAMS)),
                entries("shares object", "bytes", AdmissionSlopes::shareBytes),
                entries("limits of one entry, one team", "bytes", AdmissionSlopes::entryBytes));
    }

    private static Slope teams(String name, String unit, IntToDoubleFunction figure) {
        return Slope.measure("entry", name, "teams", unit, TEAMS, figure);
    }

    private static Slope entries(String name, String unit, IntToDoubleFunction figure) {
        return Slope.measure("entry", name, "entries", unit, ENTRIES, figure);
    }

    private static double ownTime(int entries, int teams) {
        List<TeamPlan> plans = plans(teams);
        LimitFleet fleet = opened(entries, plans);
        FleetLimit limit = fleet.entry(0);
        Random random = new Random(teams);
        return Gauge.nanos(() -> limit.tryAdmit(plans.get(random.nextInt(teams)), fleet.now()));
    }

    private static double tickTime(int teams) {
        LimitFleet fleet = opened(1, plans(teams));
        AtomicLong now = new AtomicLong(fleet.now());
        long tick = 10 * LimitFleet.STEP_NANOS;
        return Gauge.nanos(() -> fleet.entry(0).tick(now.addAndGet(tick), IGNORED));
    }

    private static LimitFleet opened(int entries, List<TeamPlan> plans) {
        LimitFleet fleet = LimitFleet.settled(entries, plans.get(0));
        plans.forEach(plan -> fleet.entry(0).tryAdmit(plan, fleet.now()));
        return fleet;
    }

    private static double shareBytes(int entries) {
        LimitFleet fleet = LimitFleet.settled(entries, plan("team-0", 1, 1));
        return SharesCodec.encode(fleet.shares()).length();
    }

    private static double entryBytes(int entries) {
        TeamPlan plan = plan("team-0", 1, 1);
        return Gauge.heapBytes(() -> LimitFleet.settled(entries, plan)) / entries;
    }

    private static List<TeamPlan> plans(int teams) {
        return IntStream.range(0, teams)
                .mapToObj(index -> plan("team-" + index, AMPLE_RATE, AMPLE_RATE))
                .toList();
    }

    private static TeamPlan plan(String name, double rate, double burst) {
        return new TeamPlan(name, rate, burst, Set.of(), Set.of(), 1, 1);
    }
}
