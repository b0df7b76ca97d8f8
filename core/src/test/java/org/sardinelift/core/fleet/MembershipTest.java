package org.sardinelift.core.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Old lists and lost connections must neither restore leaving instances nor remove live ones. */
class MembershipTest {
    private static final MembershipTimings TIMINGS =
            new MembershipTimings(Duration.ofMillis(1_000), Duration.ofMillis(10_000));

    private final Membership membership = Membership.create(TIMINGS);

    @Test
    void anInstanceThatAnnouncedItsLeavingStaysLeavingThoughTheListShowsItLive() {
        membership.onList(List.of(companion("c1", 7001)), 0);
        membership.onLeaving("c1");
        membership.onList(List.of(companion("c1", 7001)), 1_000);
        assertTrue(only().isLeaving());
    }

    @Test
    void onlyTheReplacementAtTheSameAddressGetsNewWork() {
        membership.onList(List.of(companion("c1", 7001)), 0);
        membership.onList(List.of(companion("c1", 7001), companion("c2", 7001)), 1_000);
        List<InstanceInfo> companions = membership.view().companions();
        assertTrue(companions.get(0).isLeaving());
        assertFalse(companions.get(1).isLeaving());
    }

    @Test
    void anInstanceMissingFromTheListIsKeptWhileItsConnectionIsOpen() {
        membership.onList(List.of(companion("c1", 7001)), 0);
        membership.onConnectionChanged("c1", true);
        membership.onList(List.of(), 60_000);
        assertEquals("c1", only().name());
        membership.onConnectionChanged("c1", false);
        membership.onList(List.of(), 61_000);
        assertTrue(membership.view().companions().isEmpty());
    }

    @Test
    void anInstanceIsGoneOnlyAfterItWasMissingForTheWholeDelay() {
        membership.onList(List.of(companion("c1", 7001)), 0);
        membership.onList(List.of(), 9_999);
        assertEquals("c1", only().name());
        membership.onList(List.of(), 10_000);
        assertTrue(membership.view().companions().isEmpty());
    }

    private InstanceInfo only() {
        assertEquals(1, membership.view().companions().size());
        return membership.view().companions().get(0);
    }

    private static InstanceInfo companion(String name, int port) {
        return new InstanceInfo(name, "companion", "riga", "127.0.0.1", port, "t-" + name, false);
    }
}
