package org.sardinelift.companion;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.time.Duration;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.sardinelift.protocol.ConnectionTimings;
import org.sardinelift.protocol.generated.FailureKind;
import org.sardinelift.protocol.generated.Lane;
import org.sardinelift.protocol.generated.RequestState;
import org.sardinelift.testkit.SilentRelay;

/** Network paths between an entry and a companion that drop all bytes without a reset. */
class SilentPathTest {
    private static final ConnectionTimings TIMINGS =
            new ConnectionTimings(
                    Duration.ofMillis(50),
                    Duration.ofMillis(500),
                    Duration.ofMillis(10),
                    Duration.ofMillis(50));

    private CompanionRig rig;
    private SilentRelay relay;
    private FakeEntry entry;

    @BeforeEach
    void start() throws Exception {
        rig = CompanionRig.start("\"links\": {\"heartbeatMs\": 50, \"silenceMs\": 500},", "");
        relay = SilentRelay.start(rig.companion.peerPort());
        entry = FakeEntry.connect(rig.group, "e2", relay.port(), Lane.ONLINE, TIMINGS);
        await().until(entry::isConnected);
    }

    @AfterEach
    void stop() throws Exception {
        entry.close();
        relay.close();
        rig.close();
    }

    private void awaitNewConnection() {
        await().until(() -> entry.connections.get() == 2);
    }

    @Test
    void streamContinuesOverANewConnectionWithoutLoss() {
        entry.start(FakeEntry.call("r1", Lane.ONLINE).setIdempotent(false));
        await().until(() -> rig.target.hasReceived("r1"));
        rig.target.startResponse("r1");
        rig.target.writeData("r1", "abc");
        await().until(() -> entry.bodyOf("r1").equals("abc"));
        relay.stopForwardingToClient();
        rig.target.writeData("r1", "def");
        awaitNewConnection();
        entry.query("r1", 3);
        rig.target.writeData("r1", "ghi");
        rig.target.endResponse("r1");
        await().until(() -> entry.finishOf("r1").isPresent());
        assertEquals("abcdefghi", entry.bodyOf("r1"));
        assertEquals(FailureKind.NONE, entry.finishOf("r1").get().getFailure());
        assertEquals(1, rig.target.calls.size());
    }

    @Test
    void startFrameLostOnTheWayCountsAsNotStarted() {
        relay.stopForwardingToServer();
        entry.start(FakeEntry.call("r1", Lane.ONLINE).setIdempotent(false));
        awaitNewConnection();
        entry.query("r1", 0);
        await().until(() -> entry.queryAnswer("r1").isPresent());
        assertEquals(RequestState.NOT_STARTED, entry.queryAnswer("r1").get().getState());
        assertFalse(rig.target.hasReceived("r1"));
    }
}
