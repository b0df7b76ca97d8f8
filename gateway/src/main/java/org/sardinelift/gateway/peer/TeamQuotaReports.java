package org.sardinelift.gateway.peer;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.sardinelift.core.peer.Peer;
import org.sardinelift.core.peer.PeerRole;
import org.sardinelift.core.peer.PeerTable;
import org.sardinelift.core.quota.AdmittedCount;
import org.sardinelift.core.quota.FleetQuota;
import org.sardinelift.core.quota.QuotaBounds;
import org.sardinelift.protocol.generated.PeerReport;
import org.sardinelift.protocol.generated.TeamCount;

/** The calls that teams have used of their rate limits, counted over all gateways. */
final class TeamQuotaReports implements ReportSection {
    private final FleetQuota quota;
    private final Map<String, Long> reportedCounts = new HashMap<>();
    private final Map<String, Long> countChangedAt = new HashMap<>();

    TeamQuotaReports(QuotaBounds bounds) {
        this.quota = FleetQuota.create(bounds, System.nanoTime());
    }

    /** The rate limits of teams. */
    FleetQuota quota() {
        return quota;
    }

    @Override
    public void onPeerAdded(String name, PeerRole role, long now) {
        if (role == PeerRole.GATEWAY) {
            quota.onPeerAdded(name, now);
        }
    }

    @Override
    public void onPeerRemoved(String name) {
        quota.onPeerRemoved(name);
    }

    @Override
    public void onPause(long now) {
        quota.onPause(now);
    }

    @Override
    public void tick(PeerTable peers, long now) {
        quota.detectSilentPeers(now);
    }

    @Override
    public void addTo(PeerReport report, boolean isFull, long now) {
        report.setTeams(teamCounts(isFull, now));
    }

    private List<TeamCount> teamCounts(boolean allTeams, long now) {
        quota.admittedCounts()
                .forEach(
                        (team, count) -> {
                            if (!count.equals(reportedCounts.put(team, count))) {
                                countChangedAt.put(team, now);
                            }
                        });
        return reportedCounts.entrySet().stream()
                .filter(
                        count ->
                                allTeams
                                        || now - countChangedAt.get(count.getKey())
                                                < ReportBuilder.CHANGE_REPEAT_PERIOD.toNanos())
                .map(count -> new TeamCount(count.getKey(), count.getValue()))
                .toList();
    }

    @Override
    public void onReport(Peer peer, PeerReport report, long now) {
        if (peer.role() != PeerRole.GATEWAY) {
            return;
        }
        long ageNanos = TimeUnit.MILLISECONDS.toNanos(report.getAgeMs());
        Map<String, AdmittedCount> counts =
                report.getTeams().stream()
                        .collect(
                                Collectors.toMap(
                                        TeamCount::getTeam,
                                        team -> new AdmittedCount(team.getAdmitted(), ageNanos),
                                        (first, second) -> second));
        quota.onReport(peer.name(), peer.incarnation(), ageNanos, counts, now);
    }
}
