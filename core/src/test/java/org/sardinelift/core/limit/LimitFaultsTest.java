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

/** The bound holds whatever fails, at teams that flood the fleet when their buckets are full. */
class LimitFaultsTest {
    private static final int SECONDS = 150;
    private static final int FAULTS = 12;
    private static final double FLOOD = 6;
    private static final double TRICKLE = 0.1;
    private static final long PERIOD = 10 * Simulation.SECOND;
    private static final List<String> NODES = List.of("e1", "e2", "e3", "e4");

    @Property(seed = "71", tries = 40)
    void noFaultLetsATeamOverItsRateAndBurst(@ForAll long seed) {
        Map<String, TeamPlan> plans = plans(30, 4, 0.5);
        Simulation world = new Simulation(new SplittableRandom(seed).split());
        Score score = runWithFaults(seed, world, plans, fleet(world, plans));
        assertEquals(0, score.overrun());
        assertTrue(score.admissions() > 0);
    }

    @Property(seed = "74", tries = 20)
    void noStepIsNeededBeforeItIsDue(@ForAll long seed) {
        Map<String, TeamPlan> plans = plans(30, 4, 0.5);
        Simulation world = new Simulation(new SplittableRandom(seed).split());
        ShareFleet fleet = new ShareFleet(world, LimitBounds.defaults(), plans).probing();
        start(world, fleet);
        Score score = runWithFaults(seed, world, plans, fleet);
        assertEquals(0, score.overrun());
        assertTrue(score.admissions() > 0);
    }

    private static Score runWithFaults(
            long seed, Simulation world, Map<String, TeamPlan> plans, ShareFleet fleet) {
        SplittableRandom random = new SplittableRandom(seed);
        random.split();
        Score score = new Score();
        plans.values().forEach(team -> offer(world, fleet, score, team, random.split()));
        for (int i = 0; i < FAULTS; i++) {
            fault(world, fleet, random);
        }
        world.runUntil(SECONDS * Simulation.SECOND);
        return score;
    }

    @Property(seed = "72", tries = 20)
    void aCallerThatComesBackAtRetryAfterIsAdmitted(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        Simulation world = new Simulation(random.split());
        double rate = 0.5 + random.nextDouble() * 20;
        Map<String, TeamPlan> plans = plans(rate);
        ShareFleet fleet = fleet(world, plans);
        TeamPlan team = plans.get("t1");
        world.runUntil(30 * Simulation.SECOND);
        for (int round = 0; round < 20; round++) {
            Admission.Refused refused = null;
            while (refused == null) {
                Admission admission = ask(world, fleet, team, random);
                refused = admission instanceof Admission.Refused r ? r : null;
            }
            world.runUntil(world.now() + refused.retryAfter().toNanos());
            assertInstanceOf(Admission.Admitted.class, ask(world, fleet, team, random));
        }
    }

    @Property(seed = "73", tries = 10)
    void aCrashedEntrysUnitsAreInUseAgainAndNoneAreLeftInThePool(@ForAll long seed) {
        Simulation world = new Simulation(new SplittableRandom(seed));
        Map<String, TeamPlan> plans = plans(8);
        ShareFleet fleet = fleet(world, plans);
        world.runUntil(30 * Simulation.SECOND);
        world.crash("e2");
        world.runUntil(80 * Simulation.SECOND);
        assertEquals(0, fleet.poolUnits());
        TeamPlan team = plans.get("t1");
        Score score = new Score();
        offer(world, fleet, score, team, new SplittableRandom(seed));
        world.runUntil(140 * Simulation.SECOND);
        assertTrue(
                score.lowestServedFraction() > 0.9, () -> "served " + score.lowestServedFraction());
    }

