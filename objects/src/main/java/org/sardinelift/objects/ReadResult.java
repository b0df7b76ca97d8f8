package org.sardinelift.objects;

/** Outcome of a read. A read may be stale: it shows a state that once held. */
public sealed interface ReadResult {

    /**
     * The object was there.
     *
     * @param object what was read
     */
    record Found(StoredObject object) implements ReadResult {}

    /**
     * There is no such object.
     *
     * @param revision the store's revision as of this answer
     */
    record Absent(long revision) implements ReadResult {}

    /**
     * No answer; try again after a pause.
     *
     * @param reason what was wrong
     */
    record Unavailable(String reason) implements ReadResult {}
}
