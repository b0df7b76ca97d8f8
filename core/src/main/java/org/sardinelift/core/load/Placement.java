package org.sardinelift.core.load;

import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Chooses the target of an online call, or refuses the call at once.
 *
 * <p>Loads answered: steps of traffic that fill every slot for seconds. A call is sent where its
 * first event is expected within its objective: to a free slot, else to a slot that a batch item
 * gives up, else into the shortest queue (join the shortest queue, by expected wait). Where no
 * target can meet the objective the call is refused, since it would also take the slot from a call
 * that can be in time. A caller that came back after a refusal may wait longer than others, so that
 * nobody is refused twice while there is room at all.
 */
public final class Placement {
    private final String zone;
    private final Duration margin;

    private Placement(String zone, Duration margin) {
        this.zone = zone;
        this.margin = margin;
    }

    /**
     * Makes a chooser.
     *
     * @param zone availability zone of this instance, whose targets are preferred
     * @param margin part of the objective that is kept for what the estimate misses
     * @return the chooser
     */
    public static Placement of(String zone, Duration margin) {
        return new Placement(zone, margin);
    }

    /** What becomes of a call. */
    public sealed interface Choice {
        /**
         * It is sent.
         *
         * @param target to this one
         */
        record Placed(TargetLoad target) implements Choice {}

        /**
         * It is refused.
         *
         * @param retryAfter when a target is expected to meet the objective
         * @param hasNoTarget whether there is no target at all
         */
        record Refused(Duration retryAfter, boolean hasNoTarget) implements Choice {}
    }

    /**
     * Chooses.
     *
     * @param targets targets that may take the call
     * @param left time left for the first event
     * @param draw number spread evenly over the calls, to part equal targets
     * @return the choice
     */
    public Choice choose(List<TargetLoad> targets, Duration left, long draw) {
        if (targets.isEmpty()) {
            return new Choice.Refused(Duration.ZERO, true);
        }
        long budget = left.minus(margin).toNanos();
        List<TargetLoad> able = only(targets, target -> target.expectedFirstEventNanos() <= budget);
        return emptiest(only(able, target -> target.freeSlots() > 0 && isNear(target)), draw)
                .or(() -> emptiest(only(able, target -> target.freeSlots() > 0), draw))
                .or(() -> emptiest(only(able, target -> target.freeSlotsForOnline() > 0), draw))
                .or(() -> soonest(able, draw))
                .<Choice>map(Choice.Placed::new)
                .orElseGet(() -> new Choice.Refused(untilRoom(targets, budget), false));
    }

    private boolean isNear(TargetLoad target) {
        return target.zone().equals(zone);
    }

    /** The one with the smallest share of its slots taken; the nearer and faster of equals. */
    private Optional<TargetLoad> emptiest(List<TargetLoad> targets, long draw) {
        return targets.stream()
                .min(
                        Comparator.comparingDouble(Placement::fill)
                                .thenComparing(target -> !isNear(target))
                                .thenComparingLong(target -> shuffled(target, draw)));
    }

    private static double fill(TargetLoad target) {
        double calls = (target.calls().online() + target.calls().total()) / 2.0;
        return calls / Math.max(1, target.slots())
                + (double) target.timeToFirstEventNanos() / Duration.ofSeconds(1).toNanos();
    }

    private Optional<TargetLoad> soonest(List<TargetLoad> targets, long draw) {
        return targets.stream()
                .min(
                        Comparator.comparingLong(TargetLoad::expectedFirstEventNanos)
                                .thenComparing(target -> !isNear(target))
                                .thenComparingLong(target -> shuffled(target, draw)));
    }

    private static long shuffled(TargetLoad target, long draw) {
        return (target.id().hashCode() * 0x9E3779B97F4A7C15L) ^ draw;
    }

    private static Duration untilRoom(List<TargetLoad> targets, long budget) {
        long soonest =
                targets.stream()
                        .mapToLong(TargetLoad::expectedFirstEventNanos)
                        .min()
                        .orElse(budget);
        return Duration.ofNanos(Math.max(0, soonest - budget));
    }

    private static List<TargetLoad> only(
            List<TargetLoad> targets, Predicate<TargetLoad> predicate) {
        return targets.stream().filter(predicate).toList();
    }
}
