package org.sardinelift.objects;

/** Outcome of a read. It may be stale, that is, show a past state. */
public sealed interface ReadResult {

    /**
     * The object exists.
     *
     * @param object the object
     */
    record Found(StoredObject object) implements ReadResult {}

    /**
     * The object does not exist.
     *
     * @param revision the store's revision as of this response
     */
    record Absent(long revision) implements ReadResult {}

    /**
     * The object could not be read; retry after a pause.
     *
     * @param reason what went wrong
     */
    record Unavailable(String reason) implements ReadResult {}
}
