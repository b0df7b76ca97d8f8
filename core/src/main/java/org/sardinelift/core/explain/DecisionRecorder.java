package org.sardinelift.core.explain;

import java.util.Map;
import java.util.function.LongSupplier;

/** Records decisions with the current time. Thread-safe. */
public final class DecisionRecorder {
    private final DecisionLog log;
    private final LongSupplier epochMillis;

    private DecisionRecorder(DecisionLog log, LongSupplier epochMillis) {
        this.log = log;
        this.epochMillis = epochMillis;
    }

    /**
     * Creates a recorder.
     *
     * @param log log to add the decisions to
     * @param epochMillis returns the current time, epoch milliseconds
     * @return the recorder
     */
    public static DecisionRecorder of(DecisionLog log, LongSupplier epochMillis) {
        return new DecisionRecorder(log, epochMillis);
    }

    /**
     * Records a decision.
     *
     * @param action action decided on
     * @param subject subject of the decision
     * @param reason why
     * @param figures values that the decision is based on, by name
     */
    public void record(
            DecisionAction action, String subject, String reason, Map<String, String> figures) {
        log.add(new DecisionRecord(epochMillis.getAsLong(), subject, action, reason, figures));
    }
}
