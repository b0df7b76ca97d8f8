package org.sardinelift.core.order;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;

/**
 * One roll-out under one lease. {@link #plan} decides on the next state. The state is written
 * before {@link #dueOrders} returns any order that follows from it, so an entry that takes over
 * knows which orders may be under way.
 */
public final class Rollout {
    private final OrderBounds bounds;
    private final LoadPacer pacer;
    private final Map<String, PendingOrder> orders = new HashMap<>();
    private final Map<String, Long> absentSince = new HashMap<>();
    private RolloutState state;
    private boolean isDirty;

    private Rollout(RolloutState state, boolean needsWrite, OrderBounds bounds, LoadPacer pacer) {
        this.state = state;
        this.isDirty = needsWrite;
        this.bounds = bounds;
        this.pacer = pacer;
    }

    /**
     * Starts a roll-out without a stored state.
     *
     * @param spec the roll-out wanted
     * @param fence fence of the lease
     * @param bounds bounds of orders
     * @param pacer limits the rate of loads
     * @return the roll-out, whose state is to be written
     */
    static Rollout begin(RolloutSpec spec, long fence, OrderBounds bounds, LoadPacer pacer) {
        return new Rollout(RolloutState.initial(spec, fence), true, bounds, pacer);
    }

    /**
     * Resumes a roll-out. Its state is written once before any order, as the state read may be old.
     *
     * @param state state read from the platform
     * @param fence fence of the lease
     * @param bounds bounds of orders
     * @param pacer limits the rate of loads
     * @return the roll-out
     */
    static Rollout resume(RolloutState state, long fence, OrderBounds bounds, LoadPacer pacer) {
        boolean isOpen = !state.phase().isTerminal();
        return new Rollout(isOpen ? state.withFence(fence) : state, isOpen, bounds, pacer);
    }

    /**
     * Returns the newest state.
     *
     * @return the state, to be written if {@link #isDirty}
     */
    public RolloutState state() {
        return state;
    }

    /**
     * Whether the state is to be written before orders are given.
     *
     * @return true if it differs from the stored state
     */
    public boolean isDirty() {
        return isDirty;
    }

    /** The state was written to the platform. */
    public void onWritten() {
        isDirty = false;
    }

    void plan(
            Optional<RolloutSpec> wanted,
            List<TargetView> fleet,
            Set<String> busy,
            long fence,
            long nowNanos) {
        RolloutState next = state;
        Optional<RolloutSpec> newer = wanted.filter(spec -> spec.isNewerThan(state.spec()));
        if (next.phase().isTerminal() && newer.isPresent()) {
            next = RolloutState.initial(newer.get(), fence);
            orders.clear();
            absentSince.clear();
        }
        if (!next.phase().isTerminal()) {
            next = step(next, wanted, fleet, busy, nowNanos);
        }
        orders.keySet().retainAll(next.activeTargets());
        isDirty = isDirty || !next.equals(state);
        state = next;
    }

    private RolloutState step(
            RolloutState from,
            Optional<RolloutSpec> wanted,
            List<TargetView> fleet,
            Set<String> busy,
            long nowNanos) {
        Map<String, TargetView> targets =
                fleet.stream()
                        .filter(target -> target.service().equals(from.spec().service()))
                        .collect(Collectors.toMap(TargetView::name, Function.identity()));
        RolloutState next =
                dropGoneTargets(applyResults(from, targets, nowNanos), targets, nowNanos);
        Optional<String> stopReason =
                next.phase() == RolloutPhase.RUNNING
                        ? stopReason(next.spec(), wanted)
                        : Optional.empty();
        if (stopReason.isPresent()) {
            next = next.rollBack(stopReason.get());
        }
        // An order that was given up must not count as the order that rolls the target back.
        orders.keySet().retainAll(next.activeTargets());
        RolloutStepPlanner stepPlanner = new RolloutStepPlanner(targets, busy, bounds);
        return next.phase() == RolloutPhase.RUNNING
                ? stepPlanner.advance(next)
                : stepPlanner.rollBack(next);
    }

