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
 * One roll-out under one lease. {@link #plan} decides; its state is written before {@link
 * #dueOrders} gives any order that follows from it, so whoever takes over knows what may be under
 * way.
 */
public final class Rollout {
    private final OrderBounds bounds;
    private final LoadPacer pacer;
    private final Map<String, PendingOrder> flights = new HashMap<>();
    private final Map<String, Long> absentSince = new HashMap<>();
    private RolloutState state;
    private boolean isDirty;

    private Rollout(RolloutState state, boolean dirty, OrderBounds bounds, LoadPacer pacer) {
        this.state = state;
        this.isDirty = dirty;
        this.bounds = bounds;
        this.pacer = pacer;
    }

    /**
     * Begins a roll-out of which the platform holds no state.
     *
     * @param spec what is wanted
     * @param fence number of the lease
     * @param bounds bounds
     * @param pacer the weight store's rate
     * @return the roll-out, to be written
     */
    static Rollout begin(RolloutSpec spec, long fence, OrderBounds bounds, LoadPacer pacer) {
        return new Rollout(RolloutState.initial(spec, fence), true, bounds, pacer);
    }

    /**
     * Goes on with a roll-out. Its state is written once before any order, as what was read may be
     * old.
     *
     * @param state what the platform holds
     * @param fence number of the lease
     * @param bounds bounds
     * @param pacer the weight store's rate
     * @return the roll-out
     */
    static Rollout resume(RolloutState state, long fence, OrderBounds bounds, LoadPacer pacer) {
        boolean open = !state.phase().isTerminal();
        return new Rollout(open ? state.withFence(fence) : state, open, bounds, pacer);
    }

    /**
     * The newest state.
     *
     * @return the state, to be written where {@link #isDirty}
     */
    public RolloutState state() {
        return state;
    }

    /**
     * Whether the state is to be written before orders are given.
     *
     * @return true where the platform holds another
     */
    public boolean isDirty() {
        return isDirty;
    }

    /** Notes that the platform holds the state. */
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
            flights.clear();
            absentSince.clear();
        }
        if (!next.phase().isTerminal()) {
            next = step(next, wanted, fleet, busy, nowNanos);
        }
        flights.keySet().retainAll(next.activeTargets());
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
        RolloutState next = dropGone(settle(from, targets, nowNanos), targets, nowNanos);
        Optional<String> stop =
                next.phase() == RolloutPhase.RUNNING ? stop(next.spec(), wanted) : Optional.empty();
        if (stop.isPresent()) {
            next = next.rollBack(stop.get());
        }
        // An order given up must not be taken for the one that goes back.
        flights.keySet().retainAll(next.activeTargets());
        RolloutStepPlanner moves = new RolloutStepPlanner(targets, busy, bounds);
        return next.phase() == RolloutPhase.RUNNING ? moves.advance(next) : moves.rollBack(next);
    }

    private static Optional<String> stop(RolloutSpec running, Optional<RolloutSpec> wanted) {
        if (wanted.filter(spec -> spec.isNewerThan(running)).isPresent()) {
            return Optional.of("another roll-out was started in its place");
        }
        return wanted.filter(spec -> spec.id().equals(running.id()))
                .filter(RolloutSpec::isStopped)
                .map(spec -> "stopped by the operator");
    }

    /** Takes in what became of the orders. */
    private RolloutState settle(RolloutState from, Map<String, TargetView> targets, long nowNanos) {
        RolloutState next = from;
        for (String name : from.activeTargets()) {
            PendingOrder flight = flights.get(name);
            RolloutStep step = next.steps().get(name);
            if (flight == null || step == null || !step.state().isActive()) {
                continue;
            }
            if (confirmed(from, step, flight, targets.get(name))) {
                flights.remove(name);
                next = next.withStep(name, step.withState(reached(step)));
            } else if (flight.state() == PendingOrder.State.REFUSED) {
                next = fail(next, name, targets.get(name), flight.detail(), nowNanos);
            } else if (nowNanos - flight.startedNanos() > bounds.loadTimeout().toNanos()) {
                String bound = bounds.loadTimeout().toMillis() + " ms";
                String why = "not done and serving within " + bound + " " + flight.detail();
                next = fail(next, name, null, why.strip(), nowNanos);
            }
        }
        return next;
    }

    private static StepState reached(RolloutStep step) {
        return step.state() == StepState.ORDERED ? StepState.MOVED : StepState.RETURNED;
    }

    private static boolean confirmed(
            RolloutState from, RolloutStep step, PendingOrder flight, TargetView target) {
        if (flight.state() != PendingOrder.State.ACCEPTED || target == null) {
            return false;
        }
        RolloutGoal goal = from.spec().goal();
        String value = value(from, step);
        return goal.currentValue(target).filter(value::equals).isPresent()
                && (value.isEmpty() || goal.isServing(target));
    }

    private static String value(RolloutState from, RolloutStep step) {
        return step.state() == StepState.ORDERED
                ? from.spec().goal().wanted()
                : step.previousValue();
    }

    private RolloutState fail(
            RolloutState from,
            String name,
            @Nullable TargetView target,
            String why,
            long nowNanos) {
        RolloutStep step = from.steps().get(name);
        if (step.state() == StepState.RETURNING) {
            PendingOrder flight = flights.get(name);
            long again = nowNanos + bounds.retryPause().toNanos();
            flights.put(
                    name,
                    new PendingOrder(
                            flight.number(),
                            again,
                            PendingOrder.State.RETRY,
                            again,
                            flight.detail()));
            return from.problem(name + " does not go back: " + why);
        }
        flights.remove(name);
        // A target that refused runs no order, so its report can be taken at its word.
        boolean unchanged =
                target != null
                        && from.spec()
                                .goal()
                                .currentValue(target)
                                .filter(step.previousValue()::equals)
                                .isPresent();
        return from.withStep(
                        name, step.withState(unchanged ? StepState.RETURNED : StepState.DOUBTFUL))
                .rollBack(name + ": " + why);
    }

    /** Gives up targets that are not seen any more. */
    private RolloutState dropGone(
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
                next = next.withoutTarget(name).problem(name + " left before it was back");
            } else if (at == StepState.ORDERED) {
                next = next.withStep(name, entry.getValue().withState(StepState.DOUBTFUL));
            }
        }
        return next;
    }

    /**
     * Orders to send now; for each, {@link #onSent} or {@link #onSendFailed} is called.
     *
     * @param nowNanos time
     * @return the orders, none while the state is to be written
     */
    public List<TargetOrder> dueOrders(long nowNanos) {
        return isDirty
                ? List.of()
                : state.activeTargets().stream()
                        .sorted()
                        .filter(name -> waits(name, nowNanos))
                        .map(name -> order(name))
                        .filter(
                                order ->
                                        !order.action().usesWeightStore()
                                                || pacer.tryAcquire(nowNanos))
                        .toList();
    }

    private boolean waits(String name, long nowNanos) {
        PendingOrder flight = flights.get(name);
        return flight == null
                || flight.state() == PendingOrder.State.RETRY
                        && nowNanos - flight.retryAtNanos() >= 0;
    }

    private TargetOrder order(String name) {
        return state.spec().goal().orderFor(name, value(state, state.steps().get(name)));
    }

    /**
     * An order was sent.
     *
     * @param target name of the companion
     * @param number its fencing number
     * @param nowNanos time
     */
    public void onSent(String target, long number, long nowNanos) {
        PendingOrder before = flights.get(target);
        long started = before == null ? nowNanos : Math.min(before.startedNanos(), nowNanos);
        flights.put(target, new PendingOrder(number, started, PendingOrder.State.SENT, 0, ""));
    }

    /**
     * An order could not be sent.
     *
     * @param target name of the companion
     * @param nowNanos time
     */
    public void onSendFailed(String target, long nowNanos) {
        PendingOrder before = flights.get(target);
        long started = before == null ? nowNanos : before.startedNanos();
        long again = nowNanos + bounds.retryPause().toNanos();
        flights.put(
                target,
                new PendingOrder(
                        0, started, PendingOrder.State.RETRY, again, "it is not connected"));
    }

    /**
     * An order's result has come. Only that of the newest order to a target counts, as an older one
     * says nothing about what runs now.
     *
     * @param number the order's fencing number
     * @param accepted whether the target carried it out
     * @param passedOn whether the target got it
     * @param detail what the target or the companion said
     * @param nowNanos time
     */
    public void onResult(
            long number, boolean accepted, boolean passedOn, String detail, long nowNanos) {
        long again = nowNanos + bounds.retryPause().toNanos();
        flights.replaceAll(
                (name, flight) -> {
                    if (flight.number() != number || flight.state() != PendingOrder.State.SENT) {
                        return flight;
                    }
                    if (accepted) {
                        return flight.withState(PendingOrder.State.ACCEPTED, detail);
                    }
                    return passedOn
                            ? flight.withState(PendingOrder.State.REFUSED, detail)
                            : flight.retryAt(again, detail);
                });
    }

    /**
     * The connection to a companion was lost; a result on its way is lost with it.
     *
     * @param target name of the companion
     * @param nowNanos time
     */
    public void onConnectionLost(String target, long nowNanos) {
        flights.computeIfPresent(
                target,
                (name, flight) ->
                        flight.state() == PendingOrder.State.SENT
                                ? flight.retryAt(nowNanos, "the connection was lost")
                                : flight);
    }
}
