package org.sardinelift.core.limit;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.BiConsumer;
import java.util.function.BiFunction;
import org.sardinelift.core.catalog.TeamPlan;

/** Faults that the comparison replays the recorded arrivals under. */
enum Scenario {
    EVEN("even balancing", 120, 1, (world, fleet) -> {}),
    UNEVEN("uneven balancing 70/20/5/5", 120, 1, (world, fleet) -> {}, 700, 900, 950),
    ENTRY_LOSS(
            "loss of an entry, a new one 10 s later",
            120,
            1,
            (world, fleet) -> {
                after(world, 30, () -> world.crash("e1"));
                after(world, 40, () -> begin(world, fleet, "e5"));
            }),
    FREEZE(
            "40 s freeze past a lease and off the list",
            120,
            1,
            (world, fleet) -> {
                after(world, 30, () -> world.freeze("e1"));
                after(world, 35, () -> world.delist("e1"));
                after(world, 70, () -> world.unfreeze("e1"));
                after(world, 75, () -> world.relist("e1"));
            }),
    OUTAGE("an hour without the platform", 3_720, 1, (world, fleet) -> outage(world)),
    OUTAGE_CRASH(
            "an hour without the platform, one crash",
            3_720,
            1,
            (world, fleet) -> {
                outage(world);
                after(world, 600, () -> world.crash("e2"));
            }),
    RESTART(
            "all restart at once",
            120,
            1,
            (world, fleet) -> {
                List<String> all = List.of("e1", "e2", "e3", "e4");
                after(world, 30, () -> all.forEach(world::stop));
                after(
                        world,
                        31,
                        () ->
                                all.forEach(
                                        node -> {
                                            world.restart(node);
                                            fleet.start(node);
                                        }));
            }),
    LOST_ANSWERS(
            "lost answers, stale reads, an entry joins",
            120,
            1,
            (world, fleet) -> {
                world.lostAnswers = 0.3;
                world.staleReads = 0.3;
                after(world, 30, () -> begin(world, fleet, "e5"));
            },
            700,
            900,
            950),
    FIVE_TIMES("one team at 5 x its rate through one entry", 120, 5, (world, fleet) -> {});

    private static final long WARM_UP = 40 * Simulation.SECOND;
    private static final long SEED = 7;
    private static final long BALANCER_LAG = 2 * Simulation.SECOND;
    private static final String GREEDY = "t1";

    private final String label;
    private final int seconds;
    private final int times;
    private final BiConsumer<Simulation, SimulatedFleet> faults;
    private final int[] cuts;

    Scenario(
            String label,
            int seconds,
            int times,
            BiConsumer<Simulation, SimulatedFleet> faults,
            int... cuts) {
        this.label = label;
        this.seconds = seconds;
        this.times = times;
        this.faults = faults;
        this.cuts = cuts;
    }

    String label() {
        return label;
    }

    Score replay(Trace trace, BiFunction<Simulation, Trace, SimulatedFleet> way) {
        return replay(trace, way, SEED);
    }

    Score replay(Trace trace, BiFunction<Simulation, Trace, SimulatedFleet> way, long seed) {
        Simulation world = new Simulation(new SplittableRandom(seed));
        SimulatedFleet fleet = way.apply(world, trace);
        Score score = new Score();
        for (String node : List.of("e1", "e2", "e3", "e4")) {
            world.startListed(node);
            fleet.start(node);
        }
        faults.accept(world, fleet);
        for (long from = WARM_UP; from < WARM_UP + seconds * Simulation.SECOND; ) {
            long start = from;
            for (Trace.Arrival arrival : trace.arrivals()) {
                long at = start + arrival.micros() * 1_000;
                for (int i = 0; i < copies(arrival); i++) {
                    world.schedule(
                            at + i * Simulation.MS,
                            () -> send(world, fleet, score, trace, arrival));
                }
            }
            from += Trace.LENGTH_MICROS * 1_000;
            world.runUntil(from);
        }
        world.runUntil(world.now() + Simulation.SECOND);
        return score;
    }

    private int copies(Trace.Arrival arrival) {
        return arrival.team().equals(GREEDY) ? times : 1;
    }

    private void send(
            Simulation world,
            SimulatedFleet fleet,
            Score score,
            Trace trace,
            Trace.Arrival arrival) {
        TeamPlan team = trace.plans().get(arrival.team());
        if (world.trafficReceivers(BALANCER_LAG).isEmpty()) {
            return;
        }
        String node = balance(world, arrival);
        score.recordOffered(team, world.now());
        world.scheduleAtNode(
                world.now(),
                node,
                () ->
                        fleet.request(
                                node,
                                team,
                                admission -> {
                                    if (admission instanceof Admission.Admitted) {
                                        score.recordAdmitted(team, world.now());
                                    } else {
                                        score.refused();
                                    }
                                }));
    }

    private String balance(Simulation world, Trace.Arrival arrival) {
        List<String> taking = new ArrayList<>(world.trafficReceivers(BALANCER_LAG));
        if (times > 1 && !arrival.team().equals(GREEDY)) {
            taking.remove("e1");
        } else if (times > 1) {
            return "e1";
        }
        if (cuts.length == 0) {
            return taking.get(arrival.draw() % taking.size());
        }
        int index = 0;
        while (index < cuts.length && arrival.draw() >= cuts[index]) {
            index++;
        }
        return taking.get(Math.min(index, taking.size() - 1));
    }

    private static void outage(Simulation world) {
        after(world, 30, () -> world.platformDown = true);
        after(world, 3_630, () -> world.platformDown = false);
    }

    private static void begin(Simulation world, SimulatedFleet fleet, String node) {
        world.start(node);
        fleet.start(node);
    }

    private static void after(Simulation world, int seconds, Runnable action) {
        world.schedule(WARM_UP + seconds * Simulation.SECOND, action);
    }
}
