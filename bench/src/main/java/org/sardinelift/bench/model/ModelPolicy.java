package org.sardinelift.bench.model;

import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.sardinelift.core.load.Placement;
import org.sardinelift.core.load.Placement.Choice;
import org.sardinelift.core.load.TargetLoad;

/** How the gateways of the model choose the target of an online call. */
public enum ModelPolicy {
    /** The product's own choice with what reports tell. */
    PRODUCT("product") {
        @Override
        Optional<TargetLoad> choose(Situation situation) {
            return placed(situation, situation.known());
        }
    },
    /** The product's own choice with knowledge that is never old: one queue for all. */
    COMMON_QUEUE("common queue") {
        @Override
        Optional<TargetLoad> choose(Situation situation) {
            return placed(situation, situation.exact());
        }
    },
    /** Any target. */
    RANDOM("random") {
        @Override
        Optional<TargetLoad> choose(Situation situation) {
            List<TargetLoad> targets = situation.known();
            return Optional.of(targets.get(situation.random().nextInt(targets.size())));
        }
    },
    /** Each target in turn. */
    ROUND_ROBIN("round robin") {
        @Override
        Optional<TargetLoad> choose(Situation situation) {
            List<TargetLoad> targets = situation.known();
            return Optional.of(targets.get((int) (situation.turn() % targets.size())));
        }
    },
    /** The target with the fewest calls of this gateway. */
    LEAST_OWN("least own calls") {
        @Override
        Optional<TargetLoad> choose(Situation situation) {
            return situation.own().stream()
                    .min(Comparator.comparingInt(target -> target.calls().online()));
        }
    },
    /** The better of two random targets by the calls of this gateway. */
    TWO_CHOICES("two choices") {
        @Override
        Optional<TargetLoad> choose(Situation situation) {
            List<TargetLoad> targets = situation.own();
            TargetLoad first = targets.get(situation.random().nextInt(targets.size()));
            TargetLoad second = targets.get(situation.random().nextInt(targets.size()));
            return Optional.of(second.calls().online() < first.calls().online() ? second : first);
        }
    };

    private final String label;

    ModelPolicy(String label) {
        this.label = label;
    }

    /**
     * Name in tables.
     *
     * @return the name
     */
    public String label() {
        return label;
    }

    /**
     * What a gateway chooses by.
     *
     * @param known loads as reports tell
     * @param exact loads as they are
     * @param own loads by the calls of this gateway alone
     * @param zone zone of the gateway
     * @param within time for the first event
     * @param turn count of choices
     * @param random random numbers
     */
    record Situation(
            List<TargetLoad> known,
            List<TargetLoad> exact,
            List<TargetLoad> own,
            String zone,
            Duration within,
            long turn,
            Random random) {}

    abstract Optional<TargetLoad> choose(Situation situation);

    private static final Duration MARGIN = Duration.ofMillis(30);

    private static Optional<TargetLoad> placed(Situation situation, List<TargetLoad> loads) {
        Choice choice =
                Placement.of(situation.zone(), MARGIN)
                        .choose(loads, situation.within(), situation.random().nextLong());
        return choice instanceof Choice.Placed place
                ? Optional.of(place.target())
                : Optional.empty();
    }
}
