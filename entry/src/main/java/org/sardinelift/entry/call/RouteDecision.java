package org.sardinelift.entry.call;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.sardinelift.core.explain.DecisionAction;
import org.sardinelift.core.explain.DecisionRecord;
import org.sardinelift.core.route.Candidate;

/** Creates the records of decisions about calls, with the figures on which they were based. */
final class RouteDecision {
    private static final int MAX_OTHER_LOADS = 4;

    private RouteDecision() {}

    static DecisionRecord of(
            CallRun run, DecisionAction action, String reason, Map<String, String> figures) {
        Map<String, String> allFigures = new HashMap<>(figures);
        allFigures.put("team", run.spec().team().name());
        return new DecisionRecord(
                System.currentTimeMillis(),
                run.requestId(),
                action,
                reason,
                Map.copyOf(allFigures));
    }

    static DecisionRecord of(
            CallRun run,
            Candidate target,
            List<Candidate> pool,
            DuplicateTable.Placement placement,
            boolean isSuspect) {
        List<Candidate> others =
                pool.stream()
                        .filter(other -> other.isUsable() && other != target)
                        .filter(other -> other.service().equals(target.service()))
                        .toList();
        Map<String, String> figures = new HashMap<>();
        figures.put("at", target.name());
        figures.put("zone", target.zone());
        figures.put("load", load(target));
        figures.put("candidates", String.valueOf(others.size() + 1));
        if (!others.isEmpty()) {
            figures.put("others", loads(others));
        }
        return of(run, DecisionAction.ROUTED, reason(run, placement, isSuspect), figures);
    }

    private static String reason(
            CallRun run, DuplicateTable.Placement placement, boolean isSuspect) {
        if (isSuspect) {
            return "the only suspect on its target, as targets died with it in flight";
        }
        if (placement instanceof DuplicateTable.Placement.Pinned) {
            return "the target on which the same request runs already";
        }
        return run.spec().prefixKey().isEmpty()
                ? "the less loaded of its first two targets"
                : "the less loaded of the first two targets of its prompt's prefix";
    }

    private static String loads(List<Candidate> others) {
        return others.stream()
                .limit(MAX_OTHER_LOADS)
                .map(other -> other.name() + ":" + load(other))
                .collect(Collectors.joining(" "));
    }

    private static String load(Candidate target) {
        return target.load() + "/" + target.slots();
    }
}
