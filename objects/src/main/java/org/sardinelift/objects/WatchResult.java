package org.sardinelift.objects;

import java.util.List;
import org.jspecify.annotations.Nullable;

/** Outcome of one watch call. */
public sealed interface WatchResult {

    /**
     * One change.
     *
     * @param key the object that changed
     * @param revision the store's revision of the change
     * @param object the new state, null if the object was deleted
     */
    record Change(ObjectKey key, long revision, @Nullable StoredObject object) {}

    /**
     * Changes after the requested revision, oldest first; empty if the wait ran out.
     *
     * @param revision the revision up to which the changes are complete
     * @param changes the changes
     */
    record Changes(long revision, List<Change> changes) implements WatchResult {}

    /** The store no longer has the history since the requested revision; list again. */
    record Gap() implements WatchResult {}

    /**
     * The changes could not be read; retry after a pause.
     *
     * @param reason what went wrong
     */
    record Unavailable(String reason) implements WatchResult {}
}
