package org.sardinelift.bench.model;

import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.sardinelift.core.load.Placement;
import org.sardinelift.core.load.Placement.Choice;
import org.sardinelift.core.load.TargetLoad;

/** How the simulated gateways choose the target of an online call. */
public enum ModelPolicy {
    /** The product's own choice, by the loads known from reports. */
    PRODUCT("product") {
        @Override
        Optional<TargetLoad> choose(PolicyInput input) {
            return chooseByPlacement(input, input.reportedLoads());
        }
    },
    /** The product's own choice, by exact loads, as with one queue common to all gateways. */
    COMMON_QUEUE("common queue") {
        @Override
        Optional<TargetLoad> choose(PolicyInput input) {
            return chooseByPlacement(input, input.exactLoads());
        }
    },
    /** A random target. */
    RANDOM("random") {
        @Override
        Optional<TargetLoad> choose(PolicyInput input) {
            List<TargetLoad> targets = input.reportedLoads();
            return Optional.of(targets.get(input.random().nextInt(targets.size())));
        }
    },
    /** Each target in turn. */
    ROUND_ROBIN("round robin") {
        @Override
        Optional<TargetLoad> choose(PolicyInput input) {
            List<TargetLoad> targets = input.reportedLoads();
            return Optional.of(targets.get((int) (input.choiceNumber() % targets.size())));
        }
    },
    /** The target with the fewest of this gateway's own calls. */
    LEAST_OWN("least own calls") {
        @Override
        Optional<TargetLoad> choose(PolicyInput input) {
            return input.ownLoads().stream()
                    .min(Comparator.comparingInt(target -> target.calls().online()));
        }
    },
    /** The one of two random targets with fewer of this gateway's own calls. */
    TWO_CHOICES("two choices") {
        @Override
        Optional<TargetLoad> choose(PolicyInput input) {
            List<TargetLoad> targets = input.ownLoads();
            TargetLoad first = targets.get(input.random().nextInt(targets.size()));
            TargetLoad second = targets.get(input.random().nextInt(targets.size()));
            return Optional.of(second.calls().online() < first.calls().online() ? second : first);
        }
    };

    private final String label;

    ModelPolicy(String label) {
        this.label = label;
    }

    /**
     * Returns the name in tables.
     *
     * @return the name
     */
    public String label() {
        return label;
    }

    /**
     * Input of a choice.
     *
     * @param reportedLoads loads known from reports
     * @param exactLoads exact loads
     * @param ownLoads loads by this gateway's own calls only
     * @param zone zone of the gateway
     * @param timeLimit time within which the first event is wanted
     * @param choiceNumber number of the choice
     * @param random random number generator
     */
    record PolicyInput(
            List<TargetLoad> reportedLoads,
            List<TargetLoad> exactLoads,
            List<TargetLoad> ownLoads,
            String zone,
            Duration timeLimit,
            long choiceNumber,
            Random random) {}

    abstract Optional<TargetLoad> choose(PolicyInput input);

    private static final Duration PLACEMENT_MARGIN = Duration.ofMillis(30);

    private static Optional<TargetLoad> chooseByPlacement(
            PolicyInput input, List<TargetLoad> loads) {
        Choice choice =
                Placement.of(input.zone(), PLACEMENT_MARGIN)
                        .choose(loads, input.timeLimit(), input.random().nextLong());
        return choice instanceof Choice.Placed placed
                ? Optional.of(placed.target())
                : Optional.empty();
    }
}
