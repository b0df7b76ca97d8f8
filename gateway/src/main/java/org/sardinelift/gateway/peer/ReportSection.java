package org.sardinelift.gateway.peer;

import org.sardinelift.core.peer.Peer;
import org.sardinelift.core.peer.PeerRole;
import org.sardinelift.core.peer.PeerTable;
import org.sardinelift.protocol.generated.PeerReport;

/**
 * A section of the reports that instances exchange, with the state that it keeps equal among them.
 * Called on the event loop; times are nanoseconds of a monotonic clock.
 */
interface ReportSection {
    /** An instance was found in the store; it may not have reported yet. */
    default void onPeerAdded(String name, PeerRole role, long now) {}

    /** An instance has stopped for good. */
    default void onPeerRemoved(String name) {}

    /** This process stood still while others went on. */
    default void onPause(long now) {}

    /** Time has passed; called several times per silence timeout. */
    default void tick(PeerTable peers, long now) {}

    /**
     * Adds to a report what the other instances need to know.
     *
     * @param report the report
     * @param isFull whether it names everything, else what has changed lately
     * @param now the time
     */
    default void addTo(PeerReport report, boolean isFull, long now) {}

    /** Takes over what another instance reports. */
    default void onReport(Peer peer, PeerReport report, long now) {}
}
