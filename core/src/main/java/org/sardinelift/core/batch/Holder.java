package org.sardinelift.core.batch;

/**
 * An incarnation of an entry, as the holder of a job or lease.
 *
 * @param instance instance name
 * @param incarnation unique for each start of the process
 */
public record Holder(String instance, String incarnation) {
    /** No entry. */
    public static final Holder NONE = new Holder("", "");

    /**
     * Whether there is a holder.
     *
     * @return false for {@link #NONE}
     */
    public boolean isPresent() {
        return !instance.isEmpty();
    }
}