    private static Optional<String> stopReason(RolloutSpec running, Optional<RolloutSpec> wanted) {
        if (wanted.filter(spec -> spec.isNewerThan(running)).isPresent()) {
            return Optional.of("another roll-out was started in its place");
        }
        return wanted.filter(spec -> spec.id().equals(running.id()))
                .filter(RolloutSpec::isStopped)
                .map(spec -> "stopped by the operator");
    }

    /** Applies the results of the orders. */
    private RolloutState applyResults(
            RolloutState from, Map<String, TargetView> targets, long nowNanos) {
        RolloutState next = from;
        for (String name : from.activeTargets()) {
            PendingOrder order = orders.get(name);
            RolloutStep step = next.steps().get(name);
            if (order == null || step == null || !step.state().isActive()) {
                continue;
            }
            if (isConfirmed(from, step, order, targets.get(name))) {
                orders.remove(name);
                next = next.withStep(name, step.withState(stateAfter(step)));
            } else if (order.state() == PendingOrder.State.REFUSED) {
                next = handleFailedOrder(next, name, targets.get(name), order.detail(), nowNanos);
            } else if (nowNanos - order.startedNanos() > bounds.loadTimeout().toNanos()) {
                String bound = bounds.loadTimeout().toMillis() + " ms";
                String reason =
                        "order not completed and target not serving again within "
                                + bound
                                + " "
                                + order.detail();
                next = handleFailedOrder(next, name, null, reason.strip(), nowNanos);
            }
        }
        return next;
    }

    private static StepState stateAfter(RolloutStep step) {
        return step.state() == StepState.ORDERED ? StepState.MOVED : StepState.RETURNED;
    }

    private static boolean isConfirmed(
            RolloutState from, RolloutStep step, PendingOrder order, TargetView target) {
        if (order.state() != PendingOrder.State.ACCEPTED || target == null) {
            return false;
        }
        RolloutGoal goal = from.spec().goal();
        String orderedValue = orderedValue(from, step);
        return goal.currentValue(target).filter(orderedValue::equals).isPresent()
                && (orderedValue.isEmpty() || goal.isServing(target));
    }

    private static String orderedValue(RolloutState from, RolloutStep step) {
        return step.state() == StepState.ORDERED
                ? from.spec().goal().wanted()
                : step.previousValue();
    }

    private RolloutState handleFailedOrder(
            RolloutState from,
            String name,
            @Nullable TargetView target,
            String reason,
            long nowNanos) {
        RolloutStep step = from.steps().get(name);
        if (step.state() == StepState.RETURNING) {
            PendingOrder order = orders.get(name);
            long retryNanos = nowNanos + bounds.retryPause().toNanos();
            orders.put(
                    name,
                    new PendingOrder(
                            order.number(),
                            retryNanos,
                            PendingOrder.State.RETRY,
                            retryNanos,
                            order.detail()));
            return from.withProblem(name + " does not go back: " + reason);
        }
        orders.remove(name);
        // A target that refused runs no order, so its report can be trusted.
        boolean isUnchanged =
                target != null
                        && from.spec()
                                .goal()
                                .currentValue(target)
                                .filter(step.previousValue()::equals)
                                .isPresent();
        return from.withStep(
                        name, step.withState(isUnchanged ? StepState.RETURNED : StepState.DOUBTFUL))
                .rollBack(name + ": " + reason);
    }

