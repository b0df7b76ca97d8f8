package org.sardinelift.core.fleet;

/**
 * One instance of the system.
 *
 * @param name unique name; a replacement has another one
 * @param role {@code entry} or {@code companion}
 * @param zone availability zone
 * @param host IP address
 * @param port port of the process protocol
 * @param target target beside a companion, empty for an entry
 * @param isLeaving whether it is leaving the fleet
 */
public record InstanceInfo(
        String name,
        String role,
        String zone,
        String host,
        int port,
        String target,
        boolean isLeaving) {

    /**
     * Returns a copy that differs in whether the instance is leaving.
     *
     * @param isLeaving whether it is leaving the fleet
     * @return the copy
     */
    public InstanceInfo withLeaving(boolean isLeaving) {
        return new InstanceInfo(name, role, zone, host, port, target, isLeaving);
    }
}
