package org.sardinelift.objects;

import java.util.List;

/** Outcome of reading the platform's lagging list of instances. */
public sealed interface InstancesResult {

    /**
     * One instance as the platform lists it.
     *
     * @param name unique name of the instance; a replacement has another
     * @param role {@code entry} or {@code companion}
     * @param zone availability zone
     * @param host IP address
     * @param port port of the process protocol
     * @param target name of the target beside a companion, empty for an entry
     * @param isLeaving whether the platform is taking the instance away
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
     * The list.
     *
     * @param instances live and leaving instances
     */
    record Instances(List<Instance> instances) implements InstancesResult {}

    /**
     * No answer; try again after a pause.
     *
     * @param reason what was wrong
     */
    record Unavailable(String reason) implements InstancesResult {}
}
