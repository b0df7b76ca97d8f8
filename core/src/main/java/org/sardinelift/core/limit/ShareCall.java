package org.sardinelift.core.limit;

/**
 * A call to the platform requested by {@link ShareLedger}; its outcome is reported with its number.
 */
public sealed interface ShareCall {

    /**
     * Returns the number with which the outcome must be reported.
     *
     * @return number, increasing with each call
     */
    long number();

    /**
     * A read of the shares.
     *
     * @param number number of the call
     */
    record Read(long number) implements ShareCall {}

    /**
     * A conditional write: takes effect only if the shares have the expected version.
     *
     * @param number number of the call
     * @param expectedVersion version that the object must have, 0 to create it
     * @param shares new value
     */
    record Write(long number, long expectedVersion, Shares shares) implements ShareCall {}
}
