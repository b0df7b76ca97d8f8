package org.sardinelift.gateway.peer;

import java.time.Duration;
import java.util.Map;
import java.util.stream.Collectors;
import org.sardinelift.core.load.LoadTracker;
import org.sardinelift.core.load.TargetCalls;
import org.sardinelift.core.peer.Peer;
import org.sardinelift.core.peer.PeerTable;
import org.sardinelift.protocol.generated.PeerReport;
import org.sardinelift.protocol.generated.TargetUse;

/** The calls that each instance runs on targets. */
final class TargetUseReports implements ReportSection {
    private final LoadTracker loads;

    TargetUseReports(Duration reportExpiry, Duration excessExpiry) {
        this.loads = LoadTracker.create(reportExpiry, excessExpiry);
    }

    /** The loads of targets. */
    LoadTracker loads() {
        return loads;
    }

    @Override
    public void tick(PeerTable peers, long now) {
        loads.expire(now);
    }

    @Override
    public void addTo(PeerReport report, boolean isFull, long now) {
        report.setUses(
                loads.ownCallsByTarget().entrySet().stream()
                        .map(
                                calls ->
                                        new TargetUse(
                                                calls.getKey(),
                                                calls.getValue().online(),
                                                calls.getValue().batch()))
                        .toList());
    }

    @Override
    public void onReport(Peer peer, PeerReport report, long now) {
        loads.onReport(peer.name(), toTargetCalls(report), now);
    }

    private static Map<String, TargetCalls> toTargetCalls(PeerReport report) {
        return report.getUses().stream()
                .collect(
                        Collectors.toMap(
                                TargetUse::getTarget,
                                use -> new TargetCalls(use.getOnline(), use.getBatch()),
                                TargetCalls::plus));
    }
}
