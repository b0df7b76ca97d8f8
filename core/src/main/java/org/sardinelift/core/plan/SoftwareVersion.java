package org.sardinelift.core.plan;

/**
 * A version of the software that runs on some targets of a service. What two versions write doesn't
 * fit together, and versions have no order.
 *
 * @param service name of the service
 * @param version name of the version; empty for targets that state none
 */
public record SoftwareVersion(String service, String version) {
    /**
     * The version that runs on a target.
     *
     * @param target the target
     * @return its version
     */
    public static SoftwareVersion of(RegisteredTarget target) {
        return new SoftwareVersion(target.service(), target.softwareVersion());
    }
}
