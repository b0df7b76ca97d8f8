package org.sardinelift.protocol;

import java.util.Collection;
import java.util.List;
import java.util.Set;
import org.sardinelift.core.explain.DecisionLog;
import org.sardinelift.core.explain.DecisionRecord;
import org.sardinelift.protocol.generated.Decision;
import org.sardinelift.protocol.generated.ExplainQuery;
import org.sardinelift.protocol.generated.ExplainResult;
import org.sardinelift.protocol.generated.Frame;

/** Converts an instance's recorded decisions to frames. */
public final class DecisionFrames {
    /** Maximum number of decisions that an instance sends. */
    public static final int MAX_DECISIONS = 10_000;

    private DecisionFrames() {}

    /**
     * Answers a query for decisions.
     *
     * @param query the query
     * @param instance name of this instance
     * @param log its decisions
     * @return the frame to send back
     */
    public static Frame toResultFrame(ExplainQuery query, String instance, DecisionLog log) {
        String subject = query.getSubject();
        Set<String> names = subject == null || subject.isEmpty() ? Set.of() : Set.of(subject);
        List<Decision> found = findDecisions(log, instance, names, query.getLimit());
        return Frame.explainResult(new ExplainResult(query.getExchange(), found));
    }

    /**
     * Finds decisions of this instance.
     *
     * @param log its decisions
     * @param instance its name
     * @param names names of a request, job, target or team; empty for all decisions
     * @param limit maximum number of decisions; the newest are returned
     * @return the decisions, oldest first
     */
    public static List<Decision> findDecisions(
            DecisionLog log, String instance, Collection<String> names, int limit) {
        return log.find(names, Math.max(0, Math.min(MAX_DECISIONS, limit))).stream()
                .map(record -> toDecision(instance, record))
                .toList();
    }

    private static Decision toDecision(String instance, DecisionRecord record) {
        return new Decision(
                record.timeMs(),
                instance,
                record.subject(),
                record.action().label(),
                record.reason(),
                record.figures());
    }
}
