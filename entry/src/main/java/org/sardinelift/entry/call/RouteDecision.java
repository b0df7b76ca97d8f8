package org.sardinelift.entry.call;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.sardinelift.core.explain.DecisionAction;
import org.sardinelift.core.explain.DecisionRecord;
import org.sardinelift.core.route.Candidate;

/** Records of what was decided about a call, with the figures that the choice went by. */
final class RouteDecision {
    /** Loads of other targets that one record shows at most. */
    private static final int MAX_LOADS = 4;

    private RouteDecision() {}

    static DecisionRecord of(
            CallRun run, DecisionAction action, String reason, Map<String, String> figures) {
        Map<String, String> all = new HashMap<>(figures);
        all.put("team", run.spec().team().name());
        return new DecisionRecord(
                System.currentTimeMillis(), run.requestId(), action, reason, Map.copyOf(all));
    }

    static DecisionRecord of(
            CallRun run,
            Candidate target,
            List<Candidate> pool,
            DuplicateTable.Placement place,
            boolean suspect) {
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
        return of(run, DecisionAction.ROUTED, reason(run, place, suspect), figures);
    }

    private static String reason(CallRun run, DuplicateTable.Placement place, boolean suspect) {
        if (suspect) {
            return "alone on its target, as targets died with it in flight";
        }
        if (place instanceof DuplicateTable.Placement.Pinned) {
            return "beside the same request, which runs there already";
        }
        return run.spec().prefixKey().isEmpty()
                ? "the less loaded of its first two targets"
                : "the less loaded of the first two targets of its prompt's prefix";
    }

    private static String loads(List<Candidate> others) {
        return others.stream()
                .limit(MAX_LOADS)
                .map(other -> other.name() + ":" + load(other))
                .collect(Collectors.joining(" "));
    }

    private static String load(Candidate target) {
        return target.load() + "/" + target.slots();
    }
}