    /** Gives up targets that are no longer seen. */
    private RolloutState dropGoneTargets(
            RolloutState from, Map<String, TargetView> targets, long nowNanos) {
        RolloutState next = from;
        absentSince.keySet().removeIf(name -> targets.containsKey(name));
        for (Map.Entry<String, RolloutStep> entry : from.steps().entrySet()) {
            String name = entry.getKey();
            StepState at = entry.getValue().state();
            if (targets.containsKey(name) || at == StepState.RETURNED) {
                continue;
            }
            long since = absentSince.computeIfAbsent(name, absent -> nowNanos);
            if (nowNanos - since <= bounds.goneTimeout().toNanos()) {
                continue;
            }
            if (next.phase() == RolloutPhase.ROLLING_BACK) {
                next = next.withoutTarget(name).withProblem(name + " left before it was back");
            } else if (at == StepState.ORDERED) {
                next = next.withStep(name, entry.getValue().withState(StepState.DOUBTFUL));
            }
        }
        return next;
    }

    /**
     * Returns the orders to send now. The caller reports each to {@link #onSent} or {@link
     * #onSendFailed}.
     *
     * @param nowNanos current time, monotonic
     * @return the orders, none while the state is to be written
     */
    public List<TargetOrder> dueOrders(long nowNanos) {
        return isDirty
                ? List.of()
                : state.activeTargets().stream()
                        .sorted()
                        .filter(name -> isDue(name, nowNanos))
                        .map(name -> order(name))
                        .filter(
                                order ->
                                        !order.action().usesWeightStore()
                                                || pacer.tryAcquire(nowNanos))
                        .toList();
    }

    private boolean isDue(String name, long nowNanos) {
        PendingOrder order = orders.get(name);
        return order == null
                || order.state() == PendingOrder.State.RETRY
                        && nowNanos - order.retryAtNanos() >= 0;
    }

    private TargetOrder order(String name) {
        return state.spec().goal().orderFor(name, orderedValue(state, state.steps().get(name)));
    }

    /**
     * An order was sent.
     *
     * @param target name of the companion
     * @param number fencing number of the order
     * @param nowNanos current time, monotonic
     */
    public void onSent(String target, long number, long nowNanos) {
        PendingOrder previous = orders.get(target);
        long started = previous == null ? nowNanos : Math.min(previous.startedNanos(), nowNanos);
        orders.put(target, new PendingOrder(number, started, PendingOrder.State.SENT, 0, ""));
    }

    /**
     * An order could not be sent.
     *
     * @param target name of the companion
     * @param nowNanos current time, monotonic
     */
    public void onSendFailed(String target, long nowNanos) {
        PendingOrder previous = orders.get(target);
        long started = previous == null ? nowNanos : previous.startedNanos();
        long retryNanos = nowNanos + bounds.retryPause().toNanos();
        orders.put(
                target,
                new PendingOrder(
                        0,
                        started,
                        PendingOrder.State.RETRY,
                        retryNanos,
                        "its companion is not connected"));
    }

    /**
     * The result of an order was received. Only the result of the newest order to a target counts,
     * as an older one doesn't show what runs now.
     *
     * @param number fencing number of the order
     * @param isAccepted whether the target executed the order
     * @param isForwarded whether the target received the order
     * @param detail explanation of the target or its companion
     * @param nowNanos current time, monotonic
     */
    public void onResult(
            long number, boolean isAccepted, boolean isForwarded, String detail, long nowNanos) {
        long retryNanos = nowNanos + bounds.retryPause().toNanos();
        orders.replaceAll(
                (name, order) -> {
                    if (order.number() != number || order.state() != PendingOrder.State.SENT) {
                        return order;
                    }
                    if (isAccepted) {
                        return order.withState(PendingOrder.State.ACCEPTED, detail);
                    }
                    return isForwarded
                            ? order.withState(PendingOrder.State.REFUSED, detail)
                            : order.retryAt(retryNanos, detail);
                });
    }

    /**
     * The connection to a companion was lost, and with it any result on its way.
     *
     * @param target name of the companion
     * @param nowNanos current time, monotonic
     */
    public void onConnectionLost(String target, long nowNanos) {
        orders.computeIfPresent(
                target,
                (name, order) ->
                        order.state() == PendingOrder.State.SENT
                                ? order.retryAt(nowNanos, "the connection was lost")
                                : order);
    }
}
