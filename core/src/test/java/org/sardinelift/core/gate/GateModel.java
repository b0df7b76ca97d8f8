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

/** A driver that does what a gate says and checks it against the calls' own records. */
final class GateModel {
    final SlotGate gate;
    final Map<String, GateCall> running = new LinkedHashMap<>();
    final Map<String, GateCall> waiting = new LinkedHashMap<>();
    final List<GateAction> log = new ArrayList<>();
    private final Map<String, GateCall> all = new LinkedHashMap<>();
    private final int slots;
    long nowMs;
    int submitted;
    int ended;

    GateModel(GateSettings settings) {
        gate = SlotGate.create(settings);
        slots = settings.slots();
    }

    void submit(GateCall call) {
        submitted++;
        all.put(call.id(), call);
        waiting.put(call.id(), call);
        apply(gate.submit(nowMs, call));
    }

    void release(String id) {
        if (running.remove(id) != null || waiting.remove(id) != null) {
            ended++;
        }
        apply(gate.release(nowMs, id));
    }

    void advanceTime(long millis) {
        nowMs += millis;
        apply(gate.tick(nowMs));
    }

    void report(EngineLoad load) {
        apply(gate.onLoadReport(nowMs, load));
    }

    Optional<String> pickRandom(Map<String, GateCall> from, Random random) {
        return from.isEmpty()
                ? Optional.empty()
                : from.keySet().stream().skip(random.nextInt(from.size())).findFirst();
    }

    private void apply(List<GateAction> actions) {
        log.addAll(actions);
        for (GateAction action : actions) {
            if (action instanceof GateAction.Run run) {
                GateCall call = waiting.remove(run.id());
                assertNotNull(call, run.id() + " runs but did not wait");
                assertTrue(nowMs < call.deadlineMs(), run.id() + " runs past its deadline");
                running.put(call.id(), call);
            } else if (action instanceof GateAction.Preempt preempt) {
                GateCall call = running.remove(preempt.id());
                assertNotNull(call, preempt.id() + " is cut but did not run");
                assertTrue(call.isBatch(), "an online call is cut");
                if (preempt.isRequeued()) {
                    waiting.put(call.id(), call);
                } else {
                    ended++;
                }
            } else {
                assertNotNull(waiting.remove(action.id()), action.id() + " is refused twice");
                ended++;
            }
        }
        check();
    }

    private void check() {
        long batches = running.values().stream().filter(GateCall::isBatch).count();
        assertTrue(running.size() <= slots, "more calls run than there are slots");
        assertEquals(batches, gate.batchRunning());
        assertEquals(running.size() - batches, gate.onlineRunning());
        assertEquals(waiting.size(), gate.onlineQueued() + gate.batchQueued());
        assertEquals(submitted, ended + running.size() + waiting.size(), "a call was lost");
        long suspects = running.values().stream().filter(GateCall::isSuspect).count();
        assertTrue(suspects <= 1, "two suspects run at once");
        boolean onlineHeldBack =
                waiting.values().stream()
                        .anyMatch(
                                call ->
                                        !call.isBatch()
                                                && nowMs < call.deadlineMs()
                                                && (!call.isSuspect() || suspects == 0));
        assertFalse(onlineHeldBack && batches > 0, "an online call waits behind batch");
        assertFalse(onlineHeldBack && running.size() < slots, "a slot stays free");
    }
}
