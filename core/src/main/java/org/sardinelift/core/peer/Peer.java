package org.sardinelift.core.peer;

import java.util.OptionalLong;
import java.util.Set;

/**
 * Another instance, as of its last report.
 *
 * @param name name of the instance
 * @param host IP address
 * @param port port for reports and internal calls
 * @param zone availability zone, empty before the first report
 * @param role its role, assumed to be a gateway before the first report
 * @param incarnation its incarnation; 0 before the first report
 * @param sequence number of its last report
 * @param planVersion version of the configuration that it applies
 * @param isLeaving whether it is about to stop
 * @param jobHashes hashes of the jobs that it runs
 * @param planReadAt when it confirmed the configuration with the store itself, nanoseconds; empty
 *     if it never did
 * @param targetsReadAt when it read the targets from the store itself, nanoseconds; empty if it
 *     never did
 * @param targetsRevision revision of the last change of the targets that it knows
 * @param lastReportAt when its last report arrived, nanoseconds
 * @param hasReported whether it has sent any report
 */
public record Peer(
        String name,
        String host,
        int port,
        String zone,
        PeerRole role,
        long incarnation,
        long sequence,
        long planVersion,
        boolean isLeaving,
        Set<Long> jobHashes,
        OptionalLong planReadAt,
        OptionalLong targetsReadAt,
        long targetsRevision,
        long lastReportAt,
        boolean hasReported) {

    /**
     * Creates a peer of which only the address is known.
     *
     * @param name its name
     * @param host IP address
     * @param port port
     * @param now the time, nanoseconds
     * @return the peer
     */
    public static Peer ofAddress(String name, String host, int port, long now) {
        return new Peer(
                name,
                host,
                port,
                "",
                PeerRole.GATEWAY,
                0,
                0,
                0,
                false,
                Set.of(),
                OptionalLong.empty(),
                OptionalLong.empty(),
                0,
                now,
                false);
    }

    Peer withAddress(String newHost, int newPort) {
        return new Peer(
                name,
                newHost,
                newPort,
                zone,
                role,
                incarnation,
                sequence,
                planVersion,
                isLeaving,
                jobHashes,
                planReadAt,
                targetsReadAt,
                targetsRevision,
                lastReportAt,
                hasReported);
    }
}
