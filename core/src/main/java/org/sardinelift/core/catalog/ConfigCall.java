package org.sardinelift.core.catalog;

import java.time.Duration;

/**
 * A call to the platform that {@link ConfigSync} requests; its outcome is reported with its number.
 */
public sealed interface ConfigCall {

    /**
     * Returns the number to report the outcome with.
     *
     * @return increasing number
     */
    long number();

    /**
     * Write any value, to learn the store's revision from a write instead of a read.
     *
     * @param number number of the call
     */
    record Barrier(long number) implements ConfigCall {}

    /**
     * List every kind of configuration.
     *
     * @param number number of the call
     */
    record ListAll(long number) implements ConfigCall {}

    /**
     * Watch for changes.
     *
     * @param number number of the call
     * @param afterRevision revision after which changes are wanted
     * @param maxWait longest wait
     */
    record Watch(long number, long afterRevision, Duration maxWait) implements ConfigCall {}
}
