package org.sardinelift.core.limit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.sardinelift.core.catalog.TeamPlan;

/**
 * Guards against admissions beyond a team's rate and burst, and against unused units, under
 * crashes, freezes, cut connections, a platform outage, lost answers and stale reads, while teams
 * flood the fleet when their buckets are full.
 */
class LimitFaultsTest {
    private static final int DURATION_SECONDS = 150;
    private static final int FAULT_COUNT = 12;
    private static final double FLOOD_FACTOR = 6;
    private static final double IDLE_FACTOR = 0.1;
    private static final long LOAD_PERIOD = 10 * Simulation.SECOND;
    private static final List<String> NODES = List.of("e1", "e2", "e3", "e4");

    @Property(seed = "71", tries = 40)
    void noTeamExceedsItsRateAndBurstUnderFaults(@ForAll long seed) {
        Map<String, TeamPlan> plans = plans(30, 4, 0.5);
        Simulation simulation = new Simulation(new SplittableRandom(seed).split());
        Score score = runWithFaults(seed, simulation, plans, fleet(simulation, plans));
        assertEquals(0, score.overrun());
        assertTrue(score.admissions() > 0);
    }

    @Property(seed = "74", tries = 20)
    void noTickDoesWorkBeforeItIsDue(@ForAll long seed) {
        Map<String, TeamPlan> plans = plans(30, 4, 0.5);
        Simulation simulation = new Simulation(new SplittableRandom(seed).split());
        ShareFleet fleet =
                new ShareFleet(simulation, LimitBounds.defaults(), plans).withDueTimeCheck();
        start(simulation, fleet);
        Score score = runWithFaults(seed, simulation, plans, fleet);
        assertEquals(0, score.overrun());
        assertTrue(score.admissions() > 0);
    }

    private static Score runWithFaults(
            long seed, Simulation simulation, Map<String, TeamPlan> plans, ShareFleet fleet) {
        SplittableRandom random = new SplittableRandom(seed);
        random.split();
        Score score = new Score();
        plans.values()
                .forEach(team -> scheduleRequest(simulation, fleet, score, team, random.split()));
        for (int i = 0; i < FAULT_COUNT; i++) {
            scheduleFault(simulation, fleet, random);
        }
        simulation.runUntil(DURATION_SECONDS * Simulation.SECOND);
        return score;
    }

    @Property(seed = "72", tries = 20)
    void callerThatRetriesAfterTheGivenTimeIsAdmitted(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        Simulation simulation = new Simulation(random.split());
        double rate = 0.5 + random.nextDouble() * 20;
        Map<String, TeamPlan> plans = plans(rate);
        ShareFleet fleet = fleet(simulation, plans);
        TeamPlan team = plans.get("t1");
        simulation.runUntil(30 * Simulation.SECOND);
        for (int round = 0; round < 20; round++) {
            Admission.Refused refused = null;
            while (refused == null) {
                Admission admission = sendRequest(simulation, fleet, team, random);
                refused = admission instanceof Admission.Refused r ? r : null;
            }
            simulation.runUntil(simulation.now() + refused.retryAfter().toNanos());
            assertInstanceOf(
                    Admission.Admitted.class, sendRequest(simulation, fleet, team, random));
        }
    }

    @Property(seed = "73", tries = 10)
    void unitsOfCrashedEntryAreReclaimedAndNoneAreLeftInThePool(@ForAll long seed) {
        Simulation simulation = new Simulation(new SplittableRandom(seed));
        Map<String, TeamPlan> plans = plans(8);
        ShareFleet fleet = fleet(simulation, plans);
        simulation.runUntil(30 * Simulation.SECOND);
        simulation.crash("e2");
        simulation.runUntil(80 * Simulation.SECOND);
        assertEquals(0, fleet.poolUnits());
        TeamPlan team = plans.get("t1");
        Score score = new Score();
        scheduleRequest(simulation, fleet, score, team, new SplittableRandom(seed));
        simulation.runUntil(140 * Simulation.SECOND);
        assertTrue(
                score.lowestServedFraction() > 0.9, () -> "served " + score.lowestServedFraction());
    }

    @Test
    void firstEntryReleasesUnitsToLaterOnes() {
        Simulation simulation = new Simulation(new SplittableRandom(5));
        ShareFleet fleet = new ShareFleet(simulation, LimitBounds.defaults(), plans(8));
        for (int i = 0; i < NODES.size(); i++) {
            String node = NODES.get(i);
            simulation.schedule(
                    i * 10 * Simulation.SECOND,
                    () -> {
                        simulation.start(node);
                        fleet.start(node);
                    });
        }
        simulation.runUntil(100 * Simulation.SECOND);
        NODES.forEach(
                node ->
                        assertTrue(
                                fleet.units(node) >= Shares.TOTAL_UNITS / 8,
                                () -> node + " has less than half of an equal share"));
    }

