package org.sardinelift.objects;

import java.util.List;

/** Outcome of reading the platform's list of instances, which lags behind the actual state. */
public sealed interface InstancesResult {

    /**
     * One instance in the platform's list.
     *
     * @param name unique name of the instance; a replacement has a different one
     * @param role {@code entry} or {@code companion}
     * @param zone availability zone
     * @param host IP address
     * @param port port of the process protocol
     * @param target name of the target beside a companion, empty for an entry
     * @param isLeaving whether the platform is removing the instance
     */
    record Instance(
            String name,
            String role,
            String zone,
            String host,
            int port,
            String target,
            boolean isLeaving) {}

    /**
     * The list was read.
     *
     * @param instances live and leaving instances
     */
    record Instances(List<Instance> instances) implements InstancesResult {}

    /**
     * The list could not be read; retry after a pause.
     *
     * @param reason what went wrong
     */
    record Unavailable(String reason) implements InstancesResult {}
}
