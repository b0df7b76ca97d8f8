package org.sardinelift.core.plan;

/**
 * A target as it registered itself.
 *
 * @param id name of this life of the target
 * @param service service that it runs
 * @param host IP address
 * @param port port
 * @param zone availability zone
 * @param slots calls that it runs at once
 * @param leaving whether it takes no new work
 * @param startedAtMs when this life started, Unix milliseconds; 0 where it is not known
 */
public record RegisteredTarget(
        String id,
        String service,
        String host,
        int port,
        String zone,
        int slots,
        boolean isLeaving,
        long startedAtMs) {}
