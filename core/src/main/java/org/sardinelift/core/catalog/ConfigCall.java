package org.sardinelift.core.catalog;

import java.time.Duration;

/**
 * A call to the platform that {@link ConfigSync} asks for; its outcome goes back with its number.
 */
public sealed interface ConfigCall {

    /**
     * The number that the outcome must name.
     *
     * @return number, growing
     */
    long number();

    /**
     * Write anything, to learn the store's revision from a write instead of a read.
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
     * Wait for changes.
     *
     * @param number number of the call
     * @param afterRevision the revision held
     * @param maxWait longest wait
     */
    record Watch(long number, long afterRevision, Duration maxWait) implements ConfigCall {}
}
