package org.sardinelift.core.plan;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * The targets that calls may be sent to, from lists that may be old or have gaps. Not safe for use
 * by several threads at once.
 */
public final class TargetRegistry {
    private Map<String, RegisteredTarget> targets = Map.of();
    private long revision;

    private TargetRegistry() {}

    /**
     * A roll without targets.
     *
     * @return the roll
     */
    public static TargetRegistry empty() {
        return new TargetRegistry();
    }

    /**
     * Takes a list.
     *
     * @param listed the entries that it holds
     * @param unreadable names of entries that can't be read; a target that was known under such a
     *     name is not used
     * @param listRevision revision of the store that the list shows
     * @param keepMissing whether entries may be missing for a reason other than that the target has
     *     gone: the store has just come back, and targets register again
     * @return false where the list is older than the roll and was not taken
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
     * The targets.
     *
     * @return entries by name
     */
    public Map<String, RegisteredTarget> targets() {
        return targets;
    }

    /**
     * How new the roll is.
     *
     * @return revision of the store that it shows
     */
    public long revision() {
        return revision;
    }
}
