package org.sardinelift.core.plan;

/**
 * A target as registered in the store.
 *
 * @param id name of this incarnation of the target
 * @param service service that it runs
 * @param host IP address
 * @param port port
 * @param zone availability zone
 * @param slots calls that it runs at once
 * @param isLeaving whether it accepts no new calls
 * @param startedAtMs when this incarnation started, Unix milliseconds; 0 if unknown
 * @param softwareVersion version of the software that writes its streams, empty if it states none
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
        String softwareVersion) {

    /**
     * Names this life of the target, also where it keeps its id in the next one.
     *
     * @return id and start
     */
    public String incarnation() {
        return id + "/" + startedAtMs;
    }
}
