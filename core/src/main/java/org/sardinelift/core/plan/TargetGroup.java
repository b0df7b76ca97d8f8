package org.sardinelift.core.plan;

import java.util.Optional;

/**
 * The targets that may run a call: all of a service, or for a stream that has begun, those with the
 * software version that began it.
 *
 * @param service name of the service
 * @param softwareVersion the only version allowed, empty if all are
 */
public record TargetGroup(String service, Optional<SoftwareVersion> softwareVersion) {
    /**
     * All targets of a service.
     *
     * @param service name of the service
     * @return the group
     */
    public static TargetGroup ofService(String service) {
        return new TargetGroup(service, Optional.empty());
    }

    /**
     * The targets with a software version.
     *
     * @param version the version
     * @return the group
     */
    public static TargetGroup ofVersion(SoftwareVersion version) {
        return new TargetGroup(version.service(), Optional.of(version));
    }

    /**
     * Whether a target belongs to the group.
     *
     * @param target the target
     * @return true if it runs the service, with the version if one is set
     */
    public boolean includes(RegisteredTarget target) {
        return target.service().equals(service)
                && softwareVersion.stream().allMatch(SoftwareVersion.of(target)::equals);
    }

    @Override
    public String toString() {
        return softwareVersion
                .map(version -> service + " version " + version.version())
                .orElse(service);
    }
}
