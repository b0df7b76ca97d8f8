package org.sardinelift.companion;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.sardinelift.protocol.generated.FailureKind;
import org.sardinelift.protocol.generated.Frame;
import org.sardinelift.protocol.generated.Lane;
import org.sardinelift.protocol.generated.LoadReport;
import org.sardinelift.protocol.generated.RequestState;
import org.sardinelift.protocol.generated.RunOutcome;

class CompanionProcessTest {
    private CompanionRig rig;

    @BeforeEach
    void start() throws Exception {
        rig = CompanionRig.start();
    }

    @AfterEach
    void stop() {
        rig.close();
    }

    @Test
    void passesACallToTheTargetAndStreamsItsResponseBack() {
        rig.online.start(FakeEntry.call("r1", Lane.ONLINE));
        await().until(() -> rig.target.hasReceived("r1"));
        assertEquals("/v1/completions", rig.target.call("r1").path());
        rig.target.startResponse("r1");
        rig.target.writeData("r1", "data: 1\n\n");
        await().until(() -> rig.online.bodyOf("r1").equals("data: 1\n\n"));
        rig.target.writeData("r1", "data: 2\n\n");
        rig.target.endResponse("r1");
        await().until(() -> rig.online.finishOf("r1").isPresent());
        assertEquals("data: 1\n\ndata: 2\n\n", rig.online.bodyOf("r1"));
        assertEquals(FailureKind.NONE, rig.online.finishOf("r1").get().getFailure());
        assertEquals(18, rig.online.finishOf("r1").get().getLength());
    }

    @Test
    void callerKeysAreNotSentToTheTarget() {
        rig.online.start(
                FakeEntry.call("r1", Lane.ONLINE)
                        .setHeaders(Map.of("Authorization", "Bearer sl_1_x", "X-Api-Key", "y")));
        await().until(() -> rig.target.hasReceived("r1"));
        assertNull(rig.target.call("r1").header("authorization"));
        assertNull(rig.target.call("r1").header("x-api-key"));
    }

    @Test
    void noTraceContextIsSentWhenNoSpanIsRecorded() {
        rig.online.start(FakeEntry.call("r1", Lane.ONLINE));
        await().until(() -> rig.target.hasReceived("r1"));
        assertNull(rig.target.call("r1").header("traceparent"));
    }

    @Test
    void cancelClosesTheTargetsConnection() {
        rig.online.start(FakeEntry.call("r1", Lane.ONLINE));
        await().until(() -> rig.target.hasReceived("r1"));
        rig.online.cancel("r1");
        await().until(() -> !rig.target.call("r1").isOpen());
        await().until(() -> rig.online.finishOf("r1").isPresent());
        assertEquals(FailureKind.CANCELLED, rig.online.finishOf("r1").get().getFailure());
        assertEquals(RunOutcome.UNKNOWN, rig.online.finishOf("r1").get().getOutcome());
    }

    @Test
    void resumesFromTheOffsetOverANewConnection() {
        rig.online.start(FakeEntry.call("r1", Lane.ONLINE));
        await().until(() -> rig.target.hasReceived("r1"));
        rig.target.startResponse("r1");
        rig.target.writeData("r1", "abcdef");
        await().until(() -> rig.online.bodyOf("r1").equals("abcdef"));
        rig.online.dropConnection();
        rig.target.writeData("r1", "ghi");
        await().until(rig.online::isConnected);
        rig.online.frames.clear();
        rig.online.query("r1", 4);
        await().until(() -> rig.online.queryAnswer("r1").isPresent());
        assertEquals(RequestState.RUNNING, rig.online.queryAnswer("r1").get().getState());
        rig.target.endResponse("r1");
        await().until(() -> rig.online.finishOf("r1").isPresent());
        assertEquals("efghi", rig.online.bodyOf("r1"));
    }

    @Test
    void drainIsReportedRefusesNewCallsAndLetsRunningOnesFinish() {
        rig.online.start(FakeEntry.call("r1", Lane.ONLINE));
        await().until(() -> rig.target.hasReceived("r1"));
        CompletableFuture<Void> drained = CompletableFuture.runAsync(rig.companion::drain);
        await().until(() -> rig.control.lastReport().map(LoadReport::isLeaving).orElse(false));
        rig.online.start(FakeEntry.call("r2", Lane.ONLINE));
        await().until(() -> rig.online.finishOf("r2").isPresent());
        assertEquals(FailureKind.TARGET_LEAVING, rig.online.finishOf("r2").get().getFailure());
        assertEquals(RunOutcome.NOT_RUN, rig.online.finishOf("r2").get().getOutcome());
        assertFalse(drained.isDone());
        rig.target.startResponse("r1");
        rig.target.endResponse("r1");
        await().until(drained::isDone);
        assertEquals(FailureKind.NONE, rig.online.finishOf("r1").get().getFailure());
        assertFalse(rig.target.hasReceived("r2"));
    }

    @Test
    @Tag("known-red")
    void callToAnUnreachableTargetIsReportedAsNotRun() {
        rig.target.stop();
        rig.online.start(FakeEntry.call("r1", Lane.ONLINE));
        await().until(() -> rig.online.finishOf("r1").isPresent());
        assertEquals(RunOutcome.NOT_RUN, rig.online.finishOf("r1").get().getOutcome());
    }

    @Test
    void reportsItsLoadOnTheControlLaneOnly() {
        rig.online.start(FakeEntry.call("r1", Lane.ONLINE));
        await().until(
                        () ->
                                rig.control
                                        .lastReport()
                                        .filter(report -> report.getOnlineRunning() == 1)
                                        .isPresent());
        assertEquals("registry", rig.control.lastReport().get().getServiceName());
        assertTrue(
                rig.online.framesOf(Frame._Fields.LOAD_REPORT, Frame::getLoadReport).count() == 0);
    }
}
