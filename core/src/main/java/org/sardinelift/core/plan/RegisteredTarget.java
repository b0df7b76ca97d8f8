package org.sardinelift.core.plan;

import java.util.OptionalLong;

/**
 * A target as registered in the store.
 *
 * @param id name of the target; a later incarnation may have the same one
 * @param service service that it runs
 * @param host IP address
 * @param port port
 * @param zone availability zone
 * @param slots calls that it runs at once
 * @param isLeaving whether it accepts no new calls
 * @param startedAtMs when this incarnation started, Unix milliseconds; 0 if unknown
 * @param softwareVersion version of the software that writes its streams, empty if it states none
 * @param remainingColdMs time for which it stays cold after it wrote this, 0 if it isn't cold;
 *     empty if unknown
 */
public record RegisteredTarget(
        String id,
        String service,
        String host,
        int port,
        String zone,
        int slots,
        boolean isLeaving,
        long startedAtMs,
        String softwareVersion,
        OptionalLong remainingColdMs) {

    /**
     * Creates an entry that doesn't state whether the target is cold.
     *
     * @param id name of the target
     * @param service service that it runs
     * @param host IP address
     * @param port port
     * @param zone availability zone
     * @param slots calls that it runs at once
     * @param isLeaving whether it accepts no new calls
     * @param startedAtMs when this incarnation started, Unix milliseconds; 0 if unknown
     * @param softwareVersion version of the software that writes its streams
     */
    public RegisteredTarget(
            String id,
            String service,
            String host,
            int port,
            String zone,
            int slots,
            boolean isLeaving,
            long startedAtMs,
            String softwareVersion) {
        this(
                id,
                service,
                host,
                port,
                zone,
                slots,
                isLeaving,
                startedAtMs,
                softwareVersion,
                OptionalLong.empty());
    }

    /**
     * Returns the entry without the remaining cold time, which changes with every write.
     *
     * @return the entry as far as it says where and what the target is
     */
    public RegisteredTarget withoutColdTime() {
        return new RegisteredTarget(
                id, service, host, port, zone, slots, isLeaving, startedAtMs, softwareVersion);
    }

    /**
     * Names this life of the target, also where it keeps its id in the next one.
     *
     * @return id and start
     */
    public String incarnation() {
        return incarnationStartedAt(startedAtMs);
    }

    /**
     * Names a life of the target that began at another time than the registered one.
     *
     * @param startMs when it began, Unix milliseconds
     * @return id and start
     */
    public String incarnationStartedAt(long startMs) {
        return id + "/" + startMs;
    }
}
