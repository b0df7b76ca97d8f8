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
 * Merges lists and watch changes, in whatever order they arrive, into the newest configuration
 * known. Each object keeps the state of the highest store revision seen; a deletion leaves a
 * tombstone with its revision, so that neither a late change nor a stale list restores the object.
 * Not thread-safe.
 */
public final class CatalogMerger {
    private final Map<ConfigRef, ConfigState> states = new HashMap<>();
    private final Map<ConfigKind, Long> listedAt = new EnumMap<>(ConfigKind.class);
    private long watchedRevision;
    private long newestRevision;

    private CatalogMerger() {}

    /**
     * Creates a merger without configuration.
     *
     * @return the merger
     */
    public static CatalogMerger create() {
        return new CatalogMerger();
    }

    /**
     * Applies one state from a watch or a read.
     *
     * @param state the state
     * @return whether it was newer than the state known
     */
    public boolean apply(ConfigState state) {
        ConfigState current = states.get(state.ref());
        if (current != null && current.revision() >= state.revision()) {
            return false;
        }
        states.put(state.ref(), state);
        newestRevision = Math.max(newestRevision, state.revision());
        return true;
    }

    /**
     * Applies a full list of one kind. Known objects that are not listed count as deleted, unless
     * the known state is newer than the list.
     *
     * @param kind the kind that was listed
     * @param revision store revision of the list
     * @param listed the states listed
     * @return whether anything changed
     */
    public boolean applyList(ConfigKind kind, long revision, Collection<ConfigState> listed) {
        if (revision < Math.max(watchedRevision, listedAt.getOrDefault(kind, 0L))) {
            return false;
        }
        Set<ConfigRef> present = listed.stream().map(ConfigState::ref).collect(Collectors.toSet());
        List<ConfigState> gone =
                states.values().stream()
                        .filter(current -> current.ref().kind() == kind && current.item() != null)
                        .filter(current -> current.revision() <= revision)
                        .filter(current -> !present.contains(current.ref()))
                        .toList();
        gone.forEach(current -> states.put(current.ref(), tombstone(current.ref(), revision)));
        long applied = listed.stream().filter(this::apply).count();
        listedAt.put(kind, revision);
        return applied > 0 || !gone.isEmpty();
    }

    /**
     * Records the revision up to which the changes of a watch are complete.
     *
     * @param revision store revision
     */
    public void markCompleteTo(long revision) {
        watchedRevision = Math.max(watchedRevision, revision);
    }

    /**
     * Returns the store revision up to which no change is missing.
     *
     * @return the revision, 0 until every kind was listed
     */
    public long completeRevision() {
        return listedAt.size() < ConfigKind.values().length
                ? 0
                : Math.max(
                        watchedRevision, listedAt.values().stream().min(Long::compare).orElse(0L));
    }

    /**
     * Returns the highest revision at which a configuration object was seen to change. Instances
     * compare this one, since the store's own revision grows with every write of any kind.
     *
     * @return the revision, 0 if none
     */
    public long newestRevision() {
        return newestRevision;
    }

    /**
     * Returns the configuration known. A team whose template doesn't exist is left out.
     *
     * @return an immutable snapshot
     */
    public Catalog catalog() {
        Map<String, TeamTemplate> templates =
                itemsOf(ConfigKind.TEMPLATE, TeamTemplate.class, TeamTemplate::name);
        Map<String, TeamPlan> teams =
                itemsOf(ConfigKind.TEAM, TeamSpec.class, TeamSpec::name).values().stream()
                        .filter(team -> templates.containsKey(team.template()))
                        .map(team -> team.resolve(templates.get(team.template())))
                        .collect(Collectors.toUnmodifiableMap(TeamPlan::name, plan -> plan));
        return new Catalog(
                completeRevision(),
                teams,
                itemsOf(ConfigKind.KEY, KeyEntry.class, KeyEntry::id),
                itemsOf(ConfigKind.SERVICE, ServiceSpec.class, ServiceSpec::name));
    }

    /**
     * Returns why objects that are known are not in effect.
     *
     * @return one problem for each team whose template doesn't exist
     */
    public List<ConfigProblem> problems() {
        Set<String> templates =
                new HashSet<>(
                        itemsOf(ConfigKind.TEMPLATE, TeamTemplate.class, TeamTemplate::name)
                                .keySet());
        return itemsOf(ConfigKind.TEAM, TeamSpec.class, TeamSpec::name).values().stream()
                .filter(team -> !templates.contains(team.template()))
                .map(team -> ConfigProblem.missingTemplate(team.name(), team.template()))
                .toList();
    }

    private <T extends ConfigItem> Map<String, T> itemsOf(
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
