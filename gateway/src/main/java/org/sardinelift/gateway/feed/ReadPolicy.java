package org.sardinelift.gateway.feed;

/** Whether this instance reads something from the store itself; safe for use by any thread. */
@FunctionalInterface
public interface ReadPolicy {

    /**
     * Whether to read now.
     *
     * @return false while another instance of its zone reads it and passes on what changes
     */
    boolean needsStoreRead();
}
