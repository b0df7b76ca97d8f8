package org.sardinelift.objects;

/** Outcome of a conditional write or delete. */
public sealed interface WriteResult {

    /**
     * The write took effect.
     *
     * @param version new version of the object
     * @param revision the store's revision of this write
     */
    record Written(long version, long revision) implements WriteResult {}

    /**
     * The object had another version and was not changed. Read it and decide again.
     *
     * @param actualVersion version of the object, 0 if it does not exist
     */
    record Conflict(long actualVersion) implements WriteResult {}

    /**
     * The write may or may not have taken effect. Read the object and look for the writer's mark.
     *
     * @param reason what went wrong
     */
    record Unclear(String reason) implements WriteResult {}

    /**
     * The write did not take effect; retry after a pause.
     *
     * @param reason what went wrong
     */
    record NotWritten(String reason) implements WriteResult {}
}
