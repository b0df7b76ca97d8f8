package org.sardinelift.core.gate;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/**
 * Guards against wrong choices of the call to preempt, and against batch calls that get too many or
 * too few slots after online peaks, late load reports, or while the gate is closed or disabled.
 */
class SlotGateTest {
    private static final GateSettings SETTINGS =
            new GateSettings(true, 4, 10, 10, 0, 0, 3, 1_000, 500, 50, 1_000);

    private final GateModel model = new GateModel(SETTINGS);

    private static GateCall online(String id) {
        return new GateCall(id, "a", 1, false, 100_000, false, false);
    }

    private static GateCall batch(String id, boolean resumable) {
        return new GateCall(id, "a", 1, true, 100_000, resumable, false);
    }

    private void fillWithBatch(boolean resumable) {
        IntStream.range(0, 4).forEach(i -> model.submit(batch("b" + i, resumable)));
        model.performed.clear();
    }

    @Test
    void onlineCallPreemptsBatchCallWithLeastProgress() {
        fillWithBatch(false);
        IntStream.range(0, 4).forEach(i -> model.gate.recordProgress("b" + i, i == 2 ? 5 : 100));
        model.submit(online("o"));
        assertEquals(
                List.of(new GateAction.Preempt("b2", false), new GateAction.Run("o")),
                model.performed);
    }

    @Test
    void resumableCallIsPreemptedFirst() {
        fillWithBatch(false);
        model.release("b3");
        model.performed.clear();
        model.submit(batch("r", true));
        model.gate.recordProgress("r", 1_000);
        model.performed.clear();
        model.submit(online("o"));
        assertEquals(
                List.of(new GateAction.Preempt("r", true), new GateAction.Run("o")),
                model.performed);
        model.release("o");
        model.release("b0");
        assertEquals(new GateAction.Run("r"), model.performed.get(model.performed.size() - 1));
    }

    @Test
    void preemptedCallThatGetsNoSlotInTimeIsRefusedAsPreempted() {
        fillWithBatch(true);
        IntStream.range(0, 4).forEach(i -> model.submit(online("o" + i)));
        model.advanceTime(SETTINGS.resumeWaitMs());
        assertEquals(
                4, model.performed.stream().filter(SlotGateTest::isRefusedAsPreempted).count());
    }

    private static boolean isRefusedAsPreempted(GateAction action) {
        return action instanceof GateAction.Refuse refuse
                && refuse.reason() == GateRefusal.PREEMPTED
                && refuse.hadSlot();
    }

    @Test
    void batchLeavesReserveAfterOnlinePeakUntilItHasDecayed() {
        IntStream.range(0, 3).forEach(i -> model.submit(online("o" + i)));
        IntStream.range(0, 3).forEach(i -> model.release("o" + i));
        IntStream.range(0, 4).forEach(i -> model.submit(batch("b" + i, false)));
        assertEquals(1, model.gate.batchRunning());
        model.advanceTime(20_000);
        assertEquals(4, model.gate.batchRunning());
    }

    @Test
    void lateReportOfOwnCallsTakesNoSlotFromBatch() {
        model.submit(online("o0"));
        model.submit(online("o1"));
        model.advanceTime(500);
        model.release("o0");
        model.release("o1");
        model.advanceTime(200);
        int freeBefore = model.gate.batchFree(model.nowMs);
        model.reportLoad(new EngineLoad(2, 0, 4, 300));
        assertEquals(freeBefore, model.gate.batchFree(model.nowMs));
    }

    @Test
    void foreignLoadTakesSlotsFromBatchUntilTheReportExpires() {
        model.reportLoad(new EngineLoad(3, 0, 4, 0));
        assertEquals(1, model.gate.batchFree(model.nowMs));
        model.advanceTime(SETTINGS.reportTtlMs() + 1);
        assertEquals(4, model.gate.batchFree(model.nowMs));
    }

    @Test
    void batchCallsAheadAreRequestedOnlyWhileBatchMayRun() {
        GateSettings aheadSettings =
                new GateSettings(true, 4, 10, 10, 2, 0, 3, 1_000, 500, 50, 1_000);
        GateModel aheadModel = new GateModel(aheadSettings);
        assertEquals(6, aheadModel.gate.batchFree(0));
        IntStream.range(0, 5).forEach(i -> aheadModel.submit(batch("b" + i, false)));
        assertEquals(1, aheadModel.gate.batchFree(0));
        IntStream.range(0, 4).forEach(i -> aheadModel.submit(online("o" + i)));
        assertEquals(0, aheadModel.gate.batchFree(0));
    }

    @Test
    void closedGateRefusesWaitingAndNewCalls() {
        IntStream.range(0, 5).forEach(i -> model.submit(online("o" + i)));
        List<GateAction> actions = model.gate.close(GateRefusal.TARGET_LEAVING);
        GateAction expected = new GateAction.Refuse("o4", GateRefusal.TARGET_LEAVING, false);
        assertEquals(List.of(expected), actions);
        assertEquals(
                List.of(new GateAction.Refuse("o5", GateRefusal.TARGET_LEAVING, false)),
                model.gate.submit(model.nowMs, online("o5")));
        assertEquals(4, model.gate.onlineRunning());
    }

    @Test
    void disabledGateStartsEachCallAtOnce() {
        GateSettings disabled = new GateSettings(false, 1, 1, 1, 0, 0, 0, 1_000, 500, 50, 1_000);
        SlotGate gate = SlotGate.create(disabled);
        IntStream.range(0, 9)
                .forEach(
                        i ->
                                assertEquals(
                                        List.of(new GateAction.Run("b" + i)),
                                        gate.submit(0, batch("b" + i, false))));
    }
}
