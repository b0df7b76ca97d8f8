package org.sardinelift.core.load;

import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Chooses the target of an online call, or refuses the call at once.
 *
 * <p>Steps of traffic fill every slot for seconds. A call is sent where its first event is expected
 * within its objective: to a free slot, else to a slot from which a batch item is preempted, else
 * to the shortest queue (join the shortest queue, by expected wait). If no target can meet the
 * objective, the call is refused, since it would also take the slot of a call that can be in time.
 *
 * <p>A target that limits the rate of its requests is used only when calls hold all slots of the
 * others. Its few requests serve more in a peak of calls, or for batch items, which run for
 * seconds: an item that is preempted elsewhere can go on there undisturbed. While its limit allows
 * no request it has a queue, however many of its slots are free.
 *
 * <p>A caller that returns after a refusal may wait longer than others, so that no call is refused
 * twice while there is any capacity.
 */
public final class Placement {
    /**
     * Calls on a target that delay another one as much as a new connection to it does: two network
     * hops and the work of accepting it.
     */
    private static final double CONNECTION_COST_CALLS = 1.5;

    /**
     * Part of the measured work time that a target may state at least. Measured times vary with the
     * length of the calls; one that states far less is wrong.
     */
    private static final double TRUSTED_PART_OF_MEASURED = 0.8;

    private final String zone;
    private final Duration margin;

    private Placement(String zone, Duration margin) {
        this.zone = zone;
        this.margin = margin;
    }

    /**
     * Creates a placement.
     *
     * @param zone availability zone of this instance, whose targets are preferred
     * @param margin part of the objective that is reserved for errors of the estimate
     * @return the placement
     */
    public static Placement of(String zone, Duration margin) {
        return new Placement(zone, margin);
    }

    /** The decision on a call. */
    public sealed interface Choice {
        /**
         * The call is sent.
         *
         * @param target the target that it is sent to
         */
        record Placed(TargetLoad target) implements Choice {}

        /**
         * The call is refused.
         *
         * @param retryAfter time until a target is expected to meet the objective
         * @param hasNoTarget whether no target can run the call
         */
        record Refused(Duration retryAfter, boolean hasNoTarget) implements Choice {}
    }

    /**
     * Chooses the target of a call.
     *
     * @param targets targets that can run the call
     * @param left time left until the first event is due
     * @param draw number distributed evenly over the calls, which decides between equal targets
     * @return the decision
     */
    public Choice choose(List<TargetLoad> targets, Duration left, long draw) {
        if (targets.isEmpty()) {
            return new Choice.Refused(Duration.ZERO, true);
        }
        long budget = left.minus(margin).toNanos();
        List<TargetLoad> inTime =
                matching(targets, target -> target.expectedFirstEventNanos() <= budget);
        List<TargetLoad> unlimited = matching(inTime, target -> !target.isRateLimited());
        List<TargetLoad> free = matching(unlimited, TargetLoad::isFree);
        return leastUtilized(matching(free, this::isInZone), draw)
                .or(() -> leastUtilized(free, draw))
                .or(() -> leastUtilized(matching(unlimited, TargetLoad::isFreeForOnline), draw))
                .or(() -> leastUtilized(matching(inTime, TargetLoad::isFree), draw))
                .or(() -> leastUtilized(matching(inTime, TargetLoad::isFreeForOnline), draw))
                .or(() -> earliestFirstEvent(inTime, draw))
                .<Choice>map(Choice.Placed::new)
                .orElseGet(() -> new Choice.Refused(timeUntilCapacity(targets, budget), false));
    }

    /**
     * Chooses the target of a call that {@link #choose} refuses though slots are free, as all
     * targets were slow. Only answers correct such an estimate, so a target without a call of this
     * instance gets one; else an instance would go on to refuse calls after its targets have
     * recovered.
     *
     * @param unmeasured targets that run no online call of this instance
     * @param draw number distributed evenly over the calls
     * @return a target with a free slot, or empty if there is none
     */
    public Optional<TargetLoad> chooseToMeasure(List<TargetLoad> unmeasured, long draw) {
        return leastUtilized(matching(unmeasured, TargetLoad::isFree), draw)
                .or(() -> leastUtilized(matching(unmeasured, TargetLoad::isFreeForOnline), draw));
    }

    private boolean isInZone(TargetLoad target) {
        return target.zone().equals(zone);
    }

    /**
     * The target with the lowest share of slots in use, or where targets state how long work takes,
     * the one at which the call is expected to end first. Of equals the local one wins.
     */
    private Optional<TargetLoad> leastUtilized(List<TargetLoad> targets, long draw) {
        boolean areSpeedsStated = targets.stream().anyMatch(target -> target.workTime() > 0);
        double meanCallNanos =
                targets.stream().mapToLong(TargetLoad::callNanos).average().orElse(1);
        return targets.stream()
                .min(
                        Comparator.comparingDouble(
                                        (TargetLoad target) ->
                                                areSpeedsStated
                                                        ? expectedCallTime(target, meanCallNanos)
                                                        : utilization(target))
                                .thenComparing(target -> !isInZone(target))
                                .thenComparingLong(target -> tieBreaker(target, draw)));
    }

    private static double utilization(TargetLoad target) {
        return callsPerSlot(target)
                + (double) target.timeToFirstEventNanos() / Duration.ofSeconds(1).toNanos();
    }

    /**
     * Time that a call takes at a target, as a multiple of that at an empty target of usual speed.
     * Targets run their calls in batches, each step of which takes longer the more calls there are.
     */
    private static double expectedCallTime(TargetLoad target, double meanCallNanos) {
        double stated = target.workTime() > 0 ? target.workTime() : 1;
        double measured = target.callNanos() / Math.max(1, meanCallNanos);
        return Math.max(stated, TRUSTED_PART_OF_MEASURED * measured) * (1 + callsPerSlot(target));
    }

    private static double callsPerSlot(TargetLoad target) {
        double connection = target.needsConnection() ? CONNECTION_COST_CALLS : 0;
        double calls = (target.calls().online() + target.calls().total()) / 2.0 + connection;
        return calls / Math.max(1, target.slots());
    }

    private Optional<TargetLoad> earliestFirstEvent(List<TargetLoad> targets, long draw) {
        return targets.stream()
                .min(
                        Comparator.comparingLong(TargetLoad::expectedFirstEventNanos)
                                .thenComparing(target -> !isInZone(target))
                                .thenComparingLong(target -> tieBreaker(target, draw)));
    }

    private static long tieBreaker(TargetLoad target, long draw) {
        return (target.id().hashCode() * 0x9E3779B97F4A7C15L) ^ draw;
    }

    private static Duration timeUntilCapacity(List<TargetLoad> targets, long budget) {
        long earliestFirstEvent =
                targets.stream()
                        .mapToLong(TargetLoad::expectedFirstEventNanos)
                        .min()
                        .orElse(budget);
        return Duration.ofNanos(Math.max(0, earliestFirstEvent - budget));
    }

    private static List<TargetLoad> matching(
            List<TargetLoad> targets, Predicate<TargetLoad> predicate) {
        return targets.stream().filter(predicate).toList();
    }
}
