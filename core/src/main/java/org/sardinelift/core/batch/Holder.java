package org.sardinelift.core.batch;

/**
 * An entry that may hold jobs.
 *
 * @param instance instance name
 * @param incarnation unique for each start of the process
 */
public record Holder(String instance, String incarnation) {
    /** No entry. */
    public static final Holder NONE = new Holder("", "");

    /**
     * Whether this names an entry.
     *
     * @return false for {@link #NONE}
     */
    public boolean isPresent() {
        return !instance.isEmpty();
    }
}
