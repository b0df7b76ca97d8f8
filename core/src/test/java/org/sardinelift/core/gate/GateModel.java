package org.sardinelift.core.gate;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;

/** Performs the actions of a gate and checks them against its own record of the calls. */
final class GateModel {
    final SlotGate gate;
    final Map<String, GateCall> running = new LinkedHashMap<>();
    final Map<String, GateCall> waiting = new LinkedHashMap<>();
    final List<GateAction> performed = new ArrayList<>();
    private final Map<String, GateCall> all = new LinkedHashMap<>();
    private final int slots;
    long nowMs;
    int submittedCount;
    int endedCount;

    GateModel(GateSettings settings) {
        gate = SlotGate.create(settings);
        slots = settings.slots();
    }

    void submit(GateCall call) {
        submittedCount++;
        all.put(call.id(), call);
        waiting.put(call.id(), call);
        apply(gate.submit(nowMs, call));
    }

    void release(String id) {
        if (running.remove(id) != null || waiting.remove(id) != null) {
            endedCount++;
        }
        apply(gate.release(nowMs, id));
    }

    void advanceTime(long millis) {
        nowMs += millis;
        apply(gate.tick(nowMs));
    }

    void reportLoad(EngineLoad load) {
        apply(gate.onLoadReport(nowMs, load));
    }

    Optional<String> pickRandom(Map<String, GateCall> from, Random random) {
        return from.isEmpty()
                ? Optional.empty()
                : from.keySet().stream().skip(random.nextInt(from.size())).findFirst();
    }

    private void apply(List<GateAction> actions) {
        performed.addAll(actions);
        for (GateAction action : actions) {
            if (action instanceof GateAction.Run run) {
                GateCall call = waiting.remove(run.id());
                assertNotNull(call, run.id() + " runs but did not wait");
                assertTrue(nowMs < call.deadlineMs(), run.id() + " runs past its deadline");
                running.put(call.id(), call);
            } else if (action instanceof GateAction.Preempt preempt) {
                GateCall call = running.remove(preempt.id());
                assertNotNull(call, preempt.id() + " is preempted but did not run");
                assertTrue(call.isBatch(), "an online call is preempted");
                if (preempt.isRequeued()) {
                    waiting.put(call.id(), call);
                } else {
                    endedCount++;
                }
            } else {
                assertNotNull(waiting.remove(action.id()), action.id() + " is refused twice");
                endedCount++;
            }
        }
        check();
    }

    private void check() {
        long batchCount = running.values().stream().filter(GateCall::isBatch).count();
        assertTrue(running.size() <= slots, "more calls run than there are slots");
        assertEquals(batchCount, gate.batchRunning());
        assertEquals(running.size() - batchCount, gate.onlineRunning());
        assertEquals(waiting.size(), gate.onlineQueued() + gate.batchQueued());
        assertEquals(
                submittedCount, endedCount + running.size() + waiting.size(), "a call was lost");
        long suspectCount = running.values().stream().filter(GateCall::isSuspect).count();
        assertTrue(suspectCount <= 1, "two suspects run at once");
        boolean isOnlineWaiting =
                waiting.values().stream()
                        .anyMatch(
                                call ->
                                        !call.isBatch()
                                                && nowMs < call.deadlineMs()
                                                && (!call.isSuspect() || suspectCount == 0));
        assertFalse(isOnlineWaiting && batchCount > 0, "an online call waits behind batch");
        assertFalse(isOnlineWaiting && running.size() < slots, "a slot stays free");
    }
}