    @Test
    void aFirstEntrySharesWithThoseThatStartLater() {
        Simulation world = new Simulation(new SplittableRandom(5));
        ShareFleet fleet = new ShareFleet(world, LimitBounds.defaults(), plans(8));
        for (int i = 0; i < NODES.size(); i++) {
            String node = NODES.get(i);
            world.schedule(
                    i * 10 * Simulation.SECOND,
                    () -> {
                        world.start(node);
                        fleet.start(node);
                    });
        }
        world.runUntil(100 * Simulation.SECOND);
        NODES.forEach(
                node ->
                        assertTrue(
                                fleet.units(node) >= Shares.TOTAL_UNITS / 8,
                                () -> node + " starves"));
    }

    private static Admission ask(
            Simulation world, ShareFleet fleet, TeamPlan team, RandomGenerator random) {
        List<Admission> answers = new ArrayList<>();
        fleet.request(NODES.get(random.nextInt(NODES.size())), team, answers::add);
        while (answers.isEmpty()) {
            world.runUntil(world.now() + Simulation.MS);
        }
        return answers.get(0);
    }

    private static void fault(Simulation world, ShareFleet fleet, RandomGenerator random) {
        String node = NODES.get(random.nextInt(NODES.size()));
        long start = (10 + random.nextInt(SECONDS - 40)) * Simulation.SECOND;
        long end = start + (long) ((0.5 + random.nextDouble() * 60) * Simulation.SECOND);
        switch (random.nextInt(6)) {
            case 0 -> {
                world.schedule(start, () -> world.freeze(node));
                world.schedule(end, () -> world.unfreeze(node));
            }
            case 1 -> {
                world.schedule(start, () -> world.freeze(node));
                world.schedule(start + 5 * Simulation.SECOND, () -> world.delist(node));
                world.schedule(end, () -> world.unfreeze(node));
            }
            case 2 -> {
                world.schedule(start, () -> world.crash(node));
                world.schedule(
                        end,
                        () -> {
                            world.start(node);
                            fleet.start(node);
                        });
            }
            case 3 -> {
                world.schedule(start, () -> world.cutOff(node, true));
                world.schedule(start + 8 * Simulation.SECOND, () -> world.delist(node));
                world.schedule(end, () -> world.cutOff(node, false));
                world.schedule(end + Simulation.SECOND, () -> world.relist(node));
            }
            case 4 -> {
                world.schedule(start, () -> world.platformDown = true);
                world.schedule(end, () -> world.platformDown = false);
            }
            default -> {
                world.lostAnswers = 0.3;
                world.staleReads = 0.3;
            }
        }
    }

    private static void offer(
            Simulation world,
            ShareFleet fleet,
            Score score,
            TeamPlan team,
            RandomGenerator random) {
        boolean flood = world.now() % PERIOD > PERIOD * 7 / 10;
        double rate = team.ratePerSecond() * (flood ? FLOOD : TRICKLE);
        double wait = Math.min(1, -Math.log(1 - random.nextDouble()) / rate);
        world.schedule(
                world.now() + (long) (wait * Simulation.SECOND),
                () -> {
                    List<String> taking = world.trafficReceivers(Simulation.SECOND);
                    if (!taking.isEmpty()) {
                        String node = taking.get(random.nextInt(taking.size()));
                        score.recordOffered(team, world.now());
                        world.scheduleAtNode(
                                world.now(),
                                node,
                                () ->
                                        fleet.request(
                                                node, team, it -> note(world, score, team, it)));
                    }
                    offer(world, fleet, score, team, random);
                });
    }

    private static void note(Simulation world, Score score, TeamPlan team, Admission admission) {
        if (admission instanceof Admission.Admitted) {
            score.recordAdmitted(team, world.now());
        } else {
            score.refused();
        }
    }

    private static ShareFleet fleet(Simulation world, Map<String, TeamPlan> plans) {
        ShareFleet fleet = new ShareFleet(world, LimitBounds.defaults(), plans);
        start(world, fleet);
        return fleet;
    }

    private static void start(Simulation world, ShareFleet fleet) {
        NODES.forEach(
                node -> {
                    world.startListed(node);
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
