package org.sardinelift.companion.call;

import java.util.HashMap;
import java.util.Map;
import org.sardinelift.core.explain.DecisionAction;
import org.sardinelift.core.explain.DecisionRecorder;
import org.sardinelift.core.gate.SlotGate;

/** Records the slot gate's decisions about calls, with the figures behind them. */
public final class CallDecisionRecorder {
    private final DecisionRecorder decisions;

    private CallDecisionRecorder(DecisionRecorder decisions) {
        this.decisions = decisions;
    }

    /**
     * Creates a recorder.
     *
     * @param decisions stores the decisions
     * @return the recorder
     */
    public static CallDecisionRecorder of(DecisionRecorder decisions) {
        return new CallDecisionRecorder(decisions);
    }

    void recordStart(Attempt attempt, long waitedMs) {
        recordDecision(
                DecisionAction.STARTED,
                attempt,
                attempt.wasSentToTarget()
                        ? "the call resumes after a preemption"
                        : "a slot was free",
                Map.of("waitedMs", String.valueOf(waitedMs)));
    }

    void recordPreemption(Attempt attempt, boolean isRequeued, SlotGate gate) {
        recordDecision(
                DecisionAction.CUT,
                attempt,
                isRequeued
                        ? "an online call took the slot; the call resumes in the next free one"
                        : "an online call took the slot",
                figures(gate));
    }

    void recordRefusal(Attempt attempt, String reason, SlotGate gate) {
        recordDecision(DecisionAction.REFUSED, attempt, reason, figures(gate));
    }

    private static Map<String, String> figures(SlotGate gate) {
        return Map.of(
                "slots", String.valueOf(gate.slots()),
                "onlineRunning", String.valueOf(gate.onlineRunning()),
                "onlineQueued", String.valueOf(gate.onlineQueued()),
                "batchRunning", String.valueOf(gate.batchRunning()));
    }

    private void recordDecision(
            DecisionAction action, Attempt attempt, String reason, Map<String, String> figures) {
        Map<String, String> allFigures = new HashMap<>(figures);
        allFigures.put("attempt", String.valueOf(attempt.id().attempt()));
        allFigures.put("lane", attempt.lane().name());
        allFigures.put("team", attempt.gateCall(false).team());
        decisions.record(action, attempt.id().requestId(), reason, Map.copyOf(allFigures));
    }
}
