package org.sardinelift.core.explain;

import java.util.Collection;
import java.util.Map;

/**
 * A decision and its reason. Callers' keys in the reason and the figures are masked.
 *
 * @param timeMs time of the decision, epoch milliseconds
 * @param subject subject of the decision, such as a request id
 * @param action action decided on
 * @param reason why
 * @param figures values that the decision is based on, by name
 */
public record DecisionRecord(
        long timeMs,
        String subject,
        DecisionAction action,
        String reason,
        Map<String, String> figures) {

    /** Masks callers' keys. */
    public DecisionRecord {
        reason = KeyMask.mask(reason);
        figures = KeyMask.mask(figures);
    }

    /**
     * Whether the decision concerns one of several names.
     *
     * @param names names of a request, job, target or team
     * @return true if one of them is the subject or among the figures
     */
    public boolean concerns(Collection<String> names) {
        return names.contains(subject) || figures.values().stream().anyMatch(names::contains);
    }
}
