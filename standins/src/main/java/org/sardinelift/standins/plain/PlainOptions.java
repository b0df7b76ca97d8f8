package org.sardinelift.standins.plain;

import java.time.Duration;

/**
 * Settings of the plain-service stand-in.
 *
 * @param host address to bind
 * @param port port to bind, 0 for any free port
 * @param delay delay before the effect and the response
 * @param failEvery every n-th call returns 500 after its effect, 0 for none
 * @param cutEvery every n-th call gets no response after its effect, 0 for none
 */
public record PlainOptions(String host, int port, Duration delay, int failEvery, int cutEvery) {

    /**
     * Returns the defaults: any free port on loopback, no delay, no failures.
     *
     * @return the default options
     */
    public static PlainOptions defaults() {
        return new PlainOptions("127.0.0.1", 0, Duration.ZERO, 0, 0);
    }

    /**
     * Sets the delay.
     *
     * @param time delay before the effect and the response
     * @return the changed options
     */
    public PlainOptions withDelay(Duration time) {
        return new PlainOptions(host, port, time, failEvery, cutEvery);
    }

    /**
     * Sets the failures.
     *
     * @param fail every n-th call returns 500 after its effect, 0 for none
     * @param cut every n-th call gets no response after its effect, 0 for none
     * @return the changed options
     */
    public PlainOptions withFailures(int fail, int cut) {
        return new PlainOptions(host, port, delay, fail, cut);
    }
}
