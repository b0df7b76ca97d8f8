package org.sardinelift.core.admission;

import java.time.Duration;
import java.util.OptionalLong;

/**
 * Time that an instance has left for calls. Once it was asked to stop, it accepts a call only if
 * the call's own time limit ends before the instance exits, so that no accepted call is cut off;
 * any other is refused at once and may be sent to another instance.
 *
 * <p>Times are nanoseconds of a monotonic clock. Immutable.
 */
public final class ShutdownWindow {
    private static final ShutdownWindow RUNNING = new ShutdownWindow(OptionalLong.empty());

    private final OptionalLong exitAt;

    private ShutdownWindow(OptionalLong exitAt) {
        this.exitAt = exitAt;
    }

    /**
     * Returns the window of an instance that was not asked to stop.
     *
     * @return a window that any call fits into
     */
    public static ShutdownWindow running() {
        return RUNNING;
    }

    /**
     * Returns the window of an instance that was asked to stop.
     *
     * @param requestedAt when it was asked to
     * @param gracePeriod time between the request and the kill
     * @param exitReserve part of that time that the exit of the process takes
     * @return a window that ends before the kill
     */
    public static ShutdownWindow stopping(
            long requestedAt, Duration gracePeriod, Duration exitReserve) {
        return new ShutdownWindow(
                OptionalLong.of(requestedAt + gracePeriod.minus(exitReserve).toNanos()));
    }

    /**
     * Decides whether a call that arrives now is accepted.
     *
     * @param timeLimit longest time until its answer is complete
     * @param now current time
     * @return false if the instance may exit before that
     */
    public boolean fits(Duration timeLimit, long now) {
        return exitAt.isEmpty() || now - lastStart(timeLimit) <= 0;
    }

    /**
     * Returns when the last call with a time limit may arrive.
     *
     * @param timeLimit longest time until the call's answer is complete
     * @return the time, which may lie before the request to stop
     * @throws java.util.NoSuchElementException if the instance was not asked to stop
     */
    public long lastStart(Duration timeLimit) {
        return exitAt() - timeLimit.toNanos();
    }

    /**
     * Returns when the instance exits, whatever it is doing.
     *
     * @return the time
     * @throws java.util.NoSuchElementException if the instance was not asked to stop
     */
    public long exitAt() {
        return exitAt.orElseThrow();
    }

    /**
     * Describes why a call doesn't fit, for the log and the caller.
     *
     * @param timeLimit longest time until the call's answer is complete
     * @param now current time
     * @return the text
     */
    public String describe(Duration timeLimit, long now) {
        return "the call may take %d ms, this instance stops in %d ms"
                .formatted(timeLimit.toMillis(), Duration.ofNanos(exitAt() - now).toMillis());
    }
}
