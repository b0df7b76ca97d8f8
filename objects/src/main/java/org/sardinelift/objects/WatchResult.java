package org.sardinelift.objects;

import java.util.List;
import org.jspecify.annotations.Nullable;

/** Outcome of one waiting watch call. */
public sealed interface WatchResult {

    /**
     * One change.
     *
     * @param key the object that changed
     * @param revision the store's revision of the change
     * @param object the new state, null where the object was deleted
     */
    record Change(ObjectKey key, long revision, @Nullable StoredObject object) {}

    /**
     * Changes after the asked revision, oldest first; empty where the wait ran out.
     *
     * @param revision the revision up to which the changes are complete
     * @param changes the changes
     */
    record Changes(long revision, List<Change> changes) implements WatchResult {}

    /** The asked revision is too old: list again. */
    record Gap() implements WatchResult {}

    /**
     * No answer; try again after a pause.
     *
     * @param reason what was wrong
     */
    record Unavailable(String reason) implements WatchResult {}
}
