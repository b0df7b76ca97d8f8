package org.sardinelift.entry.control;

import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.stream.Stream;
import org.sardinelift.core.catalog.Catalog;
import org.sardinelift.core.catalog.KeyEntry;
import org.sardinelift.core.catalog.TeamPlan;
import org.sardinelift.core.explain.DecisionAction;
import org.sardinelift.core.explain.DecisionRecorder;

/** Records each configuration that comes into force, and what it changes for teams. */
public final class ConfigChangeRecorder implements CatalogListener {
    /** Subject of the decisions on the configuration as a whole. */
    public static final String SUBJECT = "configuration";

    /** Maximum number of teams, and of keys, that one change records separately. */
    private static final int MAX_RECORDED_CHANGES = 100;

    private final DecisionRecorder decisions;

    private ConfigChangeRecorder(DecisionRecorder decisions) {
        this.decisions = decisions;
    }

    /**
     * Creates a listener.
     *
     * @param decisions records the changes
     * @return the listener
     */
    public static ConfigChangeRecorder of(DecisionRecorder decisions) {
        return new ConfigChangeRecorder(decisions);
    }

    @Override
    public void onCatalogChanged(Catalog before, Catalog after) {
        String revision = String.valueOf(after.revision());
        decisions.record(
                DecisionAction.CONFIGURED,
                SUBJECT,
                "this revision is in force here",
                Map.of("revision", revision, "teams", String.valueOf(after.teams().size())));
        changedNames(before.teams(), after.teams())
                .limit(MAX_RECORDED_CHANGES)
                .forEach(team -> recordTeam(team, after.teams(), revision));
        changedNames(before.keys(), after.keys())
                .filter(id -> before.revision() > 0)
                .limit(MAX_RECORDED_CHANGES)
                .forEach(id -> recordKey(id, before.keys(), after.keys(), revision));
    }

    private void recordTeam(String name, Map<String, TeamPlan> after, String revision) {
        TeamPlan plan = after.get(name);
        if (plan == null) {
            decisions.record(
                    DecisionAction.CONFIGURED, name, "the team is gone", figures(revision));
            return;
        }
        decisions.record(
                DecisionAction.CONFIGURED,
                name,
                "the team's plan changed",
                Map.of(
                        "revision", revision,
                        "ratePerSecond", String.valueOf(plan.ratePerSecond()),
                        "burst", String.valueOf(plan.burst()),
                        "onlineWeight", String.valueOf(plan.onlineWeight()),
                        "batchWeight", String.valueOf(plan.batchWeight())));
    }

    private void recordKey(
            String id, Map<String, KeyEntry> before, Map<String, KeyEntry> after, String revision) {
        KeyEntry now = after.get(id);
        String team = Objects.requireNonNull(now == null ? before.get(id) : now).team();
        String reason =
                now == null || now.isWithdrawn() ? "a key was withdrawn" : "a key was issued";
        decisions.record(
                DecisionAction.CONFIGURED, team, reason, Map.of("revision", revision, "keyId", id));
    }

    private static Map<String, String> figures(String revision) {
        return Map.of("revision", revision);
    }

    private static <T> Stream<String> changedNames(Map<String, T> before, Map<String, T> after) {
        return Stream.of(before.keySet(), after.keySet())
                .flatMap(Set::stream)
                .distinct()
                .filter(name -> !Objects.equals(before.get(name), after.get(name)))
                .sorted();
    }
}
