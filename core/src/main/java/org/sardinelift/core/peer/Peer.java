package org.sardinelift.core.peer;

import java.util.OptionalLong;
import java.util.Set;

/**
 * Another instance, as its last report shows it.
 *
 * @param name name of the instance
 * @param host IP address
 * @param port port for reports and internal calls
 * @param zone availability zone, empty before the first report
 * @param role what it does, as far as it is known
 * @param incarnation its life; 0 before the first report
 * @param sequence number of its last report
 * @param planVersion version of the configuration that it serves by
 * @param leaving whether it is about to stop
 * @param jobs hashes of the jobs that it runs
 * @param planReadAt when it confirmed the configuration with the store itself, nanoseconds; empty
 *     where it never did
 * @param targetsReadAt when it read the targets from the store itself, nanoseconds; empty where it
 *     never did
 * @param targetsRevision revision at which the targets that it holds had changed last
 * @param heardAt when its last report came, nanoseconds
 * @param heard whether any report has come
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
     * An instance of which only the address is known.
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

    Peer at(String newHost, int newPort) {
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
