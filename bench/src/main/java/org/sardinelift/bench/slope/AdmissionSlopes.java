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

/** Growth of admission time and state with teams and with entries. */
final class AdmissionSlopes {
    private static final int[] TEAMS = {64, 512, 2048, 4100};
    private static final int[] ENTRIES = {2, 6, 12, 24};
    private static final int TYPICAL_TEAMS = 512;
    private static final double AMPLE_RATE = 1e9;
    private static final LimitActions NO_OP_ACTIONS = new NoOpLimitActions();

    private AdmissionSlopes() {}

    static List<Slope> measure() {
        return List.of(
                teams("admission from own tokens", "ns", teams -> admissionTime(1, teams)),
                teams("limits: tick", "ns", AdmissionSlopes::tickTime),
                teams(
                        "limits: accounts",
                        "bytes",
                        teams -> Measurements.medianHeapBytes(() -> withAccounts(1, plans(teams)))),
                entries(
                        "admission from own tokens",
                        "ns",
                        entries -> admissionTime(entries, TYPICAL_TEAMS)),
                entries("shares object", "bytes", AdmissionSlopes::shareBytes),
                entries("limits of one entry, one team", "bytes", AdmissionSlopes::entryBytes));
    }

    private static Slope teams(String name, String unit, IntToDoubleFunction measurement) {
        return Slope.measure("entry", name, "teams", unit, TEAMS, measurement);
    }

    private static Slope entries(String name, String unit, IntToDoubleFunction measurement) {
        return Slope.measure("entry", name, "entries", unit, ENTRIES, measurement);
    }

    private static double admissionTime(int entries, int teams) {
        List<TeamPlan> plans = plans(teams);
        LimitSimulation simulation = withAccounts(entries, plans);
        FleetLimit limit = simulation.entry(0);
        Random random = new Random(teams);
        return Measurements.medianNanos(
                () -> limit.tryAdmit(plans.get(random.nextInt(teams)), simulation.now()));
    }

    private static double tickTime(int teams) {
        LimitSimulation simulation = withAccounts(1, plans(teams));
        AtomicLong now = new AtomicLong(simulation.now());
        long tick = 10 * LimitSimulation.STEP_NANOS;
        return Measurements.medianNanos(
                () -> simulation.entry(0).tick(now.addAndGet(tick), NO_OP_ACTIONS));
    }

    private static LimitSimulation withAccounts(int entries, List<TeamPlan> plans) {
        LimitSimulation simulation = LimitSimulation.startSettled(entries, plans.get(0));
        plans.forEach(plan -> simulation.entry(0).tryAdmit(plan, simulation.now()));
        return simulation;
    }

    private static double shareBytes(int entries) {
        LimitSimulation simulation = LimitSimulation.startSettled(entries, plan("team-0", 1, 1));
        return SharesCodec.encode(simulation.shares()).length();
    }

    private static double entryBytes(int entries) {
        TeamPlan plan = plan("team-0", 1, 1);
        return Measurements.medianHeapBytes(() -> LimitSimulation.startSettled(entries, plan))
                / entries;
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
