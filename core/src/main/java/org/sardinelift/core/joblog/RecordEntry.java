package org.sardinelift.core.joblog;

/**
 * Entry of a record: a result, or a part of one that is too large for a single record. Parts of a
 * result follow each other in the records of its job, in between those of other workers.
 *
 * @param result the result, with a part of the output where it is in parts
 * @param series tells the parts apart that several workers write of the same item; empty for a
 *     whole result
 * @param isLast whether the result is complete with this entry
 */
public record RecordEntry(ItemResult result, String series, boolean isLast) {
    /**
     * An entry with a whole result.
     *
     * @param result the result
     * @return the entry
     */
    public static RecordEntry whole(ItemResult result) {
        return new RecordEntry(result, "", true);
    }

    /**
     * An entry with a part of a result.
     *
     * @param result the result, with the part of its output
     * @param series name that no other worker or process uses
     * @param isLast whether it is the last part
     * @return the entry
     */
    public static RecordEntry part(ItemResult result, String series, boolean isLast) {
        return new RecordEntry(result, series, isLast);
    }
}
