package org.sardinelift.companion;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.sardinelift.protocol.generated.Ack;
import org.sardinelift.protocol.generated.Decision;
import org.sardinelift.protocol.generated.ExplainQuery;
import org.sardinelift.protocol.generated.FailureKind;
import org.sardinelift.protocol.generated.Finish;
import org.sardinelift.protocol.generated.Frame;
import org.sardinelift.protocol.generated.Lane;
import org.sardinelift.protocol.generated.LoadReport;
import org.sardinelift.protocol.generated.RequestState;
import org.sardinelift.protocol.generated.RunOutcome;

/** Waiting and preempted calls, and calls whose target, entry or deadline is lost. */
class CallGateTest {
    private static final String NO_RESERVE =
            "\"calls\": {\"gate\": {\"minReserve\": 0, \"maxReserve\": 0}},";

    private CompanionRig rig;

    @AfterEach
    void stop() {
        rig.close();
    }

    private Finish finish(FakeEntry entry, String id) {
        await().until(() -> entry.finishOf(id).isPresent());
        return entry.finishOf(id).get();
    }

    private void startTwoBatchCalls() {
        rig.batch.start(FakeEntry.call("b1", Lane.BATCH));
        rig.batch.start(FakeEntry.call("b2", Lane.BATCH));
        await().until(() -> rig.target.hasReceived("b1") && rig.target.hasReceived("b2"));
    }

    @Test
    void onlineCallPreemptsABatchCall() throws Exception {
        rig = CompanionRig.start(NO_RESERVE, "");
        startTwoBatchCalls();
        rig.online.start(FakeEntry.call("o1", Lane.ONLINE));
        await().until(() -> rig.target.hasReceived("o1"));
        await().until(
                        () ->
                                rig.batch
                                        .finishOf("b1")
                                        .or(() -> rig.batch.finishOf("b2"))
                                        .isPresent());
        Finish preempted = rig.batch.finishOf("b1").or(() -> rig.batch.finishOf("b2")).get();
        assertEquals(FailureKind.PREEMPTED, preempted.getFailure());
        await().until(() -> !rig.target.call(preempted.getRequestId()).isOpen());
    }

    @Test
    void preemptionIsExplainedWithTheFiguresOfTheGate() throws Exception {
        rig = CompanionRig.start(NO_RESERVE, "");
        startTwoBatchCalls();
        rig.online.start(FakeEntry.call("o1", Lane.ONLINE));
        await().until(() -> rig.target.hasReceived("o1"));
        await().until(
                        () ->
                                rig.batch
                                        .finishOf("b1")
                                        .or(() -> rig.batch.finishOf("b2"))
                                        .isPresent());
        String preempted = rig.batch.finishOf("b1").isPresent() ? "b1" : "b2";
        rig.control.send(Frame.explainQuery(new ExplainQuery(1, preempted, 10)));
        await().until(() -> rig.control.explainResult().isPresent());
        List<Decision> decisions = rig.control.explainResult().get().getDecisions();
        assertEquals(
                List.of("started", "cut"), decisions.stream().map(Decision::getAction).toList());
        assertEquals("c1", decisions.get(1).getInstance());
        assertEquals("2", decisions.get(1).getFigures().get("slots"));
        assertEquals("dredgers", decisions.get(1).getFigures().get("team"));
    }

    @Test
    void preemptedCallResumesWhereItWasWhenASlotIsFree() throws Exception {
        rig = CompanionRig.start(NO_RESERVE, "\"resume\": true,");
        startTwoBatchCalls();
        for (String id : new String[] {"b1", "b2"}) {
            rig.target.startResponse(id);
            rig.target.writeData(id, "abc");
            await().until(() -> rig.batch.bodyOf(id).equals("abc"));
        }
        rig.online.start(FakeEntry.call("o1", Lane.ONLINE));
        await().until(() -> rig.target.hasReceived("o1"));
        String preempted = rig.target.call("b1").isOpen() ? "b2" : "b1";
        await().until(() -> !rig.target.call(preempted).isOpen());
        rig.target.startResponse("o1");
        rig.target.endResponse("o1");
        await().until(() -> rig.target.resumeRequest(preempted) != null);
        assertEquals("3", rig.target.resumeRequest(preempted).query("offset"));
        rig.target.resumeRequest(preempted).respond(200, java.util.Map.of(), "def".getBytes());
        assertEquals(FailureKind.NONE, finish(rig.batch, preempted).getFailure());
        assertEquals("abcdef", rig.batch.bodyOf(preempted));
    }

    @Test
    void callWhoseDeadlinePassesWhileItWaitsIsNotRun() throws Exception {
        rig = CompanionRig.start();
        rig.online.start(FakeEntry.call("o1", Lane.ONLINE));
        rig.online.start(FakeEntry.call("o2", Lane.ONLINE));
        rig.online.start(FakeEntry.call("o3", Lane.ONLINE).setDeadlineMs(50));
        Finish expired = finish(rig.online, "o3");
        assertEquals(FailureKind.DEADLINE_EXCEEDED, expired.getFailure());
        assertEquals(RunOutcome.NOT_RUN, expired.getOutcome());
        rig.target.startResponse("o1");
        rig.target.endResponse("o1");
        finish(rig.online, "o1");
        assertFalse(rig.target.hasReceived("o3"));
    }

