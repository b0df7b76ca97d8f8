package org.sardinelift.core.quota;

/** What a response of a target says of the rate of requests that the target takes. */
public sealed interface StatedRate {
    /**
     * The target takes a limited rate.
     *
     * @param perSecond requests per second from all instances together
     */
    record Limited(double perSecond) implements StatedRate {}

    /** The target states no limit. */
    record Unlimited() implements StatedRate {}

    /** The target states a limit that can't be read, so what it stated before still holds. */
    record Unreadable() implements StatedRate {}
}
