package org.sardinelift.companion.call;

import java.util.HashMap;
import java.util.Map;
import org.sardinelift.core.explain.DecisionAction;
import org.sardinelift.core.explain.DecisionRecorder;
import org.sardinelift.core.gate.SlotGate;

/** Notes what the gate decided about calls, with the figures that it went by. */
public final class CallDecisionRecorder {
    private final DecisionRecorder decisions;

    private CallDecisionRecorder(DecisionRecorder decisions) {
        this.decisions = decisions;
    }

    /**
     * Makes a record.
     *
     * @param decisions notes the decisions
     * @return the record
     */
    public static CallDecisionRecorder of(DecisionRecorder decisions) {
        return new CallDecisionRecorder(decisions);
    }

    void recordStart(Attempt attempt, long waitedMs) {
        note(
                DecisionAction.STARTED,
                attempt,
                attempt.wasSentToTarget() ? "it goes on where it was cut" : "a slot was free",
                Map.of("waitedMs", String.valueOf(waitedMs)));
    }

    void recordPreemption(Attempt attempt, boolean waits, SlotGate gate) {
        note(
                DecisionAction.CUT,
                attempt,
                waits
                        ? "an online call took the slot; it goes on in the next free one"
                        : "an online call took the slot",
                figures(gate));
    }

    void recordRefusal(Attempt attempt, String reason, SlotGate gate) {
        note(DecisionAction.REFUSED, attempt, reason, figures(gate));
    }

    private static Map<String, String> figures(SlotGate gate) {
        return Map.of(
                "slots", String.valueOf(gate.slots()),
                "onlineRunning", String.valueOf(gate.onlineRunning()),
                "onlineQueued", String.valueOf(gate.onlineQueued()),
                "batchRunning", String.valueOf(gate.batchRunning()));
    }

    private void note(
            DecisionAction action, Attempt attempt, String reason, Map<String, String> figures) {
        Map<String, String> all = new HashMap<>(figures);
        all.put("attempt", String.valueOf(attempt.id().attempt()));
        all.put("lane", attempt.lane().name());
        all.put("team", attempt.gateCall(false).team());
        decisions.record(action, attempt.id().requestId(), reason, Map.copyOf(all));
    }
}
