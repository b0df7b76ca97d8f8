package org.sardinelift.objects;

/** Outcome of a conditional write or delete. */
public sealed interface WriteResult {

    /**
     * The write took effect.
     *
     * @param version the object's new version
     * @param revision the store's revision of this write
     */
    record Written(long version, long revision) implements WriteResult {}

    /**
     * The object had another version; nothing was changed. Read it and decide again.
     *
     * @param actualVersion the version found, 0 where there is no object
     */
    record Conflict(long actualVersion) implements WriteResult {}

    /**
     * The write may or may not have taken effect. Read the object and look for the writer's mark.
     *
     * @param reason what was wrong
     */
    record Unclear(String reason) implements WriteResult {}

    /**
     * The write certainly did not take effect; try again after a pause.
     *
     * @param reason what was wrong
     */
    record NotWritten(String reason) implements WriteResult {}
}
