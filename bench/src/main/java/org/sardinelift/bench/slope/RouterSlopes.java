package org.sardinelift.bench.slope;

import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.function.ToDoubleFunction;
import org.sardinelift.core.route.RouteRequest;
import org.sardinelift.core.route.Router;

/** Time and size of routing and of the search for free batch slots with the number of targets. */
final class RouterSlopes {
    private static final int[] TARGETS = {8, 32, 128, 512, 1024};
    private static final int SUBSET = 24;
    private static final double LOAD_BOUND = 1.25;
    private static final double SPILL_PRESSURE = 1.5;

    private RouterSlopes() {}

    static List<Slope> measure() {
        return List.of(
                slope("routing decision", "ns", RouterSlopes::routingTime),
                slope("candidates of one decision", "bytes", RouterSlopes::candidateBytes),
                slope("look for free batch slots of a model", "ns", RouterSlopes::searchTime));
    }

    private static Slope slope(
            String name, String unit, ToDoubleFunction<CompanionFleet> measurement) {
        return Slope.measure(
                "entry",
                name,
                "targets",
                unit,
                TARGETS,
                targets -> {
                    try (CompanionFleet fleet = CompanionFleet.start(targets)) {
                        return measurement.applyAsDouble(fleet);
                    }
                });
    }

    private static double routingTime(CompanionFleet fleet) {
        Router router =
                Router.of(CompanionFleet.ZONE, "entry-1", LOAD_BOUND, SPILL_PRESSURE, SUBSET);
        Random random = new Random(1);
        return Measurements.medianNanos(
                () -> router.choose(fleet.candidates(), request(random.nextInt(1 << 20))));
    }

    private static double candidateBytes(CompanionFleet fleet) {
        return Measurements.medianHeapBytes(fleet::candidates);
    }

    private static double searchTime(CompanionFleet fleet) {
        return Measurements.medianNanos(() -> fleet.freeBatchSlots(CompanionFleet.model(0)));
    }

    private static RouteRequest request(int number) {
        return new RouteRequest(
                CompanionFleet.SERVICE,
                CompanionFleet.model(number),
                "prefix-" + number,
                Set.of(),
                false);
    }
}
