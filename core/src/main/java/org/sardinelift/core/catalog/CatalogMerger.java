package org.sardinelift.core.catalog;

import java.util.Collection;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * Merges lists and watch changes, in whatever order they come, into the newest configuration known.
 * Each object keeps the state of the highest store revision ever seen; a deletion leaves a
 * tombstone with its revision, so that neither a late change nor a stale list brings the object
 * back. Not safe for use by several threads.
 */
public final class CatalogMerger {
    private final Map<ConfigRef, ConfigState> states = new HashMap<>();
    private final Map<ConfigKind, Long> listedAt = new EnumMap<>(ConfigKind.class);
    private long markCompleteTo;
    private long newestRevision;

    private CatalogMerger() {}

    /**
     * A log that knows nothing yet.
     *
     * @return an empty log
     */
    public static CatalogMerger create() {
        return new CatalogMerger();
    }

    /**
     * Takes one state from a watch or a read.
     *
     * @param state the state
     * @return whether it was newer than what was held
     */
    public boolean apply(ConfigState state) {
        ConfigState held = states.get(state.ref());
        if (held != null && held.revision() >= state.revision()) {
            return false;
        }
        states.put(state.ref(), state);
        newestRevision = Math.max(newestRevision, state.revision());
        return true;
    }

    /**
     * Takes a whole list of one kind. Objects that are held but not listed are taken as deleted,
     * unless the state held is newer than the list.
     *
     * @param kind the kind that was listed
     * @param revision store revision of the list
     * @param listed the states listed
     * @return whether anything changed
     */
    public boolean applyList(ConfigKind kind, long revision, Collection<ConfigState> listed) {
        if (revision < Math.max(markCompleteTo, listedAt.getOrDefault(kind, 0L))) {
            return false;
        }
        Set<ConfigRef> present = listed.stream().map(ConfigState::ref).collect(Collectors.toSet());
        List<ConfigState> gone =
                states.values().stream()
                        .filter(held -> held.ref().kind() == kind && held.item() != null)
                        .filter(held -> held.revision() <= revision)
                        .filter(held -> !present.contains(held.ref()))
                        .toList();
        gone.forEach(held -> states.put(held.ref(), tombstone(held.ref(), revision)));
        long applied = listed.stream().filter(this::apply).count();
        listedAt.put(kind, revision);
        return applied > 0 || !gone.isEmpty();
    }

    /**
     * Notes up to which revision the changes of a watch were complete.
     *
     * @param revision that revision
     */
    public void markCompleteTo(long revision) {
        markCompleteTo = Math.max(markCompleteTo, revision);
    }

    /**
     * The store revision up to which nothing is missing.
     *
     * @return the revision, 0 until every kind was listed
     */
    public long completeRevision() {
        return listedAt.size() < ConfigKind.values().length
                ? 0
                : Math.max(
                        markCompleteTo, listedAt.values().stream().min(Long::compare).orElse(0L));
    }

    /**
     * The highest revision at which a configuration object was seen to change. Instances compare
     * this one: the store's own revision grows with every write of any kind.
     *
     * @return the revision, 0 for none
     */
    public long newestRevision() {
        return newestRevision;
    }

    /**
     * The configuration held. A team whose template isn't there is not in force.
     *
     * @return an immutable snapshot
     */
    public Catalog catalog() {
        Map<String, TeamTemplate> templates =
                inForce(ConfigKind.TEMPLATE, TeamTemplate.class, TeamTemplate::name);
        Map<String, TeamPlan> teams =
                inForce(ConfigKind.TEAM, TeamSpec.class, TeamSpec::name).values().stream()
                        .filter(team -> templates.containsKey(team.template()))
                        .map(team -> team.resolve(templates.get(team.template())))
                        .collect(Collectors.toUnmodifiableMap(TeamPlan::name, plan -> plan));
        return new Catalog(
                completeRevision(),
                teams,
                inForce(ConfigKind.KEY, KeyEntry.class, KeyEntry::id),
                inForce(ConfigKind.SERVICE, ServiceSpec.class, ServiceSpec::name));
    }

    /**
     * Objects that are held but not in force, with the reason.
     *
     * @return one problem for each team without its template
     */
    public List<ConfigProblem> problems() {
        Set<String> templates =
                new HashSet<>(
                        inForce(ConfigKind.TEMPLATE, TeamTemplate.class, TeamTemplate::name)
                                .keySet());
        return inForce(ConfigKind.TEAM, TeamSpec.class, TeamSpec::name).values().stream()
                .filter(team -> !templates.contains(team.template()))
                .map(team -> ConfigProblem.missingTemplate(team.name(), team.template()))
                .toList();
    }

    private <T extends ConfigItem> Map<String, T> inForce(
            ConfigKind kind, Class<T> type, Function<T, String> name) {
        return states.values().stream()
                .filter(state -> state.ref().kind() == kind)
                .map(ConfigState::item)
                .filter(type::isInstance)
                .map(type::cast)
                .collect(Collectors.toUnmodifiableMap(name, item -> item));
    }

    private static ConfigState tombstone(ConfigRef ref, long revision) {
        return new ConfigState(ref, revision, null);
    }
}
