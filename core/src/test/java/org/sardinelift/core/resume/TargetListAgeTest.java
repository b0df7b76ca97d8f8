package org.sardinelift.core.resume;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.OptionalLong;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.sardinelift.core.peer.Peer;
import org.sardinelift.core.peer.PeerRole;
import org.sardinelift.core.peer.PeerTable;

class TargetListAgeTest {
    private static final long NEW = Duration.ofMillis(1_299).toNanos();
    private static final long OLD = Duration.ofMillis(1_300).toNanos();
    private static final long NOW = Duration.ofSeconds(10).toNanos();
    private static final long REVISION = 7;

    private final PeerTable peers =
            PeerTable.create("self", Duration.ofMillis(600), Duration.ofSeconds(40));

    private void hear(String name, long targetsRevision, long at) {
        peers.onReport(
                new Peer(
                        name,
                        "10.0.0.1",
                        7000,
                        "z1",
                        PeerRole.GATEWAY,
                        1,
                        1,
                        1,
                        false,
                        Set.of(),
                        OptionalLong.empty(),
                        OptionalLong.empty(),
                        targetsRevision,
                        at,
                        true));
    }

    private boolean isCurrent(long ageNanos) {
        return TargetListAge.isCurrent(ageNanos, REVISION, peers, NOW);
    }

    @Test
    void aNewListIsCurrentThoughNoPeerIsHeard() {
        hear("a", REVISION, 0);

        assertTrue(isCurrent(NEW));
        assertFalse(isCurrent(OLD));
    }

    @Test
    void anOldListIsCurrentWhileHalfOfThePeersAreHeardAndNoneHasANewerOne() {
        hear("a", REVISION, NOW);
        hear("b", REVISION - 1, NOW);
        hear("c", REVISION + 1, 0);
        hear("d", REVISION, 0);
        assertTrue(isCurrent(OLD));

        hear("e", REVISION, 0);
        assertFalse(isCurrent(OLD));
    }

    @Test
    void anOldListIsNotCurrentOnceAPeerThatIsHeardHasANewerOne() {
        hear("a", REVISION + 1, NOW);
        hear("b", REVISION, NOW);

        assertFalse(isCurrent(OLD));
    }
}
