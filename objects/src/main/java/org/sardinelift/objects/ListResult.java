package org.sardinelift.objects;

import java.util.List;

/** Outcome of a list. */
public sealed interface ListResult {

    /**
     * What the store held at one revision.
     *
     * @param revision that revision
     * @param objects the objects, by name
     */
    record Listed(long revision, List<StoredObject> objects) implements ListResult {}

    /**
     * No answer; try again after a pause.
     *
     * @param reason what was wrong
     */
    record Unavailable(String reason) implements ListResult {}
}
