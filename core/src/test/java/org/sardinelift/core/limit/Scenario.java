package org.sardinelift.core.limit;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.BiConsumer;
import java.util.function.BiFunction;
import org.sardinelift.core.catalog.TeamPlan;

/**
 * Load distributions and faults under which {@link LimitComparisonTest} replays the recorded
 * arrivals.
 */
enum Scenario {
    EVEN("even balancing", 120, 1, (simulation, fleet) -> {}),
    UNEVEN("uneven balancing 70/20/5/5", 120, 1, (simulation, fleet) -> {}, 700, 900, 950),
    ENTRY_LOSS(
            "loss of an entry, a new one 10 s later",
            120,
            1,
            (simulation, fleet) -> {
                scheduleAfterWarmUp(simulation, 30, () -> simulation.crash("e1"));
                scheduleAfterWarmUp(simulation, 40, () -> startNode(simulation, fleet, "e5"));
            }),
    FREEZE(
            "40 s freeze past a lease and off the list",
            120,
            1,
            (simulation, fleet) -> {
                scheduleAfterWarmUp(simulation, 30, () -> simulation.freeze("e1"));
                scheduleAfterWarmUp(simulation, 35, () -> simulation.delist("e1"));
                scheduleAfterWarmUp(simulation, 70, () -> simulation.unfreeze("e1"));
                scheduleAfterWarmUp(simulation, 75, () -> simulation.relist("e1"));
            }),
    OUTAGE(
            "an hour without the platform",
            3_720,
            1,
            (simulation, fleet) -> scheduleOutage(simulation)),
    OUTAGE_CRASH(
            "an hour without the platform, one crash",
            3_720,
            1,
            (simulation, fleet) -> {
                scheduleOutage(simulation);
                scheduleAfterWarmUp(simulation, 600, () -> simulation.crash("e2"));
            }),
    RESTART(
            "all restart at once",
            120,
            1,
            (simulation, fleet) -> {
                List<String> all = List.of("e1", "e2", "e3", "e4");
                scheduleAfterWarmUp(simulation, 30, () -> all.forEach(simulation::stop));
                scheduleAfterWarmUp(
                        simulation,
                        31,
                        () ->
                                all.forEach(
                                        node -> {
                                            simulation.restart(node);
                                            fleet.start(node);
                                        }));
            }),
    LOST_ANSWERS(
            "lost answers, stale reads, an entry joins",
            120,
            1,
            (simulation, fleet) -> {
                simulation.lostAnswers = 0.3;
                simulation.staleReads = 0.3;
                scheduleAfterWarmUp(simulation, 30, () -> startNode(simulation, fleet, "e5"));
            },
            700,
            900,
            950),
    FIVE_TIMES("one team at 5 x its rate through one entry", 120, 5, (simulation, fleet) -> {});

    private static final long WARM_UP = 40 * Simulation.SECOND;
    private static final long SEED = 7;
    private static final long BALANCER_LAG = 2 * Simulation.SECOND;
    private static final String GREEDY_TEAM = "t1";

    private final String label;
    private final int seconds;
    private final int greedyMultiplier;
    private final BiConsumer<Simulation, SimulatedFleet> faults;
    private final int[] drawThresholds;

    Scenario(
            String label,
            int seconds,
            int greedyMultiplier,
            BiConsumer<Simulation, SimulatedFleet> faults,
            int... drawThresholds) {
        this.label = label;
        this.seconds = seconds;
        this.greedyMultiplier = greedyMultiplier;
        this.faults = faults;
        this.drawThresholds = drawThresholds;
    }

    String label() {
        return label;
    }

    Score replay(Trace trace, BiFunction<Simulation, Trace, SimulatedFleet> fleetFactory) {
        return replay(trace, fleetFactory, SEED);
    }

    Score replay(
            Trace trace, BiFunction<Simulation, Trace, SimulatedFleet> fleetFactory, long seed) {
        Simulation simulation = new Simulation(new SplittableRandom(seed));
        SimulatedFleet fleet = fleetFactory.apply(simulation, trace);
        Score score = new Score();
        for (String node : List.of("e1", "e2", "e3", "e4")) {
            simulation.startListed(node);
            fleet.start(node);
        }
        faults.accept(simulation, fleet);
        for (long from = WARM_UP; from < WARM_UP + seconds * Simulation.SECOND; ) {
            long start = from;
            for (Trace.Arrival arrival : trace.arrivals()) {
                long at = start + arrival.micros() * 1_000;
                for (int i = 0; i < requestCount(arrival); i++) {
                    simulation.schedule(
                            at + i * Simulation.MS,
                            () -> send(simulation, fleet, score, trace, arrival));
                }
            }
            from += Trace.LENGTH_MICROS * 1_000;
            simulation.runUntil(from);
        }
        simulation.runUntil(simulation.now() + Simulation.SECOND);
        return score;
    }

    private int requestCount(Trace.Arrival arrival) {
        return arrival.team().equals(GREEDY_TEAM) ? greedyMultiplier : 1;
    }

    private void send(
            Simulation simulation,
            SimulatedFleet fleet,
            Score score,
            Trace trace,
            Trace.Arrival arrival) {
        TeamPlan team = trace.plans().get(arrival.team());
        if (simulation.trafficReceivers(BALANCER_LAG).isEmpty()) {
            return;
        }
        String node = chooseNode(simulation, arrival);
        score.recordOffered(team, simulation.now());
        simulation.scheduleAtNode(
                simulation.now(),
                node,
                () ->
                        fleet.request(
                                node,
                                team,
                                admission -> {
                                    if (admission instanceof Admission.Admitted) {
                                        score.recordAdmitted(team, simulation.now());
                                    } else {
                                        score.recordRefused();
                                    }
                                }));
    }

    private String chooseNode(Simulation simulation, Trace.Arrival arrival) {
        List<String> receivers = new ArrayList<>(simulation.trafficReceivers(BALANCER_LAG));
        if (greedyMultiplier > 1 && !arrival.team().equals(GREEDY_TEAM)) {
            receivers.remove("e1");
        } else if (greedyMultiplier > 1) {
            return "e1";
        }
        if (drawThresholds.length == 0) {
            return receivers.get(arrival.draw() % receivers.size());
        }
        int index = 0;
        while (index < drawThresholds.length && arrival.draw() >= drawThresholds[index]) {
            index++;
        }
        return receivers.get(Math.min(index, receivers.size() - 1));
    }

    private static void scheduleOutage(Simulation simulation) {
        scheduleAfterWarmUp(simulation, 30, () -> simulation.platformDown = true);
        scheduleAfterWarmUp(simulation, 3_630, () -> simulation.platformDown = false);
    }

    private static void startNode(Simulation simulation, SimulatedFleet fleet, String node) {
        simulation.start(node);
        fleet.start(node);
    }

    private static void scheduleAfterWarmUp(Simulation simulation, int seconds, Runnable action) {
        simulation.schedule(WARM_UP + seconds * Simulation.SECOND, action);
    }
}
