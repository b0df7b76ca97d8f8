package org.sardinelift.gateway.peer;

import java.time.Duration;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.jspecify.annotations.Nullable;
import org.sardinelift.core.load.LoadTracker;
import org.sardinelift.core.load.TargetCalls;
import org.sardinelift.core.memory.TargetMemory;
import org.sardinelift.core.peer.Peer;
import org.sardinelift.core.peer.PeerRole;
import org.sardinelift.core.peer.PeerTable;
import org.sardinelift.protocol.generated.PeerReport;
import org.sardinelift.protocol.generated.TargetUse;

/** The calls that each instance runs on targets, and the tokens that they may hold there. */
final class TargetUseReports implements ReportSection {
    /** An instance that has been silent for longer has stopped, or its machine was lost. */
    private static final Duration STOPPED_AFTER = Duration.ofSeconds(3);

    private final LoadTracker loads;
    private final TargetMemory memory;
    private boolean countsTokens;

    TargetUseReports(String instance, Duration reportExpiry, Duration excessExpiry) {
        this.memory = TargetMemory.create(instance, System.nanoTime());
        this.loads = LoadTracker.create(reportExpiry, excessExpiry);
    }

    /** The loads of targets. */
    LoadTracker loads() {
        return loads;
    }

    /** The tokens that requests hold on targets. */
    TargetMemory memory() {
        return memory;
    }

    /** Sets whether the configuration limits the tokens on any target. */
    void setCountsTokens(boolean isLimited, long now) {
        if (isLimited && !countsTokens) {
            memory.restart(now);
        }
        countsTokens = isLimited;
    }

    @Override
    public void tick(PeerTable peers, long now) {
        loads.expire(now);
        if (countsTokens) {
            memory.onMembers(
                    peers.all().stream()
                            .filter(peer -> now - peer.lastReportAt() < STOPPED_AFTER.toNanos())
                            .filter(TargetUseReports::isSending)
                            .map(Peer::name)
                            .toList(),
                    now);
        }
    }

    private static boolean isSending(Peer peer) {
        return peer.role() == PeerRole.GATEWAY || !peer.jobHashes().isEmpty();
    }

    @Override
    public void addTo(PeerReport report, boolean isFull, long now) {
        boolean isWorker = report.getRole().equals(PeerRole.WORKER.label());
        memory.setSending(!isWorker || !report.getJobs().isEmpty(), now);
        Map<String, Long> tokens = memory.reportedTokens();
        report.setUses(
                Stream.of(loads.ownCallsByTarget().keySet(), tokens.keySet())
                        .flatMap(Set::stream)
                        .distinct()
                        .map(target -> use(target, tokens.get(target)))
                        .toList());
    }

    private TargetUse use(String target, @Nullable Long tokens) {
        TargetCalls calls = loads.ownCalls(target);
        TargetUse use = new TargetUse(target, calls.online(), calls.batch());
        return tokens == null ? use : use.setTokens(tokens);
    }

    @Override
    public void onReport(Peer peer, PeerReport report, long now) {
        memory.onReport(peer.name(), toTokens(report), now);
        loads.onReport(peer.name(), toTargetCalls(report), now);
    }

    private static Map<String, Long> toTokens(PeerReport report) {
        return report.getUses().stream()
                .filter(use -> use.isSetTokens() && use.getTokens() > 0)
                .collect(Collectors.toMap(TargetUse::getTarget, TargetUse::getTokens, Long::sum));
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
