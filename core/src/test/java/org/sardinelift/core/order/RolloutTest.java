package org.sardinelift.core.order;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.sardinelift.core.batch.Holder;

class RolloutTest {
    private static final OrderBounds BOUNDS = RolloutSimulation.BOUNDS;
    private long nowNanos;
    private long number;
    private final RolloutPlanner planner = RolloutPlanner.of(1, BOUNDS, List.of(), nowNanos);

    private static RolloutSpec spec(String id, long revision, double least, boolean stopped) {
        return new RolloutSpec(
                "r", id, revision, "s", RolloutGoal.version("m", "2"), least, stopped);
    }

    private static TargetView view(String name, String version) {
        return new TargetView(name, "s", true, Set.of("m"), Map.of("m", version), "");
    }

    private Rollout plan(RolloutSpec spec, TargetView... fleet) {
        nowNanos += Duration.ofSeconds(2).toNanos();
        planner.plan(List.of(spec), List.of(fleet), nowNanos);
        Rollout rollout = planner.rollouts().get("r");
        assertTrue(
                !rollout.isDirty() || rollout.dueOrders(nowNanos).isEmpty(),
                "orders before the state was written");
        rollout.onWritten();
        return rollout;
    }

    private List<TargetOrder> sendDue(Rollout rollout) {
        List<TargetOrder> due = new ArrayList<>(rollout.dueOrders(nowNanos));
        due.forEach(order -> rollout.onSent(order.target(), ++number, nowNanos));
        return due;
    }

    @Test
    void unreachableLeastServingEndsTheRolloutAtOnceWithARemedy() {
        Rollout rollout = plan(spec("a", 1, 1, false), view("t1", "1"), view("t2", "1"));
        assertEquals(RolloutPhase.ROLLED_BACK, rollout.state().phase());
        assertTrue(rollout.state().rollbackReason().contains("set it lower"));
    }

    @Test
    void targetMovesOnlyWithTheResultOfItsOrderAndItsReport() {
        RolloutSpec spec = spec("a", 1, 0.5, false);
        Rollout rollout = plan(spec, view("t1", "1"), view("t2", "1"));
        assertEquals(List.of("t1"), sendDue(rollout).stream().map(TargetOrder::target).toList());
        plan(spec, view("t1", "2"), view("t2", "1"));
        assertEquals(StepState.ORDERED, rollout.state().steps().get("t1").state());
        rollout.onResult(number, true, true, "", nowNanos);
        plan(spec, view("t1", "1"), view("t2", "1"));
        assertEquals(StepState.ORDERED, rollout.state().steps().get("t1").state());
        plan(spec, view("t1", "2"), view("t2", "1"));
        assertEquals(StepState.MOVED, rollout.state().steps().get("t1").state());
        assertEquals(List.of("t2"), sendDue(rollout).stream().map(TargetOrder::target).toList());
    }

    @Test
    void aStopGoesBackByAnOrderOfItsOwn() {
        Rollout rollout = plan(spec("a", 1, 0.5, false), view("t1", "1"), view("t2", "1"));
        sendDue(rollout);
        long load = number;
        plan(spec("a", 2, 0.5, true), view("t1", "1"), view("t2", "1"));
        assertEquals("stopped by the operator", rollout.state().rollbackReason());
        assertEquals(List.of(new TargetOrder("t1", OrderAction.LOAD, "m", "1")), sendDue(rollout));
        rollout.onResult(load, true, true, "", nowNanos);
        plan(spec("a", 2, 0.5, true), view("t1", "1"), view("t2", "1"));
        assertEquals(RolloutPhase.ROLLING_BACK, rollout.state().phase());
        rollout.onResult(number, true, true, "", nowNanos);
        plan(spec("a", 2, 0.5, true), view("t1", "1"), view("t2", "1"));
        assertEquals(RolloutPhase.ROLLED_BACK, rollout.state().phase());
    }