    @Test
    void attemptReportedAsNotStartedIsNeverStarted() throws Exception {
        rig = CompanionRig.start();
        rig.online.query("r1", 0);
        await().until(() -> rig.online.queryAnswer("r1").isPresent());
        assertEquals(RequestState.NOT_STARTED, rig.online.queryAnswer("r1").get().getState());
        rig.online.start(FakeEntry.call("r1", Lane.ONLINE));
        rig.online.start(FakeEntry.call("r2", Lane.ONLINE));
        await().until(() -> rig.target.hasReceived("r2"));
        assertFalse(rig.target.hasReceived("r1"));
    }

    @Test
    void acknowledgementBeforeTheEndOfACallIsKept() throws Exception {
        rig = CompanionRig.start();
        rig.online.start(FakeEntry.call("r1", Lane.ONLINE));
        await().until(() -> rig.target.hasReceived("r1"));
        rig.online.send(Frame.ack(new Ack("r1", 1)));
        rig.target.startResponse("r1");
        rig.target.endResponse("r1");
        finish(rig.online, "r1");
        rig.control.frames.clear();
        await().until(
                        () ->
                                rig.control
                                        .lastReport()
                                        .filter(r -> r.getOnlineRunning() == 0)
                                        .isPresent());
        rig.online.query("r1", 0);
        await().until(() -> rig.online.queryAnswer("r1").isPresent());
        assertEquals(RequestState.NOT_STARTED, rig.online.queryAnswer("r1").get().getState());
    }

    @Test
    void duplicateStartIsNotRunAgain() throws Exception {
        rig = CompanionRig.start();
        rig.online.start(FakeEntry.call("r1", Lane.ONLINE));
        rig.online.start(FakeEntry.call("r1", Lane.ONLINE));
        rig.online.start(FakeEntry.call("r2", Lane.ONLINE));
        await().until(() -> rig.target.hasReceived("r2"));
        assertEquals(2, rig.target.calls.size());
    }

    @Test
    void nonIdempotentCallIsNotStartedAfterItsEntryIsLost() throws Exception {
        rig = CompanionRig.start();
        rig.online.start(FakeEntry.call("o1", Lane.ONLINE));
        FakeEntry other = rig.connect("e2", Lane.ONLINE);
        other.start(FakeEntry.call("o2", Lane.ONLINE));
        await().until(() -> rig.target.hasReceived("o1") && rig.target.hasReceived("o2"));
        rig.online.start(FakeEntry.call("o3", Lane.ONLINE).setIdempotent(false));
        await().until(
                        () ->
                                rig.control
                                        .lastReport()
                                        .filter(r -> r.getOnlineQueued() == 1)
                                        .isPresent());
        rig.online.dropConnection();
        await().until(rig.online::isConnected);
        rig.target.startResponse("o2");
        rig.target.endResponse("o2");
        finish(other, "o2");
        await().until(
                        () ->
                                rig.control
                                        .lastReport()
                                        .filter(r -> r.getOnlineQueued() == 0)
                                        .isPresent());
        rig.online.query("o3", 0);
        assertEquals(RunOutcome.NOT_RUN, finish(rig.online, "o3").getOutcome());
        assertEquals(RequestState.FINISHED, rig.online.queryAnswer("o3").get().getState());
        assertFalse(rig.target.hasReceived("o3"));
    }

    @Test
    void targetHasANewIncarnationAfterItRestarts() throws Exception {
        rig = CompanionRig.start();
        await().until(() -> rig.control.lastReport().isPresent());
        String before = rig.control.lastReport().get().getTargetIncarnation();
        rig.online.start(FakeEntry.call("o1", Lane.ONLINE));
        await().until(() -> rig.target.hasReceived("o1"));
        rig.target.stop();
        Finish failed = finish(rig.online, "o1");
        assertEquals(FailureKind.TARGET_DIED, failed.getFailure());
        assertEquals(RunOutcome.UNKNOWN, failed.getOutcome());
        assertEquals(before, failed.getTargetIncarnation());
        await().until(() -> !rig.control.lastReport().map(LoadReport::isHealthy).orElse(true));
        rig.online.start(FakeEntry.call("o2", Lane.ONLINE));
        assertEquals(RunOutcome.NOT_RUN, finish(rig.online, "o2").getOutcome());
        rig.target.listen();
        await().until(() -> rig.control.lastReport().get().isHealthy());
        assertFalse(before.equals(rig.control.lastReport().get().getTargetIncarnation()));
        rig.online.start(FakeEntry.call("o3", Lane.ONLINE));
        await().until(() -> rig.target.hasReceived("o3"));
    }

    @Test
    void waitingCallIsRefusedAsNotRunWhenTheTargetLeaves() throws Exception {
        rig = CompanionRig.start();
        rig.online.start(FakeEntry.call("o1", Lane.ONLINE));
        rig.online.start(FakeEntry.call("o2", Lane.ONLINE));
        rig.online.start(FakeEntry.call("o3", Lane.ONLINE));
        await().until(() -> rig.target.hasReceived("o1") && rig.target.hasReceived("o2"));
        Thread drain = new Thread(rig.companion::drain);
        drain.setDaemon(true);
        drain.start();
        Finish refused = finish(rig.online, "o3");
        assertEquals(FailureKind.TARGET_LEAVING, refused.getFailure());
        assertEquals(RunOutcome.NOT_RUN, refused.getOutcome());
        assertTrue(rig.target.call("o1").isOpen());
    }
}
