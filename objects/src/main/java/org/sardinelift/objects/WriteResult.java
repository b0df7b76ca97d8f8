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
     * The write did not take effect; retry after a pause, unless it was rejected.
     *
     * @param reason what went wrong
     * @param isRejected whether the store rejects the content of the write, so that it must be
     *     changed before a retry
     */
    record NotWritten(String reason, boolean isRejected) implements WriteResult {
        /**
         * A write that may succeed later.
         *
         * @param reason what went wrong
         */
        public NotWritten(String reason) {
            this(reason, false);
        }

        /**
         * A write that the store rejects for its content.
         *
         * @param reason what is wrong with it
         * @return the result
         */
        public static NotWritten rejected(String reason) {
            return new NotWritten(reason, true);
        }
    }
}