    @Test
    void roleAndNewAdapterAreRolledBackToTheirPreviousValue() {
        TargetView target = new TargetView("t", "s", true, Set.of("m"), Map.of("m", "1"), "decode");
        RolloutGoal role = RolloutGoal.role("prefill");
        assertEquals(
                new TargetOrder("t", OrderAction.ROLE, "decode", ""),
                role.orderFor("t", role.currentValue(target).orElseThrow()));
        RolloutGoal adapter = RolloutGoal.version("adapter", "1");
        assertEquals(
                new TargetOrder("t", OrderAction.UNLOAD, "adapter", ""),
                adapter.orderFor("t", adapter.currentValue(target).orElseThrow()));
        TargetView silent = new TargetView("t", "s", true, Set.of("m"), Map.of(), "");
        assertTrue(RolloutGoal.version("m", "2").currentValue(silent).isEmpty());
        assertTrue(role.currentValue(silent).isEmpty());
    }

    @Test
    void oldListDoesNotRestartAnEndedRollout() {
        Rollout rollout = plan(spec("b", 5, 0.5, false), view("t1", "2"));
        assertEquals(RolloutPhase.COMPLETED, rollout.state().phase());
        plan(spec("a", 1, 0.5, false), view("t1", "1"));
        assertEquals("b", rollout.state().spec().id());
    }

    @Test
    void whatWasReadAtATakeOverIsWrittenBeforeAnyOrder() {
        RolloutSpec spec = spec("a", 1, 0.5, false);
        RolloutState old =
                RolloutState.initial(spec, 1)
                        .withStep("t1", new RolloutStep("1", StepState.ORDERED));
        RolloutPlanner next = RolloutPlanner.of(2, BOUNDS, List.of(old), nowNanos);
        nowNanos += Duration.ofSeconds(2).toNanos();
        next.plan(List.of(spec), List.of(view("t1", "2"), view("t2", "1")), nowNanos);
        Rollout rollout = next.rollouts().get("r");
        assertTrue(rollout.isDirty());
        assertEquals(List.of(), rollout.dueOrders(nowNanos));
        assertEquals(2, rollout.state().fence());
        rollout.onWritten();
        assertEquals(List.of("t1"), sendDue(rollout).stream().map(TargetOrder::target).toList());
    }

    @Test
    void orderThatDidNotReachItsTargetIsSentAgain() {
        RolloutSpec spec = spec("a", 1, 0.5, false);
        Rollout rollout = plan(spec, view("t1", "1"), view("t2", "1"));
        sendDue(rollout);
        rollout.onResult(number, false, false, "the platform is away", nowNanos);
        plan(spec, view("t1", "1"), view("t2", "1"));
        assertEquals(RolloutPhase.RUNNING, rollout.state().phase());
        assertEquals(1, sendDue(rollout).size());
    }

    @Test
    void aPausedControllerTakesNoNumberAndANewClaimNumbersAboveAll() {
        Holder first = new Holder("e1", "x");
        ControllerLease old = ControllerLease.of(first, BOUNDS);
        LeaseRecord claim = old.onRead(LeaseRecord.NONE, 0, 0).orElseThrow();
        old.onWritten(claim, 0);
        long last = old.nextNumber(1).orElseThrow();
        assertTrue(old.nextNumber(BOUNDS.leaseValid().toNanos()).isEmpty());

        ControllerLease next = ControllerLease.of(new Holder("e2", "y"), BOUNDS);
        assertTrue(next.onRead(claim, 1, 0).isEmpty());
        LeaseRecord newClaim = LeaseRecord.NONE;
        for (long second = 1; second <= 11; second++) {
            newClaim =
                    next.onRead(claim, 1, Duration.ofSeconds(second).toNanos())
                            .orElse(LeaseRecord.NONE);
            assertEquals(second > 10, newClaim != LeaseRecord.NONE);
        }
        next.onWritten(newClaim, 0);
        assertTrue(next.nextNumber(1).orElseThrow() > last);
        assertTrue(old.onRead(newClaim, 2, Duration.ofSeconds(12).toNanos()).isEmpty());
        assertFalse(old.isValid(Duration.ofSeconds(12).toNanos()));
    }
}
