package org.sardinelift.core.plan;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * The targets that calls may be sent to, taken from lists that may be out of date or incomplete.
 * Not thread-safe.
 */
public final class TargetRegistry {
    private Map<String, RegisteredTarget> targets = Map.of();
    private long revision;

    private TargetRegistry() {}

    /**
     * Creates a registry without targets.
     *
     * @return the registry
     */
    public static TargetRegistry empty() {
        return new TargetRegistry();
    }

    /**
     * Applies a list of targets.
     *
     * @param listed the targets in the list
     * @param unreadable names of entries that cannot be read; a target known under such a name is
     *     removed
     * @param listRevision revision of the store at which the list was read
     * @param keepMissing whether to keep targets that are missing from the list, because the store
     *     has just come back and targets are still registering again
     * @return false if the list is older than the registry and was ignored
     */
    public boolean apply(
            List<RegisteredTarget> listed,
            Set<String> unreadable,
            long listRevision,
            boolean keepMissing) {
        if (listRevision < revision) {
            return false;
        }
        revision = listRevision;
        Map<String, RegisteredTarget> next = new HashMap<>();
        if (keepMissing) {
            next.putAll(targets);
        }
        next.putAll(
                listed.stream()
                        .collect(
                                Collectors.toMap(
                                        RegisteredTarget::id,
                                        Function.identity(),
                                        (first, second) -> second)));
        next.keySet().removeAll(unreadable);
        targets = Map.copyOf(next);
        return true;
    }

    /**
     * Returns the targets.
     *
     * @return targets by name
     */
    public Map<String, RegisteredTarget> targets() {
        return targets;
    }

    /**
     * Returns the revision of the newest list applied.
     *
     * @return revision of the store
     */
    public long revision() {
        return revision;
    }
}