    private static Admission sendRequest(
            Simulation simulation, ShareFleet fleet, TeamPlan team, RandomGenerator random) {
        List<Admission> answers = new ArrayList<>();
        fleet.request(NODES.get(random.nextInt(NODES.size())), team, answers::add);
        while (answers.isEmpty()) {
            simulation.runUntil(simulation.now() + Simulation.MS);
        }
        return answers.get(0);
    }

    private static void scheduleFault(
            Simulation simulation, ShareFleet fleet, RandomGenerator random) {
        String node = NODES.get(random.nextInt(NODES.size()));
        long start = (10 + random.nextInt(DURATION_SECONDS - 40)) * Simulation.SECOND;
        long end = start + (long) ((0.5 + random.nextDouble() * 60) * Simulation.SECOND);
        switch (random.nextInt(6)) {
            case 0 -> {
                simulation.schedule(start, () -> simulation.freeze(node));
                simulation.schedule(end, () -> simulation.unfreeze(node));
            }
            case 1 -> {
                simulation.schedule(start, () -> simulation.freeze(node));
                simulation.schedule(start + 5 * Simulation.SECOND, () -> simulation.delist(node));
                simulation.schedule(end, () -> simulation.unfreeze(node));
            }
            case 2 -> {
                simulation.schedule(start, () -> simulation.crash(node));
                simulation.schedule(
                        end,
                        () -> {
                            simulation.start(node);
                            fleet.start(node);
                        });
            }
            case 3 -> {
                simulation.schedule(start, () -> simulation.setCutOff(node, true));
                simulation.schedule(start + 8 * Simulation.SECOND, () -> simulation.delist(node));
                simulation.schedule(end, () -> simulation.setCutOff(node, false));
                simulation.schedule(end + Simulation.SECOND, () -> simulation.relist(node));
            }
            case 4 -> {
                simulation.schedule(start, () -> simulation.platformDown = true);
                simulation.schedule(end, () -> simulation.platformDown = false);
            }
            default -> {
                simulation.lostAnswers = 0.3;
                simulation.staleReads = 0.3;
            }
        }
    }

    private static void scheduleRequest(
            Simulation simulation,
            ShareFleet fleet,
            Score score,
            TeamPlan team,
            RandomGenerator random) {
        boolean isFlooding = simulation.now() % LOAD_PERIOD > LOAD_PERIOD * 7 / 10;
        double rate = team.ratePerSecond() * (isFlooding ? FLOOD_FACTOR : IDLE_FACTOR);
        double wait = Math.min(1, -Math.log(1 - random.nextDouble()) / rate);
        simulation.schedule(
                simulation.now() + (long) (wait * Simulation.SECOND),
                () -> {
                    List<String> receivers = simulation.trafficReceivers(Simulation.SECOND);
                    if (!receivers.isEmpty()) {
                        String node = receivers.get(random.nextInt(receivers.size()));
                        score.recordOffered(team, simulation.now());
                        simulation.scheduleAtNode(
                                simulation.now(),
                                node,
                                () ->
                                        fleet.request(
                                                node,
                                                team,
                                                admission ->
                                                        recordAdmission(
                                                                simulation,
                                                                score,
                                                                team,
                                                                admission)));
                    }
                    scheduleRequest(simulation, fleet, score, team, random);
                });
    }

    private static void recordAdmission(
            Simulation simulation, Score score, TeamPlan team, Admission admission) {
        if (admission instanceof Admission.Admitted) {
            score.recordAdmitted(team, simulation.now());
        } else {
            score.recordRefused();
        }
    }

    private static ShareFleet fleet(Simulation simulation, Map<String, TeamPlan> plans) {
        ShareFleet fleet = new ShareFleet(simulation, LimitBounds.defaults(), plans);
        start(simulation, fleet);
        return fleet;
    }

    private static void start(Simulation simulation, ShareFleet fleet) {
        NODES.forEach(
                node -> {
                    simulation.startListed(node);
                    fleet.start(node);
                });
    }

    private static Map<String, TeamPlan> plans(double... rates) {
        Map<String, TeamPlan> plans = new LinkedHashMap<>();
        for (double rate : rates) {
            String team = "t" + (plans.size() + 1);
            double burst = Math.max(2, rate);
            plans.put(team, new TeamPlan(team, rate, burst, Set.of(), Set.of(), 1, 1));
        }
        return plans;
    }
}
