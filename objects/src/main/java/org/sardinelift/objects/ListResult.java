package org.sardinelift.objects;

import java.util.List;

/** Outcome of listing objects. */
public sealed interface ListResult {

    /**
     * The objects as of one revision.
     *
     * @param revision the store's revision
     * @param objects the objects, ordered by name
     */
    record Listed(long revision, List<StoredObject> objects) implements ListResult {}

    /**
     * The objects could not be listed; retry after a pause.
     *
     * @param reason what went wrong
     */
    record Unavailable(String reason) implements ListResult {}
}
